//! How much each model is asked for, over all instances.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;

use crate::id;
use crate::planner;

/// Time in which a past request comes to weigh half.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// The same for the memory of models that come back.
const LONG_HALF_LIFE: Duration = Duration::from_secs(30);
/// Time after which the waiting requests of a silent instance no longer count.
const WAITING_TTL: Duration = Duration::from_millis(1500);

/// Interest by service and model.
#[derive(Debug, Default)]
pub struct Estimator {
    inner: Mutex<BTreeMap<(id::Service, id::Model), State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Requests, those in the past weighing less.
    weight: f64,
    /// The same over a longer time.
    history: f64,
    /// Prompt tokens that were to be read, those in the past weighing less.
    tokens: f64,
    updated: Duration,
    objective: Duration,
    waiting: BTreeMap<id::Instance, (Duration, u64)>,
}

impl Estimator {
    /// Adds what `instance` counted since its last report.
    pub fn add(&self, instance: &str, demands: &[mesh::Demand], now: Duration) {
        let mut inner = self.inner.lock();
        for state in inner.values_mut() {
            state.waiting.remove(instance);
        }
        for demand in demands {
            let key = (demand.service.clone(), demand.model.clone());
            let state = inner.entry(key).or_insert_with(|| State {
                objective: Duration::from_millis(demand.objective_ms),
                updated: now,
                ..State::default()
            });
            state.decay(now);
            state.weight += float(demand.arrivals);
            state.history += float(demand.arrivals);
            state.tokens += float(demand.tokens);
            state.objective = Duration::from_millis(demand.objective_ms);
            if demand.waiting > 0 {
                let entry = (now, demand.waiting);
                state.waiting.insert(instance.to_owned(), entry);
            }
        }
    }

    /// Interest in the models of `service`.
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
                    rate: state.weight * per_second(HALF_LIFE),
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
        self.weight *= factor;
        self.tokens *= factor;
        self.history *= 0.5_f64.powf(elapsed.div_duration_f64(LONG_HALF_LIFE));
        self.updated = now;
    }
}

// Rate of a weight that decays with this half-life.
fn per_second(half_life: Duration) -> f64 {
    std::f64::consts::LN_2 / half_life.as_secs_f64()
}

fn float(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
