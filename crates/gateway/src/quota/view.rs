//! What an instance sees of the others.

use std::time::Duration;

use crate::quota::SLOTS;

/// What an instance sees of the membership, as far as it decides on what it grants.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// Whether this instance is the owner, by slot.
    pub owns: [bool; SLOTS],
    /// Whether the former owner has said that it leaves, and grants nothing more, by slot.
    pub inherits: [bool; SLOTS],
    /// Live instances, including this one.
    pub reachable: usize,
    /// Instances that quotas are divided among, including this one.
    pub all: usize,
    /// Longest time until a change at one instance is known to all that are in touch.
    pub report_time: Duration,
    /// Whether this instance knows all others, which it may not right after its start.
    pub is_settled: bool,
}

impl View {
    /// Part of each quota that this instance may grant.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        (count(self.reachable) * self.share()).min(1.0)
    }

    /// Whether all instances that quotas are divided among are in touch with this one.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.is_settled && self.reachable == self.all
    }

    /// Equal share of one instance.
    #[must_use]
    pub fn share(&self) -> f64 {
        1.0 / count(self.all.max(1))
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
