//! Orders to runners and their reports.

use std::fmt::Debug;
use std::net::SocketAddr;

use almondbank_wire::order::{Order, Receipt, Report};
use async_trait::async_trait;

use crate::Result;

/// Control interface of the runners.
#[async_trait]
pub trait Runner: Debug + Send + Sync {
    /// Sends an order to the runner at `address`.
    ///
    /// # Errors
    ///
    /// `Stale` if the runner checks fencing tokens and that of the order is stale.
    /// After `Unknown`, the runner may still execute the order.
    async fn order(&self, address: SocketAddr, order: &Order) -> Result<Receipt>;

    /// Reads the report of the runner at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the runner does not respond in time.
    async fn report(&self, address: SocketAddr) -> Result<Report>;
}
