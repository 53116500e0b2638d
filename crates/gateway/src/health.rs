//! Outlier ejection for runners, from the outcomes of their requests.
//!
//! It detects runners that crash, do not respond or fail part of their requests
//! although their registration is still valid.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;

use crate::id;

/// Duration of the first ejection. It doubles with each further one.
const BASE_EJECTION: Duration = Duration::from_millis(500);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Number of consecutive failures after which a runner is ejected.
const MAX_FAILURES: u32 = 2;
/// Weight of the newest outcome in the moving average of the failure rate.
const SMOOTHING: f64 = 0.2;

/// Health of the runners by id.
#[derive(Debug, Default)]
pub struct Health {
    runners: Mutex<BTreeMap<id::Runner, State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of consecutive failures.
    failures: u32,
    /// Number of ejections since the last success.
    ejections: u32,
    ejected_until: Duration,
    failure_rate: f64,
    /// Whether the last connection to it could not be opened.
    is_out_of_reach: bool,
}

impl Health {
    /// Records a successful request, which ends an ejection.
    pub fn record_success(&self, runner: &str) {
        let mut runners = self.runners.lock();
        if let Some(state) = runners.get_mut(runner) {
            state.failures = 0;
            state.ejections = 0;
            state.ejected_until = Duration::ZERO;
            state.is_out_of_reach = false;
            state.failure_rate *= 1.0 - SMOOTHING;
        }
    }

    /// Records a request without a valid response, and ejects the runner after
    /// consecutive failures.
    pub fn record_failure(&self, runner: &str, now: Duration) {
        let mut runners = self.runners.lock();
        let state = runners.entry(runner.to_owned()).or_default();
        state.raise_failure_rate();
        state.failures += 1;
        if state.failures >= MAX_FAILURES {
            state.eject(now);
        }
    }

    /// Records a failed connection attempt and ejects the runner.
    pub fn record_connect_failure(&self, runner: &str, now: Duration) {
        let mut runners = self.runners.lock();
        let state = runners.entry(runner.to_owned()).or_default();
        state.raise_failure_rate();
        state.failures += 1;
        state.is_out_of_reach = true;
        state.eject(now);
    }

    /// Whether the last connection to the runner could not be opened, and no request was
    /// successful since.
    #[must_use]
    pub fn is_out_of_reach(&self, runner: &str) -> bool {
        let runners = self.runners.lock();
        runners
            .get(runner)
            .is_some_and(|state| state.is_out_of_reach)
    }

    /// Records an error response of the runner. It counts for the failure rate only.
    pub fn record_error(&self, runner: &str) {
        let mut runners = self.runners.lock();
        runners
            .entry(runner.to_owned())
            .or_default()
            .raise_failure_rate();
    }

    /// Whether the runner is ejected at present.
    #[must_use]
    pub fn is_ejected(&self, runner: &str, now: Duration) -> bool {
        let runners = self.runners.lock();
        runners
            .get(runner)
            .is_some_and(|state| now < state.ejected_until)
    }

    /// Returns the share of the runner's recent requests that failed, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, runner: &str) -> f64 {
        let runners = self.runners.lock();
        runners.get(runner).map_or(0.0, |state| state.failure_rate)
    }

    /// Removes what is known of the runner, if its failures were not its own.
    pub fn forget(&self, runner: &str) {
        self.runners.lock().remove(runner);
    }

    /// Removes the runners for which `is_known` returns false.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.runners.lock().retain(|runner, _| is_known(runner));
    }
}

impl State {
    fn raise_failure_rate(&mut self) {
        self.failure_rate += SMOOTHING * (1.0 - self.failure_rate);
    }

    fn eject(&mut self, now: Duration) {
        let factor = 1_u32.checked_shl(self.ejections).unwrap_or(u32::MAX);
        let time = BASE_EJECTION.saturating_mul(factor).min(MAX_EJECTION);
        self.ejections += 1;
        self.ejected_until = now + time;
    }
}
