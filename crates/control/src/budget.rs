//! The weight store's budget: loads at once and loads begun in a second.

use std::time::Duration;

/// A token bucket with a limit on what runs at once.
#[derive(Clone, Debug)]
pub struct Budget {
    slots: u32,
    per_second: f64,
    tokens: f64,
    filled: Duration,
}

impl Budget {
    /// Starts full: `slots` loads may begin at once, then `per_second`.
    #[must_use]
    pub fn new(slots: u32, per_second: f64) -> Self {
        Self {
            slots,
            per_second,
            tokens: f64::from(slots),
            filled: Duration::ZERO,
        }
    }

    /// Starts empty at `now`; a successor cannot know what was just begun.
    #[must_use]
    pub fn empty(slots: u32, per_second: f64, now: Duration) -> Self {
        Self {
            tokens: 0.0,
            filled: now,
            ..Self::new(slots, per_second)
        }
    }

    /// Adds the tokens earned up to `now`.
    pub fn refill(&mut self, now: Duration) {
        let earned = now.saturating_sub(self.filled).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + earned).min(f64::from(self.slots));
        self.filled = now;
    }

    /// Takes leave for one load while `running` are at work.
    #[must_use]
    pub fn take(&mut self, running: u32) -> bool {
        let allowed = running < self.slots && self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
