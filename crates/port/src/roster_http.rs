//! Client of a roster service over HTTP with JSON.

use std::net::SocketAddr;
use std::time::Duration;

use almondbank_wire::table as wire;
use async_trait::async_trait;

use crate::roster::{Roster, Vms};
use crate::{Result, http};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of one roster service.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    http: http::Client,
}

impl Client {
    /// Makes a client of the roster service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, http: http::Client) -> Self {
        Self { address, http }
    }
}

#[async_trait]
impl Roster for Client {
    async fn vms(&self) -> Result<Vms> {
        let vms: Vec<wire::Vm> = self.http.get(self.address, "/roster", CALL_TIMEOUT).await?;
        Ok(vms.into_iter().map(|vm| (vm.name, vm.state)).collect())
    }
}
