//! Why the system itself ends a request without a runner's answer.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The head is malformed.
    BadRequest,
    /// The body is longer than the environment allows.
    BodyTooLong,
    /// No route of the environment matches.
    NoRoute,
    /// The instance shuts down and could not finish the request.
    Leaving,
    /// No environment is known yet.
    NoEnvironment,
    /// No runner of the service is usable.
    NoRunner,
    /// No runner will hold the model in time.
    NoReplica,
    /// The deadline would pass before a runner begins.
    Overloaded,
    /// The deadline passed while the request waited; it was not sent.
    Expired,
    /// The retry budget is used up; the request has not run.
    NoRetry,
    /// The deadline passed at a runner; the outcome is unknown.
    Timeout,
    /// The connection to the runner broke; the outcome is unknown.
    Broken,
    /// The runner's bytes are not an answer to this request.
    BadAnswer,
}

/// A refusal.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When it makes sense to come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Makes a refusal without a time to come back.
    #[must_use]
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Adds the time after which to come back.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

impl Reason {
    /// HTTP status. 503 promises that the request has not run and never will.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::NoRoute => 404,
            Self::BodyTooLong => 413,
            Self::Leaving
            | Self::NoEnvironment
            | Self::NoRunner
            | Self::NoReplica
            | Self::Overloaded
            | Self::Expired
            | Self::NoRetry => 503,
            Self::Broken | Self::BadAnswer => 502,
            Self::Timeout => 504,
        }
    }
}
