//! Error responses of the gateway itself, in place of a response of a runner.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The head of the request is malformed.
    BadRequest,
    /// The body is longer than the environment allows.
    BodyTooLong,
    /// The body arrived slower than others when memory was short.
    SlowBody,
    /// There is no memory for the body.
    NoMemory,
    /// The route needs a key, and the request has none that the environment lists.
    Unauthorized,
    /// The same, of a request that names an instance which is not known as the one that has
    /// handed it over.
    UnknownSender,
    /// No request to a runner can name the tenant.
    TenantName,
    /// The tenant has used up its quota.
    QuotaExceeded,
    /// No route of the environment matches the request.
    NoRoute,
    /// The instance is shutting down and does not complete the request.
    Leaving,
    /// The instance has not received an environment yet.
    NoEnvironment,
    /// No runner of the service accepts requests.
    NoRunner,
    /// No replica of the model becomes ready in time.
    NoReplica,
    /// All runners are too busy to respond before the deadline.
    Overloaded,
    /// The tenant has used up its share of the slots, and none is free in time.
    FairShare,
    /// All runners that could serve the request have reached a limit that they named.
    RunnerLimit,
    /// All runners that could serve the request turn requests away for a time.
    RunnerClosed,
    /// No runner of the service is in reach of this instance or its peers.
    Unreachable,
    /// A peer has handed the request over, and this instance cannot serve it either.
    Misdirected,
    /// The request takes up a stream, and the software version that began it is not known.
    UnknownOrigin,
    /// No runner has the software version that began the stream.
    NoSoftware,
    /// The deadline passed before the request was sent to a runner.
    Expired,
    /// The request crashes runners.
    CrashingRequest,
    /// A part of the prompt crashes runners.
    CrashingPart,
    /// The retry budget is used up, and the request has not run.
    NoRetry,
    /// The deadline passed after the request was sent; the outcome is unknown.
    Timeout,
    /// The connection to the runner broke; the outcome is unknown.
    Broken,
    /// The runner's response is not valid for this request.
    BadAnswer,
}

/// An error response of the gateway.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Reason, from which the HTTP status follows.
    pub reason: Reason,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without a retry delay.
    #[must_use]
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Whether the status promises that the request has not run and will not run later.
    #[must_use]
    pub fn promises_no_run(&self) -> bool {
        matches!(self.reason.status(), 408 | 421 | 429 | 503)
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

impl Reason {
    /// Returns the HTTP status. [`Refusal::promises_no_run`] tells which guarantee that the
    /// request has not run and will not run later.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized | Self::UnknownSender => 401,
            Self::NoRoute => 404,
            Self::SlowBody => 408,
            Self::BodyTooLong => 413,
            Self::QuotaExceeded => 429,
            Self::TenantName
            | Self::Leaving
            | Self::NoEnvironment
            | Self::NoMemory
            | Self::NoRunner
            | Self::NoReplica
            | Self::Overloaded
            | Self::FairShare
            | Self::RunnerLimit
            | Self::RunnerClosed
            | Self::Unreachable
            | Self::UnknownOrigin
            | Self::NoSoftware
            | Self::Expired
            | Self::CrashingRequest
            | Self::CrashingPart
            | Self::NoRetry => 503,
            Self::Misdirected => 421,
            Self::Broken | Self::BadAnswer => 502,
            Self::Timeout => 504,
        }
    }
}
