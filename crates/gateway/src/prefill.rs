//! How fast engines read prompts, learnt from first tokens.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;

use crate::id;

/// Time to read one token before anything was learnt.
const INITIAL: Duration = Duration::from_micros(25);
const MIN: Duration = Duration::from_micros(2);
const MAX: Duration = Duration::from_micros(400);
/// Time of a first token that does not depend on the prompt.
const FIXED: Duration = Duration::from_millis(12);
/// Shorter prompts say little about the speed.
const MIN_TOKENS: u64 = 1000;
/// Weight of the newest observation.
const SMOOTHING: f64 = 0.2;

/// Time to read a token, by model.
#[derive(Debug, Default)]
pub struct Estimator {
    models: Mutex<BTreeMap<id::Model, Duration>>,
}

impl Estimator {
    /// Time that a model takes to read one token.
    #[must_use]
    pub fn token_time(&self, model: &str) -> Duration {
        self.models.lock().get(model).copied().unwrap_or(INITIAL)
    }

    /// Time to read one token, for each of `models`.
    pub fn token_times<'a>(
        &self,
        models: impl Iterator<Item = &'a id::Model>,
    ) -> BTreeMap<id::Model, Duration> {
        models
            .map(|model| (model.clone(), self.token_time(model)))
            .collect()
    }

    /// Time to the first token of a request that finds `to_read` tokens to read,
    /// its own and those before it.
    #[must_use]
    pub fn first_token(&self, model: &str, to_read: u64) -> Duration {
        FIXED + self.token_time(model).mul_f64(tokens(to_read))
    }

    /// Learns from a first token that came after `elapsed`, with `to_read`
    /// tokens to read when the request was sent.
    pub fn observe(&self, model: &str, to_read: u64, elapsed: Duration) {
        if to_read < MIN_TOKENS {
            return;
        }
        let seen = elapsed
            .saturating_sub(FIXED)
            .div_f64(tokens(to_read))
            .clamp(MIN, MAX);
        let mut models = self.models.lock();
        let known = models.entry(model.to_owned()).or_insert(INITIAL);
        *known = known.mul_f64(1.0 - SMOOTHING) + seen.mul_f64(SMOOTHING);
    }
}

fn tokens(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
