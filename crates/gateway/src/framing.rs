//! Framing of response bodies.

use hyper::body::Body;
use hyper::header::TRANSFER_ENCODING;
use hyper::http;
use strum::Display;

/// Transfer coding that delimits a body, if it is the last one.
const CHUNKED: &str = "chunked";

/// What delimits the body of a response.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Framing {
    /// A length, which is 0 for responses that have no body.
    Length,
    Chunks,
    /// The end of the connection, so that a body that was broken off looks complete.
    Connection,
}

impl Framing {
    /// Returns what delimits `body`, of which nothing has been read.
    pub(crate) fn of(head: &http::response::Parts, body: &impl Body) -> Self {
        let codings = head.headers.get_all(TRANSFER_ENCODING).iter();
        let last = codings.filter_map(|value| value.to_str().ok()).next_back();
        let last = last.and_then(|value| value.rsplit(',').next());
        if body.size_hint().exact().is_some() {
            Self::Length
        } else if last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case(CHUNKED)) {
            Self::Chunks
        } else {
            Self::Connection
        }
    }
}
