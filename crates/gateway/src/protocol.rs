//! Conversion of HTTP heads between a protocol and the types of the gateway.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode, http};

use crate::call::Call;
use crate::notice::Notice;
use crate::refusal::Refusal;
use crate::{Result, id};

/// Data that is added to a request when it is sent to a runner.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// The only runner that may execute the request.
    pub runner: id::Runner,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// Tenant of the caller, if the environment has tenants.
    pub tenant: Option<id::Tenant>,
    /// Id of the event after which the stream continues, if the gateway resumes it.
    pub resume_after: Option<u64>,
}

/// Data that is added to a request when it is handed over to a peer.
#[derive(Clone, Debug)]
pub struct Handover<'a> {
    /// Incarnation of the instance that hands the request over.
    pub from: &'a str,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Tenant of the caller, which this instance has authenticated.
    pub tenant: Option<&'a str>,
    /// The only software version at which the request may run, if it takes up a stream.
    pub software: Option<&'a str>,
}

/// Classification of a runner's response by its head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// A response to this request.
    Answer,
    /// The runner has not executed the request and never will. Another runner may.
    NotRun,
    /// The address belongs to another runner, which has not executed the request.
    OtherRunner,
    /// The runner does not hold the model or adapter and has not executed the
    /// request.
    NotHeld,
    /// A response that does not belong to this request, or is none in the protocol.
    Foreign,
}

/// Encodes and decodes the heads of one protocol.
pub trait Protocol: Debug + Send + Sync {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if the head is malformed.
    fn decode(&self, head: &http::request::Parts) -> std::result::Result<Call, Refusal>;

    /// Whether a request can name `runner` as the only one that may run it. One that cannot
    /// would run at any other runner that is assigned the address.
    fn can_expect(&self, runner: &str) -> bool;

    /// Whether a request to a runner can name `tenant`.
    fn can_name_tenant(&self, tenant: &str) -> bool;

    /// Builds the request head for a runner. Method and request target are kept;
    /// connection headers are removed.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded as a header.
    fn encode(
        &self,
        head: &http::request::Parts,
        address: SocketAddr,
        body_bytes: usize,
        dispatch: &Dispatch,
    ) -> Result<http::request::Parts>;

    /// Builds the request head for a peer that serves the request. The headers of the caller
    /// are kept, except connection headers.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be encoded as a header.
    fn encode_handover(
        &self,
        head: &http::request::Parts,
        body_bytes: usize,
        handover: &Handover<'_>,
    ) -> Result<http::request::Parts>;

    /// Whether a peer's response says that it does not take the request, which has not run.
    fn declines(&self, head: &http::response::Parts) -> bool;

    /// Returns the software version of the runner whose response a peer has passed on, if the
    /// peer names it.
    fn software(&self, head: &http::response::Parts) -> Option<id::Software>;

    /// Names the software version of the runner to the peer that gets its response.
    fn set_software(&self, head: &mut http::response::Parts, software: &str);

    /// Classifies the head of a runner's response to `call`.
    fn classify(&self, call: &Call, runner: &str, head: &http::response::Parts) -> Verdict;

    /// Whether the runner closes the connection after this response.
    fn closes(&self, head: &http::response::Parts) -> bool;

    /// Idle timeout of the runner's connection, if the head states one.
    fn keep_alive(&self, head: &http::response::Parts) -> Option<Duration>;

    /// Returns what the head says about the runner itself.
    fn notice(&self, head: &http::response::Parts) -> Notice;

    /// Builds the response head for the caller from a runner's head.
    fn response_head(&self, head: &http::response::Parts) -> http::response::Parts;

    /// Builds the response to a request that the gateway refuses. `call` is
    /// `None` if the head is malformed.
    fn refusal_response(&self, call: Option<&Call>, refusal: &Refusal) -> Response<Bytes>;

    /// Whether `head` is a readiness check.
    fn is_readiness_check(&self, head: &http::request::Parts) -> bool;

    /// Whether `head` requests the directory of gateway addresses.
    fn is_directory_request(&self, head: &http::request::Parts) -> bool;

    /// Builds the directory response, which callers may cache for `ttl`.
    fn directory_response(&self, addresses: &[SocketAddr], ttl: Duration) -> Response<Bytes>;

    /// Builds a response with a status and no body.
    fn status(&self, status: StatusCode) -> Response<Bytes> {
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = status;
        response
    }
}
