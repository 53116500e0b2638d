//! What became of sending a request to a runner.

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http;

use crate::delivery::Delivery;
use crate::protocol::Verdict;
use crate::refusal::Reason;

/// What became of one send.
pub(crate) enum Outcome {
    Answer(Response),
    /// The runner failed the request, which may be repeated elsewhere.
    Failed(Response),
    /// The runner has not run it and never will.
    NotRun(Verdict),
    /// No byte of it left.
    Unsent,
    /// It may have run.
    Unknown(Reason),
}

/// A runner's answer.
pub(crate) enum Response {
    /// A whole answer.
    Complete(Box<http::response::Parts>, Bytes),
    /// A stream that has begun.
    Stream(Box<Stream>),
}

impl Response {
    pub(crate) fn status(&self) -> u16 {
        match self {
            Self::Complete(head, _) => head.status.as_u16(),
            Self::Stream(source) => source.head.status.as_u16(),
        }
    }
}

/// A stream from a runner.
pub(crate) struct Stream {
    pub(crate) delivery: Delivery,
    pub(crate) head: http::response::Parts,
    /// First piece; `None` if the stream has none.
    pub(crate) first: Option<Bytes>,
    pub(crate) body: Incoming,
}
