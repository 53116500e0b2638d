//! Opens connections to runners.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use tokio::net::TcpStream;

use crate::{Result, tcp};

/// Opens TCP connections to runners.
#[async_trait]
pub trait Connector: Debug + Send + Sync {
    /// Connects within `timeout`. The connection is closed if sent data is not
    /// acknowledged within `user_timeout`.
    ///
    /// # Errors
    ///
    /// Fails with `NotSent` if the connection is not established in time.
    async fn connect(
        &self,
        address: SocketAddr,
        timeout: Duration,
        user_timeout: Duration,
    ) -> Result<TcpStream>;
}

/// Connects from this machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Direct;

#[async_trait]
impl Connector for Direct {
    async fn connect(
        &self,
        address: SocketAddr,
        timeout: Duration,
        user_timeout: Duration,
    ) -> Result<TcpStream> {
        tcp::connect(address, timeout, user_timeout).await
    }
}
