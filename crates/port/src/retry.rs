//! Backoff and budget of retries.

use std::time::Duration;

use parking_lot::Mutex;

const TOKEN: u32 = 1;
const DEPOSIT_PERCENT: u32 = 10;
const HUNDREDTHS: u32 = 100;

/// Exponential backoff with full jitter (Brooker, "Exponential Backoff And
/// Jitter", 2015).
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    max: Duration,
    attempt: u32,
}

impl Backoff {
    /// Starts with a wait of up to `base`, doubled with each attempt up to `max`.
    #[must_use]
    pub fn new(base: Duration, max: Duration) -> Self {
        Self {
            base,
            max,
            attempt: 0,
        }
    }

    /// The wait before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let factor = 1_u32.checked_shl(self.attempt).unwrap_or(u32::MAX);
        let ceiling = self.base.saturating_mul(factor).min(self.max);
        self.attempt = self.attempt.saturating_add(1);
        ceiling.mul_f64(rand::random::<f64>())
    }

    /// Starts again from the base.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}

/// Limits retries to a share of the requests, so that they cannot multiply an
/// overload.
#[derive(Debug)]
pub struct Budget {
    hundredths: Mutex<u32>,
    cap: u32,
}

impl Budget {
    /// Starts full, with `burst` retries.
    #[must_use]
    pub fn new(burst: u32) -> Self {
        let cap = burst.saturating_mul(HUNDREDTHS);
        Self {
            hundredths: Mutex::new(cap),
            cap,
        }
    }

    /// Counts a request; ten of them earn one retry.
    pub fn deposit(&self) {
        let mut held = self.hundredths.lock();
        *held = (*held + DEPOSIT_PERCENT).min(self.cap);
    }

    /// Takes one retry if the budget holds one.
    #[must_use]
    pub fn withdraw(&self) -> bool {
        let mut held = self.hundredths.lock();
        match held.checked_sub(TOKEN * HUNDREDTHS) {
            Some(rest) => {
                *held = rest;
                true
            }
            None => false,
        }
    }
}
