//! Keep-alive of idle models from their own history of gaps.
//!
//! Gaps between uses fall into the bins of a histogram, as in the hybrid policy
//! of Shahrad et al., "Serverless in the Wild", USENIX ATC 2020: a model is kept
//! for a while, or unloaded at first and loaded again shortly before its next
//! use. Which of the windows is taken is not read off two percentiles, but the
//! one of the least expected cost, with a price on each cold start (rent or buy
//! against a known distribution; Karlin et al., "Competitive Randomized
//! Algorithms for Nonuniform Problems", Algorithmica 1994).

use std::sync::OnceLock;
use std::time::Duration;

const BIN: Duration = Duration::from_secs(30);
const BINS: usize = 480;
const MIN_SAMPLES: u32 = 4;
/// Idle time that one cold start is worth.
pub const COLD_START_COST: Duration = Duration::from_mins(20);
/// Time for which a model is kept in any case.
pub const MIN_KEEP_ALIVE: Duration = Duration::from_secs(30);
const DECAY_AT: u32 = 256;

/// How long a model is kept when its history says nothing.
pub const DEFAULT_KEEP_ALIVE: Duration = Duration::from_mins(10);

/// Gaps between the uses of one model.
#[derive(Clone, Debug, Default)]
pub struct History {
    bins: Vec<u32>,
    beyond: u32,
    total: u32,
    window: OnceLock<Window>,
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
        gap.min(MIN_KEEP_ALIVE) + gap.min(self.keep_alive).saturating_sub(self.prewarm)
    }

    /// Whether the use after a gap finds the model unloaded.
    #[must_use]
    pub fn is_cold(&self, gap: Duration) -> bool {
        let away = gap > MIN_KEEP_ALIVE && gap < self.prewarm;
        away || gap > self.keep_alive
    }
}

/// Running counts and sums of the recorded gaps, so that the cost of a window
/// takes two searches.
struct Sums {
    /// Middles of the bins that hold gaps, in order.
    gaps: Vec<Duration>,
    /// Gaps in the bins before each, and in all of them at the end.
    counts: Vec<u32>,
    /// Their lengths added up.
    lengths: Vec<Duration>,
    /// Gaps longer than all bins.
    beyond: u32,
}

impl Sums {
    fn new(bins: &[u32], beyond: u32) -> Self {
        let mut sums = Self {
            gaps: Vec::new(),
            counts: vec![0],
            lengths: vec![Duration::ZERO],
            beyond,
        };
        let (mut count, mut length) = (0, Duration::ZERO);
        for (bin, held) in (0..).zip(bins).filter(|(_, held)| **held > 0) {
            let gap = BIN * bin + BIN / 2;
            count += held;
            length += gap * *held;
            sums.gaps.push(gap);
            sums.counts.push(count);
            sums.lengths.push(length);
        }
        sums
    }

    // Idle time plus the price of the cold starts, over all recorded gaps.
    fn cost(&self, window: Window) -> Duration {
        let all = self.gaps.len();
        let kept = self.gaps.partition_point(|gap| *gap <= window.keep_alive);
        let longer = self.counts[all] - self.counts[kept] + self.beyond;
        if window.prewarm.is_zero() {
            let idle = self.lengths[kept] + window.keep_alive * longer;
            return idle + COLD_START_COST * longer;
        }
        let lingering = self.gaps.partition_point(|gap| *gap <= MIN_KEEP_ALIVE);
        let away = self.gaps.partition_point(|gap| *gap < window.prewarm);
        let lingered = self.lengths[lingering]
            + MIN_KEEP_ALIVE * (self.counts[all] - self.counts[lingering] + self.beyond);
        let within = self.counts[kept] - self.counts[away];
        let warm = self.lengths[kept]
            .saturating_sub(self.lengths[away])
            .saturating_sub(window.prewarm * within)
            + window.keep_alive.saturating_sub(window.prewarm) * longer;
        let cold = self.counts[away] - self.counts[lingering] + longer;
        lingered + warm + COLD_START_COST * cold
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
        self.window = OnceLock::new();
    }

    /// The window that the history calls for.
    #[must_use]
    pub fn window(&self) -> Window {
        if self.total < MIN_SAMPLES {
            return Window {
                prewarm: Duration::ZERO,
                keep_alive: DEFAULT_KEEP_ALIVE,
            };
        }
        *self.window.get_or_init(|| self.cheapest())
    }

    // Tries every window whose edges lie at gaps that have occurred.
    fn cheapest(&self) -> Window {
        let sums = Sums::new(&self.bins, self.beyond);
        let mut best = Window {
            prewarm: Duration::ZERO,
            keep_alive: MIN_KEEP_ALIVE,
        };
        let mut least = sums.cost(best);
        for (at, last) in sums.gaps.iter().enumerate() {
            let keep_alive = *last + BIN * 3 / 2;
            let heads = sums.gaps[..=at]
                .iter()
                .map(|first| first.saturating_sub(BIN * 3 / 2));
            for prewarm in heads.chain([Duration::ZERO]) {
                let window = Window {
                    prewarm: if prewarm > MIN_KEEP_ALIVE {
                        prewarm
                    } else {
                        Duration::ZERO
                    },
                    keep_alive,
                };
                let cost = sums.cost(window);
                if cost < least {
                    least = cost;
                    best = window;
                }
            }
        }
        best
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
