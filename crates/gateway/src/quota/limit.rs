//! The quota of one tenant.

use almondbank_wire::gateway::Quota as Bound;

use crate::tenant::Quota;

/// A tenant with its current quota.
#[derive(Clone, Copy, Debug)]
pub struct Limit<'a> {
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Its quota.
    pub quota: &'a Quota,
}

/// Returns what may be used in a window beyond the rate and the burst.
pub(crate) fn spare(quota: &Quota, bound: &Bound) -> f64 {
    let window = quota.rate * bound.window.as_secs_f64() + quota.burst;
    window * bound.overage + bound.slack
}
