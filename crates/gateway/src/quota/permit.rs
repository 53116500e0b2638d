//! Decisions on single requests.

use std::time::Duration;

/// Tokens that a request has spent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Permit {
    /// Number of tokens.
    pub cost: u64,
    /// Where they came from.
    pub source: Source,
}

/// Where the tokens of a request came from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Source {
    /// Granted by the owner, to be spent until this time.
    Owner(Duration),
    /// Of the equal share of this instance, which applies since this time.
    Share(Duration),
}

/// Refusal of a request over the quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Denial {
    /// Time after which the caller may return.
    pub retry_after: Duration,
    /// Whether no owner was reachable, so that the equal share applied.
    pub is_local: bool,
    /// Tokens that this instance held.
    pub held: u64,
    /// Time since the last answer of an owner, if there was one.
    pub answer_age: Option<Duration>,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The request may be sent.
    Admitted(Permit),
    /// The request is refused.
    Refused(Denial),
}
