//! Client of the runners' control interface over HTTP with JSON.

use std::net::SocketAddr;
use std::time::Duration;

use almondbank_wire::order::{Order, Receipt, Report};
use async_trait::async_trait;

use crate::runner::Runner;
use crate::{Result, http};

const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client of all runners.
#[derive(Debug)]
pub struct Client {
    http: http::Client,
}

impl Client {
    /// Makes a client that uses `http`.
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
