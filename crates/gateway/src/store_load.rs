//! How many loads from the weight store may begin.
//!
//! Answers many models that are asked for at once: beyond some number of loads
//! each takes proportionally longer, so that more of them bring nothing sooner.
//! The number is not told; it is found by additive increase and multiplicative
//! decrease over the times that loads take.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use almondbank_wire::gateway;

use crate::id;

const INITIAL_LIMIT: f64 = 3.0;
const MIN_LIMIT: f64 = 1.5;
const MAX_LIMIT: f64 = 16.0;
const INCREASE: f64 = 0.5;
const DECREASE: f64 = 0.75;
/// Stretch of a load's time below which the store has room.
const FAST: f64 = 1.2;
/// Stretch above which there were too many.
const SLOW: f64 = 1.5;

/// Loads from the weight store under one holder of the lease.
#[derive(Debug)]
pub struct Loads {
    window: gateway::Load,
    /// Loads before this time belong to a former holder and are not known.
    known_since: Duration,
    begun: VecDeque<Duration>,
    /// Loads by runner, and since when the runner carries them out, once it has
    /// said so.
    running: BTreeMap<id::Runner, Option<Duration>>,
    limit: f64,
}

impl Loads {
    /// Starts without loads. After a former holder, whose loads may still count,
    /// none begins for a whole window.
    #[must_use]
    pub fn new(window: gateway::Load, has_predecessor: bool, now: Duration) -> Self {
        Self {
            known_since: if has_predecessor {
                now + window.window
            } else {
                Duration::ZERO
            },
            window,
            begun: VecDeque::new(),
            running: BTreeMap::new(),
            limit: INITIAL_LIMIT,
        }
    }

    /// Loads that may begin now, at `per_second` of the store.
    #[must_use]
    pub fn left(&mut self, per_second: f64, now: Duration) -> usize {
        if now < self.known_since {
            return 0;
        }
        let window = self.window.window;
        while self
            .begun
            .front()
            .is_some_and(|at| now.saturating_sub(*at) > window)
        {
            self.begun.pop_front();
        }
        let by_rate = per_second * window.as_secs_f64() - float(self.begun.len());
        let by_limit = self.limit - float(self.running.len());
        let left = by_rate.min(by_limit);
        (0..4).take_while(|count| float(count + 1) <= left).count()
    }

    /// Notes that a runner is ordered to load.
    pub fn begin(&mut self, runner: &str, now: Duration) {
        self.begun.push_back(now);
        self.running.insert(runner.to_owned(), None);
    }

    /// Notes that the runner carries the load out.
    pub fn accept(&mut self, runner: &str, now: Duration) {
        if let Some(accepted) = self.running.get_mut(runner) {
            *accepted = Some(now);
        }
    }

    /// Runners that load from the store.
    #[must_use]
    pub fn running(&self) -> Vec<id::Runner> {
        self.running.keys().cloned().collect()
    }

    /// Notes that a load that takes `nominal` alone has ended, or was lost with
    /// its runner. One that was never accepted tells nothing of the store.
    pub fn end(&mut self, runner: &str, nominal: Option<Duration>, now: Duration) {
        let Some(Some(began)) = self.running.remove(runner) else {
            return;
        };
        let Some(nominal) = nominal.filter(|nominal| !nominal.is_zero()) else {
            return;
        };
        let stretch = now.saturating_sub(began).div_duration_f64(nominal);
        if stretch < FAST {
            self.limit = (self.limit + INCREASE).min(MAX_LIMIT);
        } else if stretch > SLOW {
            self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
        }
    }
}

fn float(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
