//! Decides which models the runners of one service should hold.
//!
//! Demand moves between models faster than weights can be loaded from the
//! store. Replicas are therefore treated as a cache over the copies on disk and
//! in host memory, and a replica is evicted for a model in higher demand.

mod room;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id;
use crate::planner::room::{Candidate, Eviction, Room};
use crate::replica_index::Index;
pub use crate::runner_view::{Runner, Tier};
use crate::service::{Engine, Model};

/// Share of its time that a replica may spend on prefill before its model gets
/// another one.
const MAX_PREFILL_UTILIZATION: f64 = 0.3;
/// Factor by which the demand for a model must exceed the cost of an eviction,
/// so that two models do not replace each other in turn.
const EVICTION_HYSTERESIS: f64 = 1.5;
/// Weight of the demand for a model whose latency objective allows a reload.
const RELOADABLE_WEIGHT: f64 = 0.3;
/// Share of the requests for models with adapters that need an adapter order. A runner
/// rejects these orders while it loads a model.
const ADAPTER_ORDER_SHARE: f64 = 0.2;
/// Requests per second without a slot for their adapter above which a model gets
/// another replica.
const MAX_ADAPTER_MISSES: f64 = 1.0;
/// Cost of each request that an unload has to wait for, in requests per second.
const REQUEST_COST: f64 = 1.5;
/// Highest cost of an eviction for each request that waits for a replica. Beyond it, the
/// requests wait for a runner with a cheaper victim, most of which are busy for less
/// than a second.
const MAX_WAITING_COST: f64 = 4.0;
/// Weight of one of several ready replicas, relative to an only replica.
const REDUNDANT_WEIGHT: f64 = 0.25;

/// Demand for one model.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Requests per second, exponentially decayed.
    pub rate: f64,
    /// Requests per second with a longer half-life, so that a model whose demand
    /// returns from time to time is not evicted.
    pub history: f64,
    /// Prompt tokens per second that need prefill, exponentially decayed.
    pub tokens: f64,
    /// Requests that wait for a replica.
    pub waiting: u64,
    /// Shortest latency objective of the requests, as last reported.
    pub objective: Duration,
    /// Requests per second for whose adapter no replica had a slot.
    pub adapter_misses: f64,
}

/// Input of one planning round for a service.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// Properties that the runners of the service share.
    pub engine: &'a Engine,
    /// Runners that accept new work.
    pub runners: BTreeMap<id::Runner, Runner>,
    /// Demand by model.
    pub demands: BTreeMap<id::Model, Demand>,
    /// Prefill time of one prompt token, by model.
    pub token_times: BTreeMap<id::Model, Duration>,
    /// Number of loads from the weight store that may start now.
    pub store_loads: usize,
}

/// An order for one runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Load a model.
    Load {
        /// Runner that is to load the model.
        runner: id::Runner,
        /// Model to load.
        model: id::Model,
        /// Source of the weights.
        tier: Tier,
    },
    /// Unload a model to free its memory.
    Unload {
        /// Runner that is to unload the model.
        runner: id::Runner,
        /// Model to unload.
        model: id::Model,
        /// Model for which the memory is reserved.
        successor: id::Model,
    },
}

/// Returns the orders to send now, at most one for each runner.
#[must_use]
pub fn decide(view: &View<'_>) -> Vec<Decision> {
    let mut round = Round {
        view,
        index: Index::new(&view.runners),
        rooms: BTreeMap::new(),
        store_loads: view.store_loads,
        assigned: BTreeSet::new(),
        decisions: Vec::new(),
    };
    round.rooms = round.rooms();
    round.load_reserved();
    for model in round.models_to_place() {
        round.place_model(&model);
    }
    round.decisions
}

struct Round<'a> {
    view: &'a View<'a>,
    index: Index<'a>,
    rooms: BTreeMap<&'a str, Room<'a>>,
    store_loads: usize,
    /// Runners that get no further decision in this round.
    assigned: BTreeSet<&'a str>,
    decisions: Vec<Decision>,
}

/// A runner on which a model could be loaded.
struct Placement<'a> {
    runner: &'a str,
    tier: Tier,
    eviction: Eviction<'a>,
    /// Cost of the evictions and of rejected adapter orders, in requests per second.
    cost: f64,
}

impl<'a> Round<'a> {
    fn model(&self, name: &str) -> Option<&'a Model> {
        self.view.engine.models.get(name)
    }

    fn demand(&self, model: &str) -> Demand {
        self.view.demands.get(model).copied().unwrap_or_default()
    }

    fn replicas(&self, model: &str) -> usize {
        self.index.replicas.get(model).copied().unwrap_or_default()
    }

    fn ready(&self, model: &str) -> usize {
        self.index.ready.get(model).copied().unwrap_or_default()
    }

    // Continues the placements that earlier rounds began: unloads the next model, or
    // loads the new one once enough memory is free.
    fn load_reserved(&mut self) {
        let view = self.view;
        for (name, runner) in &view.runners {
            let Some(model) = &runner.reserved_for else {
                continue;
            };
            if runner.is_busy || runner.models.contains(model) {
                continue;
            }
            self.assigned.insert(name);
            let room = self.rooms.get(name.as_str());
            let eviction = room.and_then(|room| room.eviction(self.size_mb(model)));
            let victim = eviction
                .as_ref()
                .and_then(|eviction| eviction.victims.first());
            match victim {
                Some(victim) => self.unload(name, victim, model),
                None if eviction.is_some() => self.load(name, model, runner.tier(model)),
                None => {}
            }
        }
    }

    // In order of priority: models without a replica that requests wait for,
    // models whose replicas are overloaded, and models without replica and copy. The
    // first two are sorted by latency objective, the shortest first.
    fn models_to_place(&self) -> Vec<id::Model> {
        let mut missing = Vec::new();
        let mut overloaded = Vec::new();
        let mut without_copy = Vec::new();
        for model in self.view.engine.models.keys() {
            let demand = self.demand(model);
            if self.is_waited_for(model) {
                missing.push((demand.objective, Reverse(demand.waiting), model));
            } else if self.replicas(model) == 0 {
                if !self.has_copy(model) {
                    without_copy.push(model);
                }
            } else if self.is_overloaded(model) {
                overloaded.push((demand.objective, model));
            }
        }
        missing.sort();
        overloaded.sort();
        let missing = missing.into_iter().map(|(_, _, model)| model);
        let overloaded = overloaded.into_iter().map(|(_, model)| model);
        missing
            .chain(overloaded)
            .chain(without_copy)
            .cloned()
            .collect()
    }

    // Whether requests wait for the model and no replica is loaded, or will be within a
    // second from a copy.
    fn is_waited_for(&self, model: &str) -> bool {
        self.demand(model).waiting > 0 && !self.index.soon_ready.contains(model)
    }

    fn has_copy(&self, model: &str) -> bool {
        self.index.copies.contains(model)
    }

    // Whether the replicas spend too much of their time on prefill, hold too few
    // adapters for the requests, or all have too many pending tokens at the moment.
    fn is_overloaded(&self, model: &str) -> bool {
        let token_time = self.view.token_times.get(model).copied();
        let utilization = self.demand(model).tokens * token_time.unwrap_or_default().as_secs_f64();
        let replicas = f64::from(u32::try_from(self.replicas(model)).unwrap_or(u32::MAX));
        if utilization > replicas * MAX_PREFILL_UTILIZATION
            || self.demand(model).adapter_misses > replicas * MAX_ADAPTER_MISSES
        {
            return true;
        }
        self.replicas(model) > 0 && !self.index.with_headroom.contains(model)
    }

    fn place_model(&mut self, model: &str) {
        let demand = self.demand(model);
        let is_waited_for = self.is_waited_for(model);
        let may_use_store = self.store_loads > 0 && self.may_use_store(model);
        let size_mb = self.size_mb(model);
        let options = self.rooms.iter().filter_map(|(&name, room)| {
            let runner = room.runner;
            let is_taken = self.assigned.contains(name) || runner.is_busy;
            let is_too_costly =
                !is_waited_for && room.lowest_cost(size_mb) * EVICTION_HYSTERESIS > demand.rate;
            if is_taken || runner.is_limited || is_too_costly {
                return None;
            }
            let holds = runner.provides(model) || runner.models.contains(model);
            if holds {
                return None;
            }
            let tier = runner.tier(model);
            if tier == Tier::Store && !may_use_store {
                return None;
            }
            let eviction = room.eviction(size_mb)?;
            let cost = eviction.cost + self.adapter_cost(room, model, tier);
            let is_worthwhile = (is_waited_for && eviction.cost <= self.max_cost(model))
                || eviction.victims.is_empty()
                || cost * EVICTION_HYSTERESIS <= demand.rate;
            is_worthwhile.then_some(Placement {
                runner: name,
                tier,
                eviction,
                cost,
            })
        });
        let best = options.min_by(|a, b| {
            let cost = |option: &Placement<'_>| {
                self.load_time(model, option.tier).as_secs_f64() * (demand.rate + 1.0) + option.cost
            };
            cost(a).total_cmp(&cost(b))
        });
        let Some(best) = best else { return };
        self.assigned.insert(best.runner);
        match best.eviction.victims.first() {
            Some(victim) => self.unload(best.runner, victim, model),
            None => self.load(best.runner, model, best.tier),
        }
    }

    // A load from the store takes far longer than one from a copy, and the runner
    // rejects adapter orders meanwhile. So a model that requests wait for is loaded from
    // the store only if no runner can use a copy and no other load is in progress, and
    // another replica of a model only if there is no copy to load it from.
    fn may_use_store(&self, model: &str) -> bool {
        if self.is_waited_for(model) {
            return self.replicas(model) == 0 && !self.has_usable_copy(model);
        }
        self.replicas(model) == 0 || !self.index.spare_copies.contains(model)
    }

    // Whether a runner can load the model from its own copy sooner than another one
    // could from the store. A runner with a copy that has no room for the model at an
    // acceptable cost, or that is busy with a load from the store, cannot.
    fn has_usable_copy(&self, model: &str) -> bool {
        self.has_copy(model)
            && self.rooms.values().any(|room| {
                let runner = room.runner;
                if runner.is_limited || runner.tier(model) == Tier::Store {
                    return false;
                }
                let loading = runner.loading.as_deref();
                let is_loading_from_store =
                    loading.is_some_and(|loading| runner.tier(loading) == Tier::Store);
                let eviction = room.eviction(self.size_mb(model));
                !is_loading_from_store
                    && eviction.is_some_and(|eviction| eviction.cost <= self.max_cost(model))
            })
    }

    // Highest acceptable cost of an eviction for the requests that wait for the model.
    fn max_cost(&self, model: &str) -> f64 {
        let waiting = u32::try_from(self.demand(model).waiting).unwrap_or(u32::MAX);
        f64::from(waiting) * MAX_WAITING_COST
    }

    fn unload(&mut self, runner: &str, model: &str, successor: &str) {
        self.decisions.push(Decision::Unload {
            runner: runner.to_owned(),
            model: model.to_owned(),
            successor: successor.to_owned(),
        });
    }

    fn load(&mut self, runner: &str, model: &str, tier: Tier) {
        if tier == Tier::Store {
            if self.store_loads == 0 {
                return;
            }
            self.store_loads -= 1;
        }
        self.decisions.push(Decision::Load {
            runner: runner.to_owned(),
            model: model.to_owned(),
            tier,
        });
    }

    fn rooms(&self) -> BTreeMap<&'a str, Room<'a>> {
        let adapters_mb = self.adapters_mb();
        let runners = self.view.runners.iter();
        runners
            .map(|(name, runner)| (name.as_str(), self.room(runner, adapters_mb)))
            .collect()
    }

    // Models that requests wait for are not evicted.
    fn room(&self, runner: &'a Runner, adapters_mb: f64) -> Room<'a> {
        let held = runner.models.iter().chain(&runner.loading);
        let weights: f64 = held.map(|model| self.size_mb(model)).sum();
        let candidates = runner
            .models
            .iter()
            .filter(|model| runner.is_draining(model) || self.demand(model).waiting == 0)
            .map(|model| Candidate {
                model,
                cost: self.eviction_cost(runner, model),
                size_mb: self.size_mb(model),
            });
        let mut room = Room {
            runner,
            free_mb: self.view.engine.memory_mb - weights - adapters_mb,
            candidates: candidates.collect(),
            adapter_rate: self.adapter_rate(runner),
        };
        room.sort();
        room
    }

    // Cost of unloading `model`, in requests per second. It is lower if the
    // latency objective allows a reload from disk or if another replica is
    // ready, and higher for each request that delays the unload.
    fn eviction_cost(&self, runner: &Runner, model: &str) -> f64 {
        if runner.is_draining(model) {
            return 0.0;
        }
        let demand = self.demand(model);
        let reload = self.load_time(model, Tier::Disk) * 2;
        let reload_weight = if demand.objective > reload {
            RELOADABLE_WEIGHT
        } else {
            1.0
        };
        let redundancy_weight = if self.ready(model) > 1 {
            REDUNDANT_WEIGHT
        } else {
            1.0
        };
        let requests = runner.requests.get(model).copied().unwrap_or_default();
        let delaying = f64::from(u32::try_from(requests).unwrap_or(u32::MAX));
        demand.rate.max(demand.history) * reload_weight * redundancy_weight
            + delaying * REQUEST_COST
    }

    fn adapter_rate(&self, runner: &Runner) -> f64 {
        let has_adapters = |model: &&id::Model| {
            let model = self.model(model);
            model.is_some_and(|model| model.adapters > 0)
        };
        let held = runner.models.iter().filter(has_adapters);
        held.map(|model| self.demand(model).rate).sum()
    }

    // Requests whose adapter orders the runner rejects during the load of `model`.
    fn adapter_cost(&self, room: &Room<'_>, model: &str, tier: Tier) -> f64 {
        let load_time = self.load_time(model, tier).as_secs_f64();
        room.adapter_rate * ADAPTER_ORDER_SHARE * load_time
    }

    fn load_time(&self, model: &str, tier: Tier) -> Duration {
        let Some(model) = self.model(model) else {
            return Duration::ZERO;
        };
        match tier {
            Tier::Memory => model.memory_load,
            Tier::Disk => model.disk_load,
            Tier::Store => model.store_load,
        }
    }

    fn size_mb(&self, model: &str) -> f64 {
        self.model(model).map_or(0.0, |model| model.memory_mb)
    }

    // Room for a full set of adapters.
    fn adapters_mb(&self) -> f64 {
        let slots = f64::from(u32::try_from(self.view.engine.adapter_slots).unwrap_or(u32::MAX));
        let models = self.view.engine.models.values();
        let largest = models.map(|model| model.adapter_mb).fold(0.0, f64::max);
        slots * largest
    }
}
