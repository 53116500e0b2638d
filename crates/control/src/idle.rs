//! Keep-alive of idle models from their own history of gaps.
//!
//! The policy is the hybrid histogram of Shahrad et al., "Serverless in the
//! Wild", USENIX ATC 2020: gaps between uses fall into bins; the model is kept
//! until the tail of the histogram, and, if the head is far off, unloaded at
//! first and loaded again shortly before the head.

use std::time::Duration;

const BIN: Duration = Duration::from_secs(30);
const BINS: usize = 480;
const MIN_SAMPLES: u32 = 4;
const HEAD_PERCENT: u32 = 5;
const TAIL_PERCENT: u32 = 99;
const MAX_BEYOND_PERCENT: u32 = 30;
const DECAY_AT: u32 = 256;

/// How long a model is kept when its history says nothing.
pub const DEFAULT_KEEP_ALIVE: Duration = Duration::from_mins(10);

/// Gaps between the uses of one model.
#[derive(Clone, Debug, Default)]
pub struct History {
    bins: Vec<u32>,
    beyond: u32,
    total: u32,
}

/// When an idle model is unloaded and loaded again, counted from its last use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Window {
    /// When it is loaded again; zero if it is not unloaded before.
    pub prewarm: Duration,
    /// When it is unloaded for good.
    pub keep_alive: Duration,
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
            return;
        }
        if self.bins.len() <= bin {
            self.bins.resize(bin + 1, 0);
        }
        self.bins[bin] += 1;
    }

    /// The window that the history calls for.
    #[must_use]
    pub fn window(&self) -> Window {
        let beyond_percent = self.beyond * 100 / self.total.max(1);
        if self.total < MIN_SAMPLES || beyond_percent > MAX_BEYOND_PERCENT {
            return Window {
                prewarm: Duration::ZERO,
                keep_alive: DEFAULT_KEEP_ALIVE,
            };
        }
        let head = self.percentile(HEAD_PERCENT);
        let tail = self.percentile(TAIL_PERCENT) + 1;
        Window {
            prewarm: BIN * head.saturating_sub(1),
            keep_alive: BIN * tail + BIN / 2,
        }
    }

    fn percentile(&self, percent: u32) -> u32 {
        let inside = self.total - self.beyond;
        let target = (inside * percent).div_ceil(100).max(1);
        let mut seen = 0;
        for (bin, count) in (0..).zip(&self.bins) {
            seen += count;
            if seen >= target {
                return bin;
            }
        }
        u32::try_from(self.bins.len()).unwrap_or(u32::MAX)
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
