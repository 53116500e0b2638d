//! A request on a runner, with the connection that carries it.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http;

use crate::gateway::Gateway;
use crate::in_flight;
use crate::pool::Connection;
use crate::selection::Chosen;

/// Longest request body after which a connection is used again although the
/// answer came early.
const MAX_REUSED_BODY: usize = 8 << 10;
/// Longest body of a rejection.
const MAX_REJECTION_BYTES: usize = 64 << 10;

/// A request on a runner; dropping it closes the connection.
pub(crate) struct Delivery {
    pub(crate) chosen: Chosen,
    pub(crate) connection: Connection,
    pub(crate) entry: in_flight::Guard,
    pub(crate) sent_at: Duration,
}

impl Delivery {
    /// Keeps the connection for another request, unless the runner ends it or
    /// may not have read the whole request.
    pub(crate) fn keep(self, gateway: &Gateway, sent: &Bytes, head: &http::response::Parts) {
        let protocol = &gateway.ports.protocol;
        let is_early = !head.status.is_success() && sent.len() > MAX_REUSED_BODY;
        if protocol.closes(head) || is_early {
            return;
        }
        gateway.pool.put(self.connection, protocol.keep_alive(head));
    }

    /// Reads the rest of a rejection, so that the connection can be kept.
    pub(crate) async fn finish(
        self,
        gateway: &Gateway,
        sent: &Bytes,
        head: &http::response::Parts,
        body: Incoming,
    ) {
        let rest = Limited::new(body, MAX_REJECTION_BYTES).collect().await;
        if rest.is_ok() {
            self.keep(gateway, sent, head);
        }
    }
}
