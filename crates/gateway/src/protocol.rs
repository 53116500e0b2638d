//! The HTTP heads of a protocol between callers, instances and runners.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode, http};

use crate::call::Call;
use crate::refusal::Refusal;
use crate::{Result, id};

/// What one sending of a request adds to it.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Runner that alone may run it.
    pub runner: id::Runner,
    /// Time left to the deadline.
    pub remaining: Duration,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Event after which a stream goes on, if the system resumes it.
    pub resume_after: Option<u64>,
}

/// What a runner's head says about the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The runner's own answer to this request.
    Answer,
    /// The runner has not run the request and never will; try another.
    NotRun,
    /// The address belongs to another runner, which has not run the request.
    OtherRunner,
    /// The runner lacks the model or adapter and has not run the request.
    NotHeld,
    /// Not an answer to this request.
    Foreign,
}

/// Translates heads; implemented once for each protocol.
pub trait Protocol: Debug + Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails with the refusal that the caller gets if the head is malformed.
    fn decode(&self, head: &http::request::Parts) -> std::result::Result<Call, Refusal>;

    /// Makes the head for a runner: method and target stay, connection headers go.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be written as a header.
    fn encode(
        &self,
        head: &http::request::Parts,
        address: SocketAddr,
        body_bytes: usize,
        dispatch: &Dispatch,
    ) -> Result<http::request::Parts>;

    /// Reads the head of a runner's answer to `call`.
    fn classify(&self, call: &Call, runner: &str, head: &http::response::Parts) -> Verdict;

    /// Whether the runner ends the connection after this answer.
    fn closes(&self, head: &http::response::Parts) -> bool;

    /// Time for which the runner keeps the idle connection, if it says so.
    fn keep_alive(&self, head: &http::response::Parts) -> Option<Duration>;

    /// Makes the head for the caller from a runner's head.
    fn response_head(&self, head: &http::response::Parts) -> http::response::Parts;

    /// Makes the answer to a request that the system refuses.
    fn refusal_response(&self, call: Option<&Call>, refusal: &Refusal) -> Response<Bytes>;

    /// Whether `path` is the readiness check.
    fn is_readiness_check(&self, head: &http::request::Parts) -> bool;

    /// Whether `path` asks which addresses to use.
    fn is_directory_request(&self, head: &http::request::Parts) -> bool;

    /// Makes the list of addresses to use.
    fn directory_response(&self, addresses: &[SocketAddr], ttl: Duration) -> Response<Bytes>;

    /// Status without a body.
    fn status(&self, status: StatusCode) -> Response<Bytes> {
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = status;
        response
    }
}
