//! Outcome of one send of a request to a runner.

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{StatusCode, http};

use crate::body::Relayed;
use crate::delivery::Delivery;
use crate::framing::Framing;
use crate::protocol::Verdict;
use crate::refusal::Reason;

/// Outcome of one send.
pub(crate) enum Outcome {
    /// The response to return to the caller.
    Final(Response),
    /// An error response of the runner; another runner may succeed.
    Failed(Response),
    /// The runner rejected the request, which has not run and will not run there.
    NotRun(Verdict),
    /// No byte of the request was sent.
    Unsent,
    /// The request may have run.
    Unknown(Reason),
}

/// Response of a runner.
pub(crate) enum Response {
    /// A complete response, with head and body.
    Complete(Box<http::response::Parts>, Bytes),
    /// A stream whose head and first event have arrived.
    Stream(Box<Stream>),
    /// The response of a peer that the request was handed over to.
    Relayed(Box<http::response::Parts>, Relayed),
}

/// Statuses which promise that a request has not run and never will.
const NOT_RUN: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

impl Response {
    /// Whether the status promises that the request has not run.
    pub(crate) fn promises_no_run(&self) -> bool {
        NOT_RUN
            .iter()
            .any(|status| status.as_u16() == self.status())
    }

    pub(crate) fn status(&self) -> u16 {
        match self {
            Self::Complete(head, _) | Self::Relayed(head, _) => head.status.as_u16(),
            Self::Stream(stream) => stream.head.status.as_u16(),
        }
    }
}

/// A streamed response of a runner.
pub(crate) struct Stream {
    pub(crate) delivery: Delivery,
    pub(crate) head: http::response::Parts,
    pub(crate) framing: Framing,
    /// Bytes up to the end of the first event; `None` if the stream is empty.
    pub(crate) first: Option<Bytes>,
    pub(crate) body: Incoming,
}
