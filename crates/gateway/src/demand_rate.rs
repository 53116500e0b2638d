//! Demand for each model over all instances, exponentially decayed.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;

use crate::id;
use crate::planner;

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

#[derive(Debug, Default)]
struct State {
    /// Decayed number of requests.
    requests: f64,
    /// Decayed number of requests, with the long half-life.
    history: f64,
    /// Decayed number of prompt tokens that needed prefill.
    tokens: f64,
    updated: Duration,
    objective: Duration,
    /// Time and count of the last report of waiting requests, by source.
    waiting: BTreeMap<id::Instance, (Duration, u64)>,
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
            let state = inner.entry(key).or_insert_with(|| State {
                objective: Duration::from_millis(demand.objective_ms),
                updated: now,
                ..State::default()
            });
            state.decay(now);
            state.requests += float(demand.arrivals);
            state.history += float(demand.arrivals);
            state.tokens += float(demand.tokens);
            state.objective = Duration::from_millis(demand.objective_ms);
            if demand.waiting > 0 {
                let report = (now, demand.waiting);
                state.waiting.insert(source.to_owned(), report);
            }
        }
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
                state.decay(now);
                let fresh = state
                    .waiting
                    .values()
                    .filter(|(at, _)| now.saturating_sub(*at) < WAITING_TTL);
                let demand = planner::Demand {
                    rate: state.requests * per_second(HALF_LIFE),
                    history: state.history * per_second(LONG_HALF_LIFE),
                    tokens: state.tokens * per_second(HALF_LIFE),
                    waiting: fresh.map(|(_, count)| count).sum(),
                    objective: state.objective,
                };
                (model.clone(), demand)
            })
            .collect()
    }
}

impl State {
    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated);
        let factor = 0.5_f64.powf(elapsed.div_duration_f64(HALF_LIFE));
        self.requests *= factor;
        self.tokens *= factor;
        self.history *= 0.5_f64.powf(elapsed.div_duration_f64(LONG_HALF_LIFE));
        self.updated = now;
    }
}

// Factor from a sum that decays with `half_life` to a rate per second.
fn per_second(half_life: Duration) -> f64 {
    std::f64::consts::LN_2 / half_life.as_secs_f64()
}

fn float(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
