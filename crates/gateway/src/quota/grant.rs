//! Answers to requests for tokens.

use std::time::Duration;

/// Answer of an owner to an ask.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Grant {
    /// Granted tokens: those of the first waiting requests, and those for expected ones.
    pub tokens: u64,
    /// Time from the ask for which they may be spent.
    pub lifetime: Duration,
    /// Time for which another ask would be in vain; zero if no request was refused.
    pub pause: Duration,
    /// Time after which the first refused caller may return.
    pub retry_after: Duration,
    /// Time over which the other refused callers return after that.
    pub spread: Duration,
}
