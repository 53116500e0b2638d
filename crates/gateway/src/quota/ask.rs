//! Requests for tokens.

use std::time::Duration;

/// Request of an instance to the owner for tokens of one tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ask {
    /// Costs of the waiting requests, in their order.
    pub costs: Vec<u64>,
    /// Tokens for requests that are expected soon.
    pub prefetch: u64,
    /// Tokens of requests that were refused without an ask since the last one.
    pub refused: u64,
    /// Whether this instance spends its equal share, as it got no answer before.
    pub on_share: bool,
    /// Time within which the answer is needed.
    pub timeout: Duration,
}
