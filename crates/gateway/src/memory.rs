//! Memory that an instance holds for callers and runners, divided into parts.
//!
//! The modules decide without network who gets memory, who gives way and who is refused.
//! The task code reads bodies through [`bodies::Bodies`], queues streams with
//! [`outlet::Outlet`], and accepts connections that [`connections::Connections`] admits.

pub mod bodies;
pub mod charge;
pub mod connections;
pub mod ended;
pub mod head;
pub mod machine;
pub mod outlet;
pub mod part;
pub mod progress;
pub mod resident;
pub mod responses;

mod kept;
mod socket;

use std::sync::Arc;

pub(crate) use socket::Socket;

use bodies::Bodies;
use connections::Connections;
use ended::Ended;
use part::Part;
use responses::Responses;

/// Percentage of the process's memory for code, registrations and the environment. All parts
/// leave 10 % for fragmentation, and for the old buffer while that of a body grows.
pub const STATE_PERCENT: usize = 18;
/// Percentage for accepted connections, with the receive buffers that they begin with.
pub const CONNECTIONS_PERCENT: usize = 20;
/// Percentage for what the kernel holds besides: larger receive buffers, and the buffers of
/// responses that callers do not read.
pub const SOCKETS_PERCENT: usize = 8;
/// Percentage for requests and their bodies.
pub const REQUESTS_PERCENT: usize = 36;
/// Percentage that bodies beyond [`SMALL_BODY`] may use of it.
pub const LARGE_BODIES_PERCENT: usize = 16;
/// Percentage for responses of runners.
pub const RESPONSES_PERCENT: usize = 8;
/// Percentage that responses beyond [`SMALL_RESPONSE`] and queued streams may use of it.
pub const LARGE_RESPONSES_PERCENT: usize = 6;

/// Size up to which a request body may use the whole part. Usual bodies have up to 55 KB.
pub const SMALL_BODY: usize = 64 << 10;
/// Size up to which a response body may use the whole part.
pub const SMALL_RESPONSE: usize = 256 << 10;

/// Memory of one process, divided into parts.
#[derive(Debug)]
pub struct Budget {
    /// Requests and their bodies.
    pub bodies: Arc<Bodies>,
    /// Responses of runners.
    pub responses: Responses,
    /// Accepted connections.
    pub connections: Arc<Connections>,
}

impl Budget {
    /// Divides `memory` bytes and `max_files` descriptors.
    #[must_use]
    pub fn new(memory: usize, max_files: usize) -> Self {
        let part = |percent: usize| memory / 100 * percent;
        let bodies = Part::new(part(REQUESTS_PERCENT), part(LARGE_BODIES_PERCENT));
        let responses = Part::new(part(RESPONSES_PERCENT), part(LARGE_RESPONSES_PERCENT));
        Self {
            bodies: Arc::new(Bodies::new(bodies)),
            responses: Responses::new(responses),
            connections: Arc::new(Connections::new(
                part(CONNECTIONS_PERCENT),
                part(SOCKETS_PERCENT),
                max_files,
            )),
        }
    }

    /// Returns how many were evicted or refused since the start.
    #[must_use]
    pub fn ended(&self) -> Ended {
        Ended {
            connections_evicted: self.connections.evicted(),
            connections_refused: self.connections.refused(),
            bodies_evicted: self.bodies.evicted(),
            bodies_refused: self.bodies.refused(),
        }
    }

    /// Returns the bytes that are held by part.
    #[must_use]
    pub fn held(&self) -> [(&'static str, usize); 4] {
        [
            ("connections", self.connections.held()),
            ("sockets", self.connections.held_in_sockets()),
            ("requests", self.bodies.held()),
            ("responses", self.responses.held()),
        ]
    }
}
