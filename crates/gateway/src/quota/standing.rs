//! The part of the quotas that an owner grants.

use std::collections::VecDeque;
use std::time::Duration;

/// Part of the quotas of one slot that its owner grants: the smallest that the membership has
/// allowed within the time of a takeover.
///
/// It shrinks at once and grows late: when the view of the membership changes, the instances
/// that lose a part have then lost it before another one uses it.
#[derive(Clone, Debug)]
pub(crate) struct Standing {
    /// Sliding-window minimum: ascending parts, each with the time at which it was last observed.
    /// The first one is granted.
    parts: VecDeque<(f64, Duration)>,
    /// Start of the time for which it has granted without a break.
    pub(crate) granting_since: Option<Duration>,
}

impl Standing {
    /// Creates the state of a new owner, which grants nothing yet.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            parts: VecDeque::from([(0.0, now)]),
            granting_since: None,
        }
    }

    /// Creates the state of a new owner whose predecessor has stopped.
    pub(crate) fn inherited() -> Self {
        Self {
            parts: VecDeque::new(),
            granting_since: None,
        }
    }

    /// Records the part that the membership allows. Larger parts are granted after `takeover`.
    pub(crate) fn observe(&mut self, fraction: f64, takeover: Duration, now: Duration) {
        while self.parts.back().is_some_and(|(part, _)| *part >= fraction) {
            self.parts.pop_back();
        }
        self.parts.push_back((fraction, now));
        let is_past = |at: Duration| now.saturating_sub(at) >= takeover && now > at;
        while self.parts.len() > 1 && self.parts.front().is_some_and(|(_, at)| is_past(*at)) {
            self.parts.pop_front();
        }
        if self.fraction() > 0.0 {
            self.granting_since.get_or_insert(now);
        }
    }

    /// Part of the quotas that is granted.
    pub(crate) fn fraction(&self) -> f64 {
        self.parts.front().map_or(0.0, |(part, _)| *part)
    }
}
