//! Keep-alive of idle models, derived from the gaps between their uses.
//!
//! The gaps are counted in a histogram, as in the hybrid policy of Shahrad et
//! al., "Serverless in the Wild", USENIX ATC 2020: a model either stays loaded
//! for a while, or is unloaded and loaded again shortly before its next use. That
//! policy derives the window from two percentiles. This one takes the window of
//! the lowest expected cost, with a fixed cost for each cold start (the
//! rent-or-buy problem with a known distribution; Karlin et al., "Competitive
//! Randomized Algorithms for Nonuniform Problems", Algorithmica 1994).

use std::sync::OnceLock;
use std::time::Duration;

const BIN_WIDTH: Duration = Duration::from_secs(30);
const BIN_COUNT: usize = 480;
const MIN_SAMPLES: u32 = 4;
/// Idle time that costs as much as one cold start.
pub const COLD_START_COST: Duration = Duration::from_mins(20);
/// Time for which every model stays loaded after a use.
pub const MIN_KEEP_ALIVE: Duration = Duration::from_secs(30);
const DECAY_THRESHOLD: u32 = 256;

/// Keep-alive of a model with too few recorded gaps.
pub const DEFAULT_KEEP_ALIVE: Duration = Duration::from_mins(10);

/// Histogram of the gaps between the uses of one model.
#[derive(Clone, Debug, Default)]
pub struct History {
    bins: Vec<u32>,
    overflow: u32,
    total: u32,
    window: OnceLock<Window>,
}

/// When an idle model is unloaded and loaded again, counted from its last use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Window {
    /// When it is loaded again; zero if it stays loaded until `keep_alive`.
    pub prewarm: Duration,
    /// When it is unloaded until its next use.
    pub keep_alive: Duration,
}

impl Window {
    /// Time for which a model is loaded but unused during `gap`.
    #[must_use]
    pub fn idle(&self, gap: Duration) -> Duration {
        if self.prewarm.is_zero() {
            return gap.min(self.keep_alive);
        }
        gap.min(MIN_KEEP_ALIVE) + gap.min(self.keep_alive).saturating_sub(self.prewarm)
    }

    /// Whether the use after `gap` finds the model unloaded.
    #[must_use]
    pub fn is_cold(&self, gap: Duration) -> bool {
        let in_pause = gap > MIN_KEEP_ALIVE && gap < self.prewarm;
        in_pause || gap > self.keep_alive
    }
}

/// Cumulative counts and lengths of the recorded gaps, so that the cost of a
/// window takes a few binary searches.
struct Sums {
    /// Midpoints of the non-empty bins, in ascending order.
    gaps: Vec<Duration>,
    /// Number of gaps in the bins before each entry of `gaps`; the last value is
    /// the number in all bins.
    counts: Vec<u32>,
    /// Total length of the gaps counted in `counts`.
    lengths: Vec<Duration>,
    /// Number of gaps beyond the last bin.
    overflow: u32,
}

impl Sums {
    fn new(bins: &[u32], overflow: u32) -> Self {
        let mut sums = Self {
            gaps: Vec::new(),
            counts: vec![0],
            lengths: vec![Duration::ZERO],
            overflow,
        };
        let (mut count, mut length) = (0, Duration::ZERO);
        for (bin, gaps) in (0..).zip(bins).filter(|(_, gaps)| **gaps > 0) {
            let gap = BIN_WIDTH * bin + BIN_WIDTH / 2;
            count += gaps;
            length += gap * *gaps;
            sums.gaps.push(gap);
            sums.counts.push(count);
            sums.lengths.push(length);
        }
        sums
    }

    // Idle time plus the cost of the cold starts, over all recorded gaps.
    fn cost(&self, window: Window) -> Duration {
        let all = self.gaps.len();
        let within_keep = self.gaps.partition_point(|gap| *gap <= window.keep_alive);
        let longer = self.counts[all] - self.counts[within_keep] + self.overflow;
        if window.prewarm.is_zero() {
            let idle = self.lengths[within_keep] + window.keep_alive * longer;
            return idle + COLD_START_COST * longer;
        }
        let within_min_keep = self.gaps.partition_point(|gap| *gap <= MIN_KEEP_ALIVE);
        let before_prewarm = self.gaps.partition_point(|gap| *gap < window.prewarm);
        let min_keep_idle = self.lengths[within_min_keep]
            + MIN_KEEP_ALIVE * (self.counts[all] - self.counts[within_min_keep] + self.overflow);
        let prewarmed = self.counts[within_keep] - self.counts[before_prewarm];
        let prewarm_idle = self.lengths[within_keep]
            .saturating_sub(self.lengths[before_prewarm])
            .saturating_sub(window.prewarm * prewarmed)
            + window.keep_alive.saturating_sub(window.prewarm) * longer;
        let cold = self.counts[before_prewarm] - self.counts[within_min_keep] + longer;
        min_keep_idle + prewarm_idle + COLD_START_COST * cold
    }
}

impl History {
    /// Records the gap between two uses.
    pub fn record(&mut self, gap: Duration) {
        if self.total >= DECAY_THRESHOLD {
            self.decay();
        }
        self.total += 1;
        let bin = usize::try_from(gap.as_secs() / BIN_WIDTH.as_secs()).unwrap_or(BIN_COUNT);
        if bin >= BIN_COUNT {
            self.overflow += 1;
        } else {
            self.bins.resize(self.bins.len().max(bin + 1), 0);
            self.bins[bin] += 1;
        }
        self.window = OnceLock::new();
    }

    /// The window of the lowest cost for the recorded gaps, or the default if there
    /// are too few.
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

    // Tries the windows that start one and a half bins before a recorded gap, or
    // at once, and end one and a half bins after one.
    fn cheapest(&self) -> Window {
        let sums = Sums::new(&self.bins, self.overflow);
        let mut best = Window {
            prewarm: Duration::ZERO,
            keep_alive: MIN_KEEP_ALIVE,
        };
        let mut least = sums.cost(best);
        for (at, last) in sums.gaps.iter().enumerate() {
            let keep_alive = *last + BIN_WIDTH * 3 / 2;
            let prewarms = sums.gaps[..=at]
                .iter()
                .map(|first| first.saturating_sub(BIN_WIDTH * 3 / 2));
            for prewarm in prewarms.chain([Duration::ZERO]) {
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
        self.overflow /= 2;
        self.total = self.bins.iter().sum::<u32>() + self.overflow;
    }
}
