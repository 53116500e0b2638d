//! Limits on loads from the weight store: concurrency and rate.

use std::time::Duration;

/// A token bucket with a limit on concurrent loads.
#[derive(Clone, Debug)]
pub struct Budget {
    slots: u32,
    per_second: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl Budget {
    /// Creates a full bucket: `slots` loads may start at once, then `per_second`.
    #[must_use]
    pub fn new(slots: u32, per_second: f64) -> Self {
        Self {
            slots,
            per_second,
            tokens: f64::from(slots),
            refilled_at: Duration::ZERO,
        }
    }

    /// Creates a bucket that is empty at `now`, for a new leader, which cannot know
    /// which loads its predecessor has just started.
    #[must_use]
    pub fn empty(slots: u32, per_second: f64, now: Duration) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
            ..Self::new(slots, per_second)
        }
    }

    /// Adds the tokens earned up to `now`.
    pub fn refill(&mut self, now: Duration) {
        let earned = now.saturating_sub(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + earned).min(f64::from(self.slots));
        self.refilled_at = now;
    }

    /// Takes the token for one load while `running` loads are in progress; returns
    /// whether the load may start.
    #[must_use]
    pub fn take(&mut self, running: u32) -> bool {
        let allowed = running < self.slots && self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
