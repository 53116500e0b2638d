//! The time for which a runner stays usable although its registration was removed.

use std::time::Duration;

/// Time for which a runner whose registration was removed in an outage stays usable.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Grace {
    /// It ends at this time.
    Until(Duration),
    /// The store is away again, so that live runners cannot register.
    Suspended {
        /// Time since when.
        at: Duration,
        /// Time that was left then.
        left: Duration,
    },
}

impl Grace {
    /// Whether the runner is still usable.
    pub(crate) fn holds(&self, now: Duration) -> bool {
        match self {
            Self::Until(until) => now < *until,
            Self::Suspended { .. } => true,
        }
    }

    /// The store is away from `now` on.
    pub(crate) fn suspend(&mut self, now: Duration) {
        if let Self::Until(until) = *self
            && now < until
        {
            let left = until.saturating_sub(now);
            *self = Self::Suspended { at: now, left };
        }
    }

    /// The store is back. Live runners register within `longest` after a long outage; a short one
    /// only delays them.
    pub(crate) fn resume(&mut self, longest: Duration, now: Duration) {
        if let Self::Suspended { at, left } = *self {
            let time = left + now.saturating_sub(at);
            *self = Self::Until(now + time.min(longest));
        }
    }

    /// The runner is known to live; it stays usable until `until` at least.
    pub(crate) fn extend(&mut self, until: Duration) {
        if let Self::Until(former) = self {
            *former = until.max(*former);
        }
    }

    /// The runner accepts no requests, as far as is known `now`.
    pub(crate) fn end(&mut self, now: Duration) {
        *self = Self::Until(now);
    }
}
