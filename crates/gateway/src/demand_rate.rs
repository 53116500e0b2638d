//! Demand for each model over all instances, exponentially decayed.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;

use crate::id;
use crate::planner;
use crate::rate::Rate;

/// Time in which the weight of a request halves.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Half-life for the long-term demand, which covers models whose demand returns.
const LONG_HALF_LIFE: Duration = Duration::from_secs(30);
/// Time after which the waiting requests in the last report of a source are ignored.
const WAITING_TTL: Duration = Duration::from_millis(1500);

/// Demand by service and model.
#[derive(Debug, Default)]
pub struct Estimator {
    inner: Mutex<BTreeMap<(id::Service, id::Model), State>>,
}

#[derive(Debug)]
struct State {
    requests: Rate,
    /// Requests, with the long half-life.
    history: Rate,
    /// Prompt tokens that needed prefill.
    tokens: Rate,
    objective: Duration,
    /// Time and count of the last report of waiting requests, by source.
    waiting: BTreeMap<id::Instance, (Duration, u64)>,
}

impl State {
    fn new() -> Self {
        Self {
            requests: Rate::new(HALF_LIFE),
            history: Rate::new(LONG_HALF_LIFE),
            tokens: Rate::new(HALF_LIFE),
            objective: Duration::ZERO,
            waiting: BTreeMap::new(),
        }
    }
}

impl Estimator {
    /// Adds the requests that `source` counted since its last report. It is an
    /// instance, or a data centre that sends summaries.
    pub fn add(&self, source: &str, demands: &[mesh::Demand], now: Duration) {
        let mut inner = self.inner.lock();
        for state in inner.values_mut() {
            state.waiting.remove(source);
        }
        for demand in demands {
            let key = (demand.service.clone(), demand.model.clone());
            let state = inner.entry(key).or_insert_with(State::new);
            state.requests.add(demand.arrivals, now);
            state.history.add(demand.arrivals, now);
            state.tokens.add(demand.tokens, now);
            state.objective = Duration::from_millis(demand.objective_ms);
            if demand.waiting > 0 {
                let report = (now, demand.waiting);
                state.waiting.insert(source.to_owned(), report);
            }
        }
    }

    /// Removes the models for which `is_known` is false, and reports of waiting requests that are
    /// ignored.
    pub fn retain(&self, is_known: impl Fn(&str, &str) -> bool, now: Duration) {
        let mut inner = self.inner.lock();
        inner.retain(|(service, model), state| {
            state.waiting.retain(|_, (at, _)| is_recent(*at, now));
            is_known(service, model)
        });
    }

    /// Returns the demand for the models of `service`.
    #[must_use]
    pub fn service_demand(
        &self,
        service: &str,
        now: Duration,
    ) -> BTreeMap<id::Model, planner::Demand> {
        let mut inner = self.inner.lock();
        inner
            .iter_mut()
            .filter(|((of, _), _)| of == service)
            .map(|((_, model), state)| {
                let fresh = state.waiting.values().filter(|(at, _)| is_recent(*at, now));
                let demand = planner::Demand {
                    rate: state.requests.per_second(now),
                    history: state.history.per_second(now),
                    tokens: state.tokens.per_second(now),
                    waiting: fresh.map(|(_, count)| count).sum(),
                    objective: state.objective,
                    adapter_misses: 0.0,
                };
                (model.clone(), demand)
            })
            .collect()
    }
}

// Whether waiting requests that were reported at `at` still count.
fn is_recent(at: Duration, now: Duration) -> bool {
    now.saturating_sub(at) < WAITING_TTL
}
