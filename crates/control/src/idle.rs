//! Keep-alive of idle models from their own history of gaps.
//!
//! Gaps between uses fall into the bins of a histogram, as in the hybrid policy
//! of Shahrad et al., "Serverless in the Wild", USENIX ATC 2020: a model is kept
//! for a while, or unloaded at first and loaded again shortly before its next
//! use. Which of the windows is taken is not read off two percentiles, but the
//! one of the least expected cost, with a price on each cold start (rent or buy
//! against a known distribution; Karlin et al., "Competitive Randomized
//! Algorithms for Nonuniform Problems", Algorithmica 1994).

use std::time::Duration;

const BIN: Duration = Duration::from_secs(30);
const BINS: usize = 480;
const MIN_SAMPLES: u32 = 4;
/// Idle time that one cold start is worth.
const COLD_START_COST: Duration = Duration::from_mins(20);
/// Time for which a model is kept in any case.
pub const LINGER: Duration = Duration::from_secs(30);
const DECAY_AT: u32 = 256;

/// How long a model is kept when its history says nothing.
pub const DEFAULT_KEEP_ALIVE: Duration = Duration::from_mins(10);

/// Gaps between the uses of one model.
#[derive(Clone, Debug, Default)]
pub struct History {
    bins: Vec<u32>,
    beyond: u32,
    total: u32,
    window: Option<Window>,
}

/// When an idle model is unloaded and loaded again, counted from its last use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Window {
    /// When it is loaded again; zero if it is not unloaded before.
    pub prewarm: Duration,
    /// When it is unloaded for good.
    pub keep_alive: Duration,
}

impl Window {
    /// Time for which a model is idle in memory during a gap.
    #[must_use]
    pub fn idle(&self, gap: Duration) -> Duration {
        if self.prewarm.is_zero() {
            return gap.min(self.keep_alive);
        }
        gap.min(LINGER) + gap.min(self.keep_alive).saturating_sub(self.prewarm)
    }

    /// Whether the use after a gap finds the model unloaded.
    #[must_use]
    pub fn is_cold(&self, gap: Duration) -> bool {
        let away = gap > LINGER && gap < self.prewarm;
        away || gap > self.keep_alive
    }

    fn cost(&self, gap: Duration) -> Duration {
        let cold = if self.is_cold(gap) {
            COLD_START_COST
        } else {
            Duration::ZERO
        };
        self.idle(gap) + cold
    }
}

impl History {
    /// Records one gap.
    pub fn record(&mut self, gap: Duration) {
        if self.total >= DECAY_AT {
            self.decay();
        }
        self.total += 1;
        let bin = usize::try_from(gap.as_secs() / BIN.as_secs()).unwrap_or(BINS);
        if bin >= BINS {
            self.beyond += 1;
        } else {
            self.bins.resize(self.bins.len().max(bin + 1), 0);
            self.bins[bin] += 1;
        }
        self.window = (self.total >= MIN_SAMPLES).then(|| self.cheapest());
    }

    /// The window that the history calls for.
    #[must_use]
    pub fn window(&self) -> Window {
        self.window.unwrap_or(Window {
            prewarm: Duration::ZERO,
            keep_alive: DEFAULT_KEEP_ALIVE,
        })
    }

    // Tries every window whose edges lie at gaps that have occurred.
    fn cheapest(&self) -> Window {
        let occupied: Vec<_> = (0..)
            .zip(&self.bins)
            .filter(|(_, count)| **count > 0)
            .map(|(bin, _): (u32, _)| bin)
            .collect();
        let mut best = Window {
            prewarm: Duration::ZERO,
            keep_alive: LINGER,
        };
        let mut least = self.cost(best);
        for (at, last) in occupied.iter().enumerate() {
            let keep_alive = BIN * (last + 2);
            let heads = occupied[..=at]
                .iter()
                .map(|first| BIN * first.saturating_sub(1));
            for prewarm in heads.chain([Duration::ZERO]) {
                let window = Window {
                    prewarm: if prewarm > LINGER {
                        prewarm
                    } else {
                        Duration::ZERO
                    },
                    keep_alive,
                };
                let cost = self.cost(window);
                if cost < least {
                    least = cost;
                    best = window;
                }
            }
        }
        best
    }

    // Idle time plus the price of the cold starts, over all recorded gaps.
    fn cost(&self, window: Window) -> Duration {
        let inside: Duration = (0..)
            .zip(&self.bins)
            .filter(|(_, count)| **count > 0)
            .map(|(bin, count): (u32, _)| window.cost(BIN * bin + BIN / 2) * *count)
            .sum();
        inside + window.cost(Duration::MAX) * self.beyond
    }

    // Halves the counts, so that recent gaps weigh more.
    fn decay(&mut self) {
        for count in &mut self.bins {
            *count /= 2;
        }
        self.beyond /= 2;
        self.total = self.bins.iter().sum::<u32>() + self.beyond;
    }
}
