//! Exponential backoff and retry budgets.

use std::time::Duration;

use parking_lot::Mutex;

const TOKENS_PER_RETRY: u32 = 1;
const DEPOSIT_HUNDREDTHS: u32 = 10;
const HUNDREDTHS_PER_TOKEN: u32 = 100;

/// Exponential backoff with full jitter (Brooker, "Exponential Backoff And
/// Jitter", 2015).
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    max: Duration,
    attempt: u32,
}

impl Backoff {
    /// Makes a backoff whose maximum delay is `base` at first and doubles with each
    /// attempt up to `max`.
    #[must_use]
    pub fn new(base: Duration, max: Duration) -> Self {
        Self {
            base,
            max,
            attempt: 0,
        }
    }

    /// Returns a random delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let factor = 1_u32.checked_shl(self.attempt).unwrap_or(u32::MAX);
        let ceiling = self.base.saturating_mul(factor).min(self.max);
        self.attempt = self.attempt.saturating_add(1);
        ceiling.mul_f64(rand::random::<f64>())
    }

    /// Resets the maximum delay to `base`.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}

/// Token bucket that limits retries to 10 percent of the requests, so that
/// retries do not amplify an overload.
#[derive(Debug)]
pub struct Budget {
    hundredths: Mutex<u32>,
    cap: u32,
}

impl Budget {
    /// Makes a full budget of `burst` retries.
    #[must_use]
    pub fn new(burst: u32) -> Self {
        let cap = burst.saturating_mul(HUNDREDTHS_PER_TOKEN);
        Self {
            hundredths: Mutex::new(cap),
            cap,
        }
    }

    /// Adds a tenth of a retry to the budget; call it for each request.
    pub fn deposit(&self) {
        let mut balance = self.hundredths.lock();
        *balance = (*balance + DEPOSIT_HUNDREDTHS).min(self.cap);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        let mut balance = self.hundredths.lock();
        match balance.checked_sub(TOKENS_PER_RETRY * HUNDREDTHS_PER_TOKEN) {
            Some(remaining) => {
                *balance = remaining;
                true
            }
            None => false,
        }
    }
}
