//! Limit on the requests of a tenant.

use strum::{Display, EnumString};

use crate::call::Call;

/// What a quota counts.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Unit {
    /// Each request counts as one.
    #[default]
    Requests,
    /// A request counts as the tokens of its prompt and of its longest output.
    Tokens,
}

/// Limit on the requests of a tenant, over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// What the limit counts.
    pub unit: Unit,
    /// Units per second.
    pub rate: f64,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
    /// Tokens that a request counts as if it does not state any.
    pub plain_tokens: u64,
}

impl Quota {
    /// Returns the number of units that a request uses.
    #[must_use]
    pub fn cost(&self, call: &Call) -> u64 {
        let tokens = call.prompt_tokens.saturating_add(call.max_output_tokens);
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens if call.has_token_usage => tokens,
            Unit::Tokens => self.plain_tokens,
        }
    }
}
