//! Rates of events, with exponential decay.

use std::time::Duration;

/// Rate of events per second; the weight of an event halves each half-life.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    half_life: Duration,
    /// Decayed number of events.
    sum: f64,
    updated: Duration,
}

impl Rate {
    /// Creates a rate without events.
    #[must_use]
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            sum: 0.0,
            updated: Duration::ZERO,
        }
    }

    /// Adds `count` events.
    pub fn add(&mut self, count: u64, now: Duration) {
        self.decay(now);
        self.sum += f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    }

    /// Returns the events per second.
    #[must_use]
    pub fn per_second(&mut self, now: Duration) -> f64 {
        self.decay(now);
        self.sum * std::f64::consts::LN_2 / self.half_life.as_secs_f64()
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated);
        self.sum *= 0.5_f64.powf(elapsed.div_duration_f64(self.half_life));
        self.updated = self.updated.max(now);
    }
}
