//! Rate at which a body arrives, and which of several gives way.

use std::time::Duration;

/// Half of the time over which a rate is measured.
const HALF_WINDOW: Duration = Duration::from_secs(1);
/// Shortest time over which a rate is measured, so that the first bytes are no high rate.
const MIN_TIME: Duration = Duration::from_millis(250);
/// Age below which a body never counts as stalled.
const MIN_STALL_AGE: Duration = Duration::from_secs(2);
/// Bytes per second below which a body is stalled. At this rate one larger than
/// [`super::SMALL_BODY`] takes over a minute.
const MIN_RATE: u64 = 1024;

/// Rate at which one body arrives.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    began: Duration,
    /// Start of the current half of the window.
    half_began: Duration,
    current: u64,
    /// Bytes of the half before.
    previous: u64,
}

impl Progress {
    /// Starts to measure.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            began: now,
            half_began: now,
            current: 0,
            previous: 0,
        }
    }

    /// Records bytes that have arrived.
    pub fn record(&mut self, bytes: usize, now: Duration) {
        let elapsed = now.saturating_sub(self.half_began);
        if elapsed >= HALF_WINDOW {
            let is_recent = elapsed < 2 * HALF_WINDOW;
            self.previous = if is_recent { self.current } else { 0 };
            self.current = 0;
            self.half_began = now;
        }
        self.current += u64::try_from(bytes).unwrap_or(u64::MAX);
    }

    /// Returns the bytes per second over the last one to two seconds.
    #[must_use]
    pub fn rate(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.half_began);
        if elapsed >= 2 * HALF_WINDOW {
            return 0;
        }
        let age = now.saturating_sub(self.began);
        let time = age.min(elapsed + HALF_WINDOW).max(MIN_TIME);
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        (self.previous + self.current).saturating_mul(1000) / millis.max(1)
    }

    /// Whether the body arrives so slowly that it gives way to a new one.
    #[must_use]
    pub fn is_stalled(&self, now: Duration) -> bool {
        now.saturating_sub(self.began) >= MIN_STALL_AGE && self.rate(now) < MIN_RATE
    }
}

/// An incomplete body that may give way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Number of the body.
    pub id: u64,
    /// Bytes that it holds.
    pub bytes: usize,
    /// Bytes per second over the last one to two seconds.
    pub rate: u64,
}

/// Returns the body that gives way: the one with the lowest rate, of equal ones the one that
/// holds most.
pub fn choose(candidates: impl IntoIterator<Item = Candidate>) -> Option<Candidate> {
    let holding = candidates.into_iter().filter(|body| body.bytes > 0);
    holding.min_by_key(|body| (body.rate, std::cmp::Reverse(body.bytes)))
}
