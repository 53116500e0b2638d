//! Shares of the capacity that each rank keeps during a flood of more urgent work.

use std::time::Duration;

use almondbank_wire::rank::{self, Rank};

const HALF_LIFE: Duration = Duration::from_secs(10);
const PERCENT: f64 = 100.0;

/// Slot time that each rank has used lately, against its floor.
#[derive(Clone, Debug)]
pub struct Floors {
    shares: [f64; rank::ALL.len()],
    used: [f64; rank::ALL.len()],
    service: [f64; rank::ALL.len()],
    decayed: Duration,
}

impl Default for Floors {
    fn default() -> Self {
        Self::new([0, 0, 0])
    }
}

impl Floors {
    /// Starts with floors in percent, by rank.
    #[must_use]
    pub fn new(percent: [u8; rank::ALL.len()]) -> Self {
        Self {
            shares: percent.map(|percent| f64::from(percent) / PERCENT),
            used: [0.0; rank::ALL.len()],
            service: [0.0; rank::ALL.len()],
            decayed: Duration::ZERO,
        }
    }

    /// Changes the floors and keeps what was counted.
    pub fn set(&mut self, percent: [u8; rank::ALL.len()]) {
        self.shares = percent.map(|percent| f64::from(percent) / PERCENT);
    }

    /// Share of the capacity that `rank` keeps.
    #[must_use]
    pub fn share(&self, rank: Rank) -> f64 {
        self.shares[rank.index()]
    }

    /// Order in which waiting ranks are served: first those below their floor,
    /// then by urgency.
    #[must_use]
    pub fn order(&self) -> [Rank; rank::ALL.len()] {
        let mut order = rank::ALL;
        order.sort_by_key(|rank| !self.is_below(*rank));
        order
    }

    /// Counts the start of a request at its expected slot time.
    pub fn start(&mut self, rank: Rank, now: Duration) {
        self.decay(now);
        self.used[rank.index()] += self.service[rank.index()];
    }

    /// Counts the end of a request that held its slot for `held`.
    pub fn finish(&mut self, rank: Rank, held: Duration, now: Duration) {
        self.decay(now);
        let at = rank.index();
        let held = held.as_secs_f64();
        self.used[at] = (self.used[at] + held - self.service[at]).max(0.0);
        self.service[at] += (held - self.service[at]) / 8.0;
    }

    /// Whether `rank` has lately used less than its share.
    #[must_use]
    pub fn is_below(&self, rank: Rank) -> bool {
        let total: f64 = self.used.iter().sum();
        let at = rank.index();
        self.shares[at] > 0.0 && self.used[at] < self.shares[at] * total
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed).as_secs_f64();
        let factor = 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        for used in &mut self.used {
            *used *= factor;
        }
        self.decayed = now;
    }
}
