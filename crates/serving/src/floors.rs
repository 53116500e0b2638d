//! Minimum share of the capacity for each rank, even under a flood of more urgent
//! requests.

use std::time::Duration;

use almondbank_wire::rank::{self, Rank};

const HALF_LIFE: Duration = Duration::from_secs(10);
const PERCENT: f64 = 100.0;

/// Recent slot time of each rank, compared with its floor.
#[derive(Clone, Debug)]
pub struct Floors {
    /// Minimum share of each rank, from 0 to 1.
    shares: [f64; rank::ALL.len()],
    /// Recent slot time of each rank, in seconds; it decays with [`HALF_LIFE`].
    used: [f64; rank::ALL.len()],
    /// Moving average of the slot time per request of each rank, in seconds.
    service_time: [f64; rank::ALL.len()],
    decayed_at: Duration,
}

impl Default for Floors {
    fn default() -> Self {
        Self::new([0, 0, 0])
    }
}

impl Floors {
    /// Creates floors from percentages, by rank.
    #[must_use]
    pub fn new(percent: [u8; rank::ALL.len()]) -> Self {
        Self {
            shares: percent.map(|percent| f64::from(percent) / PERCENT),
            used: [0.0; rank::ALL.len()],
            service_time: [0.0; rank::ALL.len()],
            decayed_at: Duration::ZERO,
        }
    }

    /// Changes the floors; the recorded slot time stays.
    pub fn set(&mut self, percent: [u8; rank::ALL.len()]) {
        self.shares = percent.map(|percent| f64::from(percent) / PERCENT);
    }

    /// Minimum share of `rank`, from 0 to 1.
    #[must_use]
    pub fn share(&self, rank: Rank) -> f64 {
        self.shares[rank.index()]
    }

    /// Order in which the ranks get free slots: those below their floor first, then
    /// by urgency.
    #[must_use]
    pub fn order(&self) -> [Rank; rank::ALL.len()] {
        let mut order = rank::ALL;
        order.sort_by_key(|rank| !self.is_below(*rank));
        order
    }

    /// Records the start of a request, with the mean slot time of its rank.
    pub fn start(&mut self, rank: Rank, now: Duration) {
        self.decay(now);
        self.used[rank.index()] += self.service_time[rank.index()];
    }

    /// Records the end of a request; replaces its mean slot time by `held`, the time
    /// for which it occupied the slot.
    pub fn finish(&mut self, rank: Rank, held: Duration, now: Duration) {
        self.decay(now);
        let index = rank.index();
        let held = held.as_secs_f64();
        self.used[index] = (self.used[index] + held - self.service_time[index]).max(0.0);
        self.service_time[index] += (held - self.service_time[index]) / 8.0;
    }

    /// Whether `rank` has recently used less than its minimum share.
    #[must_use]
    pub fn is_below(&self, rank: Rank) -> bool {
        let total: f64 = self.used.iter().sum();
        let index = rank.index();
        self.shares[index] > 0.0 && self.used[index] < self.shares[index] * total
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let factor = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        for used in &mut self.used {
            *used *= factor;
        }
        self.decayed_at = now;
    }
}
