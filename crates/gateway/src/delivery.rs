//! A request that was sent to a runner, with its connection.

use std::time::Duration;

use bytes::Bytes;
use hyper::http;

use crate::framing::Framing;
use crate::gateway::Gateway;
use crate::pool::Connection;
use crate::selection::Chosen;
use crate::{Result, in_flight};

/// Largest request body, in bytes, after which a connection is reused on an error
/// status. The runner may have sent that before it read all of a larger body.
const MAX_REUSED_BODY: usize = 8 << 10;

/// A request that was sent to a runner. Dropping it closes the connection.
pub(crate) struct Delivery {
    pub(crate) chosen: Chosen,
    pub(crate) connection: Connection,
    pub(crate) guard: in_flight::Guard,
    pub(crate) sent_at: Duration,
}

impl Delivery {
    /// Checks that a body which was read to its end is whole.
    ///
    /// # Errors
    ///
    /// Fails if its connection delimits it, and was reset, or ended before the runner had the
    /// whole request.
    pub(crate) fn check_body(&self, framing: Framing) -> Result<()> {
        match framing {
            Framing::Length | Framing::Chunks => Ok(()),
            Framing::Connection => self.connection.check_end(),
        }
    }

    /// Records that the response was read to its end, and recycles the connection.
    pub(crate) fn complete(self, gateway: &Gateway, sent: &Bytes, head: &http::response::Parts) {
        let elapsed = gateway.now().saturating_sub(self.sent_at);
        let service = &self.chosen.runner.registration.service;
        gateway.service_times.observe(service, elapsed);
        self.recycle(gateway, sent, head);
    }

    /// Returns the connection to the pool, unless the runner closes it or may
    /// not have read the whole request.
    fn recycle(self, gateway: &Gateway, sent: &Bytes, head: &http::response::Parts) {
        let protocol = &gateway.ports.protocol;
        let is_early = !head.status.is_success() && sent.len() > MAX_REUSED_BODY;
        if protocol.closes(head) || is_early {
            return;
        }
        gateway.pool.put(self.connection, protocol.keep_alive(head));
    }
}
