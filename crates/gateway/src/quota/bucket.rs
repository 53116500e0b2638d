//! Token buckets.

use std::time::Duration;

/// Difference to a whole number of tokens that the arithmetic may leave.
const ROUNDING: f64 = 1e-6;

/// A token bucket, whose rate and size may change.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    tokens: f64,
    /// Tokens per second.
    rate: f64,
    cap: f64,
    filled_at: Duration,
}

impl Bucket {
    /// Creates an empty bucket.
    #[must_use]
    pub fn empty(rate: f64, cap: f64, now: Duration) -> Self {
        Self {
            tokens: 0.0,
            rate,
            cap,
            filled_at: now,
        }
    }

    /// Changes the rate and the size. Tokens beyond the new size are lost.
    pub fn resize(&mut self, rate: f64, cap: f64, now: Duration) {
        self.fill(now);
        self.rate = rate;
        self.cap = cap;
        self.tokens = self.tokens.min(cap);
    }

    /// Number of tokens; negative after a request that was larger than the bucket.
    #[must_use]
    pub fn tokens(&mut self, now: Duration) -> f64 {
        self.fill(now);
        self.tokens
    }

    /// Maximum number of tokens.
    #[must_use]
    pub fn cap(&self) -> f64 {
        self.cap
    }

    /// Takes `cost` tokens; returns whether there were enough. A cost beyond the size needs a
    /// full bucket, or a request larger than that would never be served.
    #[must_use]
    pub fn take(&mut self, cost: f64, now: Duration) -> bool {
        self.fill(now);
        let is_enough = self.tokens + ROUNDING >= cost.min(self.cap);
        if is_enough {
            self.tokens -= cost;
        }
        is_enough
    }

    /// Takes `cost` tokens if there are as many.
    #[must_use]
    pub fn take_whole(&mut self, cost: f64, now: Duration) -> bool {
        self.fill(now);
        let is_enough = self.tokens + ROUNDING >= cost;
        if is_enough {
            self.tokens -= cost;
        }
        is_enough
    }

    /// Returns tokens that were not used.
    pub fn put_back(&mut self, tokens: f64, now: Duration) {
        self.fill(now);
        self.tokens = (self.tokens + tokens).min(self.cap);
    }

    /// Time until `cost` can be taken.
    #[must_use]
    pub fn wait(&mut self, cost: f64, now: Duration) -> Duration {
        self.fill(now);
        let missing = cost.min(self.cap) - self.tokens;
        Duration::try_from_secs_f64(missing.max(0.0) / self.rate).unwrap_or(Duration::MAX)
    }

    fn fill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + self.rate * elapsed).min(self.cap);
        self.filled_at = self.filled_at.max(now);
    }
}
