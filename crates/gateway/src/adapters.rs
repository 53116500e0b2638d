//! Loads adapters on runners on request, during one term of the lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondbank_port::clock::Clock;
use parking_lot::Mutex;
use tokio::time;

use crate::adapter_step::{self, Step};
use crate::dispatcher::Dispatcher;
use crate::id;
use crate::in_flight::Tracker;
use crate::order::Action;
use crate::planner::Demand;
use crate::rate::Rate;
use crate::runner::State;

/// Maximum number of steps to load an adapter.
const MAX_STEPS: u32 = 4;
/// Delay between two queries for the end of an adapter's unload; reports of a runner
/// lag.
const POLL_INTERVAL: Duration = Duration::from_millis(550);
/// Time in which the weight of a request without a slot for its adapter halves.
const MISS_HALF_LIFE: Duration = Duration::from_secs(2);
/// Longest wait for the order lock of a runner.
const MAX_LOCK_WAIT: Duration = Duration::from_secs(1);

/// Adapters of the runners.
#[derive(Debug)]
pub(crate) struct Adapters {
    dispatcher: Arc<Dispatcher>,
    clock: Arc<dyn Clock>,
    in_flight: Arc<Tracker>,
    /// Requests for whose adapter no replica had a slot, by service and model.
    misses: Mutex<BTreeMap<(id::Service, id::Model), Rate>>,
    /// Maximum number of adapters on a runner, by service.
    slots: Mutex<BTreeMap<id::Service, usize>>,
}

impl Adapters {
    pub(crate) fn new(
        dispatcher: Arc<Dispatcher>,
        clock: &Arc<dyn Clock>,
        in_flight: &Arc<Tracker>,
    ) -> Self {
        Self {
            dispatcher,
            clock: Arc::clone(clock),
            in_flight: Arc::clone(in_flight),
            misses: Mutex::default(),
            slots: Mutex::default(),
        }
    }

    /// Sets the maximum number of adapters on a runner of `service`.
    pub(crate) fn set_slots(&self, service: &str, slots: usize) {
        self.slots.lock().insert(service.to_owned(), slots);
    }

    /// Adds the requests without a slot for their adapter to the demand for the models
    /// of `service`.
    pub(crate) fn add_misses(
        &self,
        service: &str,
        demands: &mut BTreeMap<id::Model, Demand>,
        now: Duration,
    ) {
        for ((of, model), misses) in self.misses.lock().iter_mut() {
            if of == service
                && let Some(demand) = demands.get_mut(model)
            {
                demand.adapter_misses = misses.per_second(now);
            }
        }
    }

    /// Loads the adapter on the runner if necessary; returns whether it is loaded.
    pub(crate) async fn ensure(&self, runner: &str, model: &str, adapter: &str) -> bool {
        let Some(order_lock) = self.dispatcher.fleet.order_lock(runner) else {
            return false;
        };
        let Ok(_guard) = time::timeout(MAX_LOCK_WAIT, order_lock.lock()).await else {
            return false;
        };
        let is_blocked = |state: &State| self.clock.now() < state.blocked_until;
        if self
            .dispatcher
            .fleet
            .read(runner, is_blocked)
            .unwrap_or(true)
        {
            return false;
        }
        if self.dispatcher.fleet.draft(runner).is_none() {
            self.dispatcher.refresh(runner).await;
        }
        for _ in 0..MAX_STEPS {
            match self.next_step(runner, model, adapter) {
                Step::Done => return true,
                Step::Impossible | Step::Full => return false,
                Step::Load => {
                    let new = Some(adapter);
                    let loaded = self.dispatcher.order(runner, Action::Load, model, new);
                    return loaded.await.is_success();
                }
                Step::Evict(old_model, old_adapter) => {
                    let old = Some(old_adapter.as_str());
                    let unloaded = self
                        .dispatcher
                        .order(runner, Action::Unload, &old_model, old);
                    if !unloaded.await.is_success() {
                        return false;
                    }
                }
                Step::Wait => {
                    self.clock.sleep(POLL_INTERVAL).await;
                    self.dispatcher.refresh(runner).await;
                }
            }
        }
        false
    }

    fn next_step(&self, runner: &str, model: &str, adapter: &str) -> Step {
        let now = self.clock.now();
        let in_use = self.in_flight.targets(runner, now);
        let step = self.dispatcher.fleet.write(runner, |state| {
            let slots = self.slots.lock().get(&state.service).copied();
            let slots = slots.unwrap_or_default();
            let step = adapter_step::next(state, model, adapter, &in_use, slots, now);
            if step == Step::Full {
                let key = (state.service.clone(), model.to_owned());
                let mut misses = self.misses.lock();
                let misses = misses
                    .entry(key)
                    .or_insert_with(|| Rate::new(MISS_HALF_LIFE));
                misses.add(1, now);
            }
            step
        });
        step.unwrap_or(Step::Impossible)
    }
}
