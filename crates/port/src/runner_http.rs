//! Adapter to runners that take orders as JSON over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use almondbank_wire::order::{Order, Receipt, Report};
use async_trait::async_trait;

use crate::runner::Runner;
use crate::{Result, http};

const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// The runners, each at its own address.
#[derive(Debug)]
pub struct Client {
    http: http::Client,
}

impl Client {
    /// Makes an adapter.
    #[must_use]
    pub fn new(http: http::Client) -> Self {
        Self { http }
    }
}

#[async_trait]
impl Runner for Client {
    async fn order(&self, address: SocketAddr, order: &Order) -> Result<Receipt> {
        self.http
            .post(address, "/orders", order, ORDER_TIMEOUT)
            .await
    }

    async fn report(&self, address: SocketAddr) -> Result<Report> {
        self.http.get(address, "/report", REPORT_TIMEOUT).await
    }
}
