//! Observes the gaps between the events of running streams, by runner.
//!
//! An engine that is slow for a moment, or that has more prompts to prefill than its
//! runner's other callers have reported yet, shows it first in the streams that are
//! running there.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;

use crate::id;

/// Time after which the last event of a runner's streams says nothing about it.
const TTL: Duration = Duration::from_millis(250);
/// Weight of the newest gap in the exponential moving average.
const SMOOTHING: f64 = 0.5;

/// Average of the last gaps, by runner.
#[derive(Debug, Default)]
pub struct Estimator {
    runners: Mutex<BTreeMap<id::Runner, State>>,
}

#[derive(Clone, Copy, Debug)]
struct State {
    average: Duration,
    at: Duration,
}

impl Estimator {
    /// Records that a stream of the runner had an event `gap` after the one before.
    pub fn observe(&self, runner: &str, gap: Duration, now: Duration) {
        let mut runners = self.runners.lock();
        let state = State {
            average: gap,
            at: now,
        };
        let known = runners.entry(runner.to_owned()).or_insert(state);
        if now.saturating_sub(known.at) < TTL {
            known.average = known.average.mul_f64(1.0 - SMOOTHING) + gap.mul_f64(SMOOTHING);
        } else {
            known.average = gap;
        }
        known.at = now;
    }

    /// Returns the average of the last gaps, or 0 if there were no events lately.
    #[must_use]
    pub fn recent(&self, runner: &str, now: Duration) -> Duration {
        let runners = self.runners.lock();
        runners
            .get(runner)
            .filter(|state| now.saturating_sub(state.at) < TTL)
            .map_or(Duration::ZERO, |state| state.average)
    }

    /// Removes the runners for which `is_known` returns false.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.runners.lock().retain(|runner, _| is_known(runner));
    }
}
