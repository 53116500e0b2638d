//! One term of the lease, during which this instance places models on the runners.

pub(crate) mod guard;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondbank_port::clock::Clock;
use parking_lot::Mutex;

use crate::adapters::Adapters;
use crate::authority::Authority;
use crate::dispatcher::{Dispatcher, Outcome, QUERY_DELAY};
use crate::fleet::Sources;
use crate::in_flight::Tracker;
use crate::order::Action;
use crate::planner::{self, Decision, Tier};
use crate::registry::Registry;
use crate::service::Engine;
use crate::{id, prefill, store_load};

/// Time beyond the duration of a load from the store after which the runner is
/// queried.
const OVERDUE_SLACK: Duration = Duration::from_millis(1500);

/// State of one term of the lease.
#[derive(Debug)]
pub(crate) struct Term {
    pub(crate) authority: Arc<Authority>,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) adapters: Adapters,
    clock: Arc<dyn Clock>,
    registry: Arc<Registry>,
    store_loads: Mutex<store_load::Limiter>,
}

/// What a plan depends on beside the demand and the runners' own state.
pub(crate) struct Inputs<'a> {
    pub(crate) sources: Sources<'a>,
    pub(crate) prefill: &'a prefill::Estimator,
    /// Whether this instance reads the store successfully.
    pub(crate) follows_store: bool,
}

impl Term {
    pub(crate) fn new(
        dispatcher: Dispatcher,
        in_flight: &Arc<Tracker>,
        store_loads: store_load::Limiter,
    ) -> Self {
        let dispatcher = Arc::new(dispatcher);
        let clock = Arc::clone(&dispatcher.clock);
        Self {
            authority: Arc::clone(&dispatcher.authority),
            adapters: Adapters::new(Arc::clone(&dispatcher), &clock, in_flight),
            registry: Arc::clone(&dispatcher.registry),
            clock,
            dispatcher,
            store_loads: Mutex::new(store_loads),
        }
    }

    /// Plans one service and sends the resulting orders in the background.
    pub(crate) fn plan(
        self: &Arc<Self>,
        service: &str,
        engine: &Engine,
        mut demands: BTreeMap<id::Model, planner::Demand>,
        inputs: &Inputs<'_>,
    ) {
        if !self.authority.may_order() {
            return;
        }
        let now = self.clock.now();
        self.adapters.set_slots(service, engine.adapter_slots);
        self.dispatcher.fleet.observe(&self.registry, service, now);
        self.refresh_uncertain(service, engine, inputs.follows_store, now);
        self.finish_store_loads(service, engine, now);
        self.adapters.add_misses(service, &mut demands, now);
        self.probe_replicas(service, &demands, now);
        let view = planner::View {
            engine,
            runners: self.dispatcher.fleet.views(&inputs.sources, service, now),
            demands,
            token_times: inputs.prefill.token_times(engine.models.keys()),
            store_loads: self
                .store_loads
                .lock()
                .available(engine.loads_per_second, now),
        };
        for decision in planner::decide(&view) {
            self.execute(decision, &view, now);
        }
    }

    // Queries the replicas of the models that requests wait for. A runner that has
    // crashed or does not respond stays registered for some seconds; the instances that
    // send it requests notice, but this one may send it none.
    fn probe_replicas(
        &self,
        service: &str,
        demands: &BTreeMap<id::Model, planner::Demand>,
        now: Duration,
    ) {
        let waited_for = |model: &str| demands.get(model).is_some_and(|demand| demand.waiting > 0);
        for runner in self.dispatcher.fleet.start_probes(service, waited_for, now) {
            let dispatcher = Arc::clone(&self.dispatcher);
            tokio::spawn(async move { dispatcher.probe(&runner).await });
        }
    }

    // Ends the loads from the store that runners of `service` have completed, and
    // those of runners that are gone.
    fn finish_store_loads(&self, service: &str, engine: &Engine, now: Duration) {
        let mut loads = self.store_loads.lock();
        for runner in loads.running() {
            let state = self
                .dispatcher
                .fleet
                .read(&runner, |state| (state.service == service, state.is_busy()));
            match state {
                Some((true, false)) => {
                    let nominal = engine.models.values().map(|model| model.store_load).max();
                    loads.end(&runner, nominal, now);
                }
                Some(_) => {}
                None => loads.end(&runner, None, now),
            }
        }
    }

    // Queries the runners whose state is uncertain or whose order is overdue, and
    // all runners with an order in progress while this instance receives no
    // registrations from the store.
    fn refresh_uncertain(
        &self,
        service: &str,
        engine: &Engine,
        follows_store: bool,
        now: Duration,
    ) {
        let longest = engine.models.values().map(|model| model.store_load).max();
        let limit = longest.unwrap_or_default() + OVERDUE_SLACK;
        let uncertain = self
            .dispatcher
            .fleet
            .uncertain(service, limit, follows_store, now);
        for runner in uncertain {
            self.dispatcher.block(&runner, QUERY_DELAY);
            let dispatcher = Arc::clone(&self.dispatcher);
            tokio::spawn(async move { dispatcher.refresh(&runner).await });
        }
    }

    fn execute(self: &Arc<Self>, decision: Decision, view: &planner::View<'_>, now: Duration) {
        match decision {
            Decision::Load {
                runner,
                model,
                tier,
            } => {
                if tier == Tier::Store {
                    self.store_loads.lock().begin(&runner, now);
                }
                log::info!(runner = runner.as_str(), model = model.as_str(), tier:? = tier; "model load planned");
                self.start_order(runner, Action::Load, model);
            }
            Decision::Unload {
                runner,
                model,
                successor,
            } => {
                let work = view.runners.get(&runner);
                let requests = work.and_then(|runner| runner.requests.get(&model).copied());
                self.unload(runner, model, &successor, requests.unwrap_or_default(), now);
            }
        }
    }

    // Unloads the model if it has no requests, and otherwise drains it first. A runner
    // takes no other orders, also for adapters, while it waits for the last request.
    fn unload(
        self: &Arc<Self>,
        runner: id::Runner,
        model: id::Model,
        successor: &str,
        requests: u64,
        now: Duration,
    ) {
        let state = self.dispatcher.fleet.write(&runner, |state| {
            state.reserve(successor, now);
            (
                state.start_drain(&model, now),
                state.is_drain_over(&model, now),
            )
        });
        let Some((is_new, is_over)) = state else {
            return;
        };
        if is_new {
            log::info!(
                runner = runner.as_str(), model = model.as_str(), successor, requests;
                "model unload planned"
            );
        }
        // Registrations list the model until it is unloaded.
        if (is_new || self.registry.lists_model(&runner, &model))
            && let Some(held) = self.dispatcher.fleet.held_without(&runner, &model)
        {
            self.dispatcher.publish(held);
        }
        if requests == 0 || is_over {
            self.start_order(runner, Action::Unload, model);
        }
    }

    fn start_order(self: &Arc<Self>, runner: id::Runner, action: Action, model: id::Model) {
        let Some(order_lock) = self.dispatcher.fleet.order_lock(&runner) else {
            return;
        };
        // Locked before the task starts, so that the runner counts as busy in the next
        // planning round.
        let Ok(guard) = order_lock.try_lock_owned() else {
            return;
        };
        let term = Arc::clone(self);
        tokio::spawn(async move {
            let outcome = term.dispatcher.order(&runner, action, &model, None).await;
            if outcome == Outcome::Accepted && action == Action::Load {
                let now = term.clock.now();
                term.store_loads.lock().accept(&runner, now);
            }
            drop(guard);
        });
    }
}
