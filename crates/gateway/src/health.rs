//! Which runners have failed lately.
//!
//! Answers runners that crash, fall silent or fail part of their requests while
//! their registration is good.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;

use crate::id;

/// First time without work after failures in a row.
const BASE_EJECTION: Duration = Duration::from_millis(500);
/// Longest time without work.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Failures in a row after which a runner gets no work for a while.
const MAX_FAILURES: u32 = 2;
/// Weight of the newest outcome in the failure rate.
const SMOOTHING: f64 = 0.2;

/// Outcomes of requests by runner.
#[derive(Debug, Default)]
pub struct Health {
    runners: Mutex<BTreeMap<id::Runner, State>>,
}

#[derive(Debug, Default)]
struct State {
    failures: u32,
    ejections: u32,
    ejected_until: Duration,
    failure_rate: f64,
}

impl Health {
    /// Notes a request that the runner answered well.
    pub fn record_success(&self, runner: &str) {
        let mut runners = self.runners.lock();
        if let Some(state) = runners.get_mut(runner) {
            state.failures = 0;
            state.ejections = 0;
            state.ejected_until = Duration::ZERO;
            state.failure_rate *= 1.0 - SMOOTHING;
        }
    }

    /// Notes a request that broke, was not answered, or could not be sent.
    pub fn record_failure(&self, runner: &str, now: Duration) {
        let mut runners = self.runners.lock();
        let state = runners.entry(runner.to_owned()).or_default();
        state.note_failure();
        state.failures += 1;
        if state.failures >= MAX_FAILURES {
            state.eject(now);
        }
    }

    /// Notes that the runner could not be connected to.
    pub fn record_connect_failure(&self, runner: &str, now: Duration) {
        let mut runners = self.runners.lock();
        let state = runners.entry(runner.to_owned()).or_default();
        state.note_failure();
        state.failures += 1;
        state.eject(now);
    }

    /// Notes an error that the runner itself answered.
    pub fn record_error(&self, runner: &str) {
        let mut runners = self.runners.lock();
        runners.entry(runner.to_owned()).or_default().note_failure();
    }

    /// Whether the runner gets no work for now.
    #[must_use]
    pub fn is_ejected(&self, runner: &str, now: Duration) -> bool {
        let runners = self.runners.lock();
        runners
            .get(runner)
            .is_some_and(|state| now < state.ejected_until)
    }

    /// Share of the runner's requests that failed lately, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, runner: &str) -> f64 {
        let runners = self.runners.lock();
        runners.get(runner).map_or(0.0, |state| state.failure_rate)
    }

    /// Forgets the runners for which `is_known` does not hold.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        self.runners.lock().retain(|runner, _| is_known(runner));
    }
}

impl State {
    fn note_failure(&mut self) {
        self.failure_rate += SMOOTHING * (1.0 - self.failure_rate);
    }

    fn eject(&mut self, now: Duration) {
        let factor = 1_u32.checked_shl(self.ejections).unwrap_or(u32::MAX);
        let time = BASE_EJECTION.saturating_mul(factor).min(MAX_EJECTION);
        self.ejections += 1;
        self.ejected_until = now + time;
    }
}
