//! What the head of a runner's response says about the runner itself.

use std::time::Duration;

use crate::runner_limit::Named;

/// What one response says about its runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Limit on the requests per second of all instances.
    pub limit: Named,
    /// Whether the runner leaves, so that this run of it wants no more requests.
    pub is_leaving: bool,
    /// Time for which the runner wants no requests from this instance.
    pub closed_for: Option<Duration>,
    /// Rejections per second, by all instances, beyond which the runner crashes.
    pub max_rejections: Option<f64>,
    /// Whether a part of the head that belongs to a notice has no valid value.
    pub is_malformed: bool,
}
