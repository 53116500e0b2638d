//! Limits the number of concurrent loads from the weight store.
//!
//! Beyond some number of concurrent loads each one takes proportionally longer,
//! so more of them do not finish sooner. The store does not publish this number;
//! it is estimated from the durations of loads by additive increase and
//! multiplicative decrease.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use almondbank_wire::gateway;

use crate::id;

const INITIAL_LIMIT: f64 = 3.0;
const MIN_LIMIT: f64 = 1.5;
const MAX_LIMIT: f64 = 16.0;
const INCREASE: f64 = 0.5;
const DECREASE: f64 = 0.75;
/// Ratio of a load's duration to its nominal one below which the limit is raised.
const INCREASE_BELOW: f64 = 1.2;
/// Ratio above which the limit is lowered.
const DECREASE_ABOVE: f64 = 1.5;

/// Limiter of the loads from the weight store during one term of the lease.
#[derive(Debug)]
pub struct Limiter {
    window: gateway::Load,
    /// Time before which no load may start, because the loads of a former leader
    /// are not known.
    blocked_until: Duration,
    /// Start times of the loads within the window.
    started: VecDeque<Duration>,
    /// Loads in progress by runner, with the time at which the runner accepted the
    /// order.
    running: BTreeMap<id::Runner, Option<Duration>>,
    limit: f64,
}

impl Limiter {
    /// Creates a limiter without loads. If there was a former leader, whose
    /// loads may fall into the same window, none may start for a whole window.
    #[must_use]
    pub fn new(window: gateway::Load, has_predecessor: bool, now: Duration) -> Self {
        Self {
            blocked_until: if has_predecessor {
                now + window.window
            } else {
                Duration::ZERO
            },
            window,
            started: VecDeque::new(),
            running: BTreeMap::new(),
            limit: INITIAL_LIMIT,
        }
    }

    /// Returns the number of loads that may start now, at most four, if the store
    /// allows `per_second` loads per second.
    #[must_use]
    pub fn available(&mut self, per_second: f64, now: Duration) -> usize {
        if now < self.blocked_until {
            return 0;
        }
        let window = self.window.window;
        while self
            .started
            .front()
            .is_some_and(|at| now.saturating_sub(*at) > window)
        {
            self.started.pop_front();
        }
        let by_rate = per_second * window.as_secs_f64() - float(self.started.len());
        let by_limit = self.limit - float(self.running.len());
        let available = by_rate.min(by_limit);
        (0..4)
            .take_while(|count| float(count + 1) <= available)
            .count()
    }

    /// Records that a load was planned for the runner.
    pub fn begin(&mut self, runner: &str, now: Duration) {
        self.started.push_back(now);
        self.running.insert(runner.to_owned(), None);
    }

    /// Records that the runner accepted the load.
    pub fn accept(&mut self, runner: &str, now: Duration) {
        if let Some(accepted) = self.running.get_mut(runner) {
            *accepted = Some(now);
        }
    }

    /// Returns the runners with a load in progress.
    #[must_use]
    pub fn running(&self) -> Vec<id::Runner> {
        self.running.keys().cloned().collect()
    }

    /// Records that a load has ended and adjusts the limit. `nominal` is the
    /// duration of the load without contention, or `None` if the runner is gone. A
    /// load that was never accepted does not change the limit.
    pub fn end(&mut self, runner: &str, nominal: Option<Duration>, now: Duration) {
        let Some(Some(accepted_at)) = self.running.remove(runner) else {
            return;
        };
        let Some(nominal) = nominal.filter(|nominal| !nominal.is_zero()) else {
            return;
        };
        let stretch = now.saturating_sub(accepted_at).div_duration_f64(nominal);
        if stretch < INCREASE_BELOW {
            self.limit = (self.limit + INCREASE).min(MAX_LIMIT);
        } else if stretch > DECREASE_ABOVE {
            self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
        }
    }
}

fn float(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
