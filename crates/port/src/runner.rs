//! Orders to runners and their reports.

use std::fmt::Debug;
use std::net::SocketAddr;

use almondbank_wire::order::{Order, Receipt, Report};
use async_trait::async_trait;

use crate::Result;

/// The order side of the runners.
#[async_trait]
pub trait Runner: Debug + Send + Sync {
    /// Gives the runner at `address` an order.
    ///
    /// # Errors
    ///
    /// `Stale` if the runner checks fencing numbers and this one is old. After
    /// `Unknown` the order may still be carried out.
    async fn order(&self, address: SocketAddr, order: &Order) -> Result<Receipt>;

    /// Reads the runner's report.
    ///
    /// # Errors
    ///
    /// Fails if the runner does not answer in time.
    async fn report(&self, address: SocketAddr) -> Result<Report>;
}
