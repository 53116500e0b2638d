//! Estimates the prefill time of each model, and of each runner with it, from observed times
//! to first token.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;

use crate::id;

/// Prefill time of one token before the first observation.
const INITIAL_TOKEN_TIME: Duration = Duration::from_micros(25);
const MIN_TOKEN_TIME: Duration = Duration::from_micros(2);
const MAX_TOKEN_TIME: Duration = Duration::from_micros(400);
/// Part of the time to first token that does not depend on the prompt.
const FIXED_TIME: Duration = Duration::from_millis(12);
/// Fewest tokens of an observation that is used; with less prefill the fixed part
/// dominates the time to first token.
const MIN_TOKENS: u64 = 1000;
/// Weight of the newest observation in the exponential moving average.
const SMOOTHING: f64 = 0.2;
/// Weight of the first observation of a runner. With many instances each of them sees few
/// requests to one runner, and runners of one service differ by more than a factor of two.
const FIRST_WEIGHT: f64 = 0.5;

/// Estimated prefill time of one token, by model and runner.
#[derive(Debug, Default)]
pub struct Estimator {
    models: Mutex<BTreeMap<id::Model, State>>,
}

#[derive(Debug)]
struct State {
    /// Average over all runners.
    average: Duration,
    runners: BTreeMap<id::Runner, Duration>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            average: INITIAL_TOKEN_TIME,
            runners: BTreeMap::new(),
        }
    }
}

impl Estimator {
    /// Returns the prefill time of one token for `model`, averaged over the runners.
    #[must_use]
    pub fn token_time(&self, model: &str) -> Duration {
        let models = self.models.lock();
        models
            .get(model)
            .map_or(INITIAL_TOKEN_TIME, |state| state.average)
    }

    /// Returns the prefill time of one token for `model` on `runner`, or the average if
    /// none was observed there.
    #[must_use]
    pub fn runner_token_time(&self, model: &str, runner: &str) -> Duration {
        let models = self.models.lock();
        models.get(model).map_or(INITIAL_TOKEN_TIME, |state| {
            let time = state.runners.get(runner);
            time.copied().unwrap_or(state.average)
        })
    }

    /// Returns the prefill time of one token for each of `models`.
    pub fn token_times<'a>(
        &self,
        models: impl Iterator<Item = &'a id::Model>,
    ) -> BTreeMap<id::Model, Duration> {
        models
            .map(|model| (model.clone(), self.token_time(model)))
            .collect()
    }

    /// Updates the estimates with a first token that arrived from `runner` after `elapsed`,
    /// when `prefill_tokens` needed prefill at the time of the request.
    pub fn observe(&self, model: &str, runner: &str, prefill_tokens: u64, elapsed: Duration) {
        if prefill_tokens < MIN_TOKENS {
            return;
        }
        let observed = elapsed
            .saturating_sub(FIXED_TIME)
            .div_f64(tokens(prefill_tokens))
            .clamp(MIN_TOKEN_TIME, MAX_TOKEN_TIME);
        let mut models = self.models.lock();
        let state = models.entry(model.to_owned()).or_default();
        if let Some(time) = state.runners.get_mut(runner) {
            *time = blend(*time, observed, SMOOTHING);
        } else {
            let time = blend(state.average, observed, FIRST_WEIGHT);
            state.runners.insert(runner.to_owned(), time);
        }
        state.average = blend(state.average, observed, SMOOTHING);
    }

    /// Removes the runners for which `is_known` returns false.
    pub fn retain(&self, is_known: impl Fn(&str) -> bool) {
        let mut models = self.models.lock();
        for state in models.values_mut() {
            state.runners.retain(|runner, _| is_known(runner));
        }
    }
}

fn blend(average: Duration, observed: Duration, weight: f64) -> Duration {
    average.mul_f64(1.0 - weight) + observed.mul_f64(weight)
}

fn tokens(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
