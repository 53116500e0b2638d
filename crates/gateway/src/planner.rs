//! Which models the runners of one service should hold.
//!
//! Answers demand that moves between models faster than the weight store can
//! load them: replicas are a cache over the copies that runners keep on disk and
//! in host memory, and a replica gives way to a model that is asked for more.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id;
use crate::service::{Engine, Model};

/// Prompt tokens waiting on every replica above which a model gets another one.
const STRAINED_TOKENS: u64 = 12_000;
/// Share of its time that a replica may read prompts.
const UTILIZATION: f64 = 0.3;
/// Factor by which a model must be asked for more than the one it replaces.
const HYSTERESIS: f64 = 1.5;
/// Worth of a model whose requests can wait for its return.
const PATIENT_SHARE: f64 = 0.3;
/// Loss for each adapter of a runner that takes no adapter orders while it loads
/// a model from the store.
const ADAPTER_LOSS: f64 = 0.3;
/// Loss for each request that an unload has to wait for.
const REQUEST_LOSS: f64 = 0.2;
/// Worth of one of several replicas, as a share of that of a single one.
const SPARE_SHARE: f64 = 0.25;

/// One runner as the planner sees it.
#[derive(Clone, Debug, Default)]
pub struct Runner {
    /// Models that it holds.
    pub models: BTreeSet<id::Model>,
    /// Model that is being loaded.
    pub loading: Option<id::Model>,
    /// Model that is being unloaded.
    pub unloading: Option<id::Model>,
    /// Whether an order is in progress or its outcome is unknown.
    pub is_busy: bool,
    /// Adapters that it holds.
    pub adapters: usize,
    /// Models with a copy in host memory.
    pub in_memory: BTreeSet<id::Model>,
    /// Models with a copy on disk.
    pub on_disk: BTreeSet<id::Model>,
    /// Requests on it by model.
    pub requests: BTreeMap<id::Model, u64>,
    /// Prompt tokens that its requests still have to read.
    pub pending_tokens: u64,
    /// Model for which room was made.
    pub reserved_for: Option<id::Model>,
}

/// How much a model is asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Requests in a second, newer ones weighing more.
    pub rate: f64,
    /// The same over a longer time, in which demand may have moved away and back.
    pub history: f64,
    /// Prompt tokens in a second that replicas have to read.
    pub tokens: f64,
    /// Requests that wait for a replica.
    pub waiting: u64,
    /// Shortest latency objective of the requests.
    pub objective: Duration,
}

/// Everything that a decision depends on.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// Properties of the runners.
    pub engine: &'a Engine,
    /// Runners that take new work.
    pub runners: BTreeMap<id::Runner, Runner>,
    /// Interest by model.
    pub interests: BTreeMap<id::Model, Demand>,
    /// Time that a replica takes to read a prompt token, by model.
    pub token_times: BTreeMap<id::Model, Duration>,
    /// Loads from the weight store that may begin now.
    pub store_loads: usize,
}

/// Where a load comes from.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Tier {
    /// The runner's host memory.
    Memory,
    /// The runner's disk.
    Disk,
    /// The weight store.
    Store,
}

/// One order to give.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Load a model.
    Load {
        /// Runner.
        runner: id::Runner,
        /// Model.
        model: id::Model,
        /// Where it comes from.
        tier: Tier,
    },
    /// Unload a model to make room.
    Unload {
        /// Runner.
        runner: id::Runner,
        /// Model.
        model: id::Model,
        /// Model that the room is for.
        successor: id::Model,
    },
}

/// Decides what to order now; at most one order a runner.
#[must_use]
pub fn decide(view: &View<'_>) -> Vec<Decision> {
    let mut round = Round {
        view,
        index: Index::new(&view.runners),
        store_loads: view.store_loads,
        taken: BTreeSet::new(),
        decisions: Vec::new(),
    };
    round.fill_reserved();
    for model in round.needs() {
        round.place(&model);
    }
    round.decisions
}

struct Round<'a> {
    view: &'a View<'a>,
    index: Index<'a>,
    store_loads: usize,
    /// Runners that have a decision already.
    taken: BTreeSet<&'a str>,
    decisions: Vec<Decision>,
}

/// What all runners together have, by model.
#[derive(Default)]
struct Index<'a> {
    /// Replicas that are held, coming, or planned.
    replicas: BTreeMap<&'a str, usize>,
    /// Replicas that take requests.
    ready: BTreeMap<&'a str, usize>,
    /// Models with a copy in memory or on disk.
    copies: BTreeSet<&'a str>,
    /// Models with a replica that is coming or has little to read.
    relieved: BTreeSet<&'a str>,
}

impl<'a> Index<'a> {
    fn new(runners: &'a BTreeMap<id::Runner, Runner>) -> Self {
        let mut index = Self::default();
        for runner in runners.values() {
            index.add(runner);
        }
        index
    }

    fn add(&mut self, runner: &'a Runner) {
        let copies = runner.in_memory.iter().chain(&runner.on_disk);
        self.copies.extend(copies.map(String::as_str));
        let coming = runner.loading.iter().chain(&runner.reserved_for);
        let mut named: BTreeSet<&str> = coming.map(String::as_str).collect();
        named.extend(runner.models.iter().map(String::as_str));
        for model in named {
            let is_held = runner.models.contains(model);
            if runner.provides(model) {
                *self.replicas.entry(model).or_default() += 1;
            }
            if is_held && runner.unloading.as_deref() != Some(model) {
                *self.ready.entry(model).or_default() += 1;
            }
            let is_coming = !is_held && runner.provides(model);
            if is_coming || (is_held && runner.pending_tokens <= STRAINED_TOKENS) {
                self.relieved.insert(model);
            }
        }
    }
}

/// A place where a model could go.
struct Place<'a> {
    runner: &'a str,
    tier: Tier,
    /// Model that would give way.
    victim: Option<&'a str>,
    /// What that costs, in requests a second that lose their replica.
    loss: f64,
}

impl<'a> Round<'a> {
    fn model(&self, name: &str) -> Option<&'a Model> {
        self.view.engine.models.get(name)
    }

    fn interest(&self, model: &str) -> Demand {
        self.view.interests.get(model).copied().unwrap_or_default()
    }

    /// Replicas that are held, coming, or planned.
    fn replicas(&self, model: &str) -> usize {
        self.index.replicas.get(model).copied().unwrap_or_default()
    }

    /// Replicas that take requests.
    fn ready(&self, model: &str) -> usize {
        self.index.ready.get(model).copied().unwrap_or_default()
    }

    fn fill_reserved(&mut self) {
        for (name, runner) in &self.view.runners {
            let Some(model) = &runner.reserved_for else {
                continue;
            };
            if runner.is_busy || runner.models.contains(model) {
                continue;
            }
            self.taken.insert(name);
            if self.free_mb(runner) < self.size(model) {
                continue;
            }
            self.load(name, model, runner.tier(model));
        }
    }

    // Models without a replica that are waited for come first, the
    // shortest objective before; then
    // those whose replicas have too much to read; then those without any copy.
    fn needs(&self) -> Vec<id::Model> {
        let mut absent = Vec::new();
        let mut strained = Vec::new();
        let mut uncovered = Vec::new();
        for model in self.view.engine.models.keys() {
            let interest = self.interest(model);
            if self.replicas(model) == 0 {
                if interest.waiting > 0 {
                    absent.push((interest.objective, Reverse(interest.waiting), model));
                } else if !self.has_copy(model) {
                    uncovered.push(model);
                }
            } else if self.is_strained(model) {
                strained.push((interest.objective, model));
            }
        }
        absent.sort();
        strained.sort();
        let absent = absent.into_iter().map(|(_, _, model)| model);
        let strained = strained.into_iter().map(|(_, model)| model);
        absent.chain(strained).chain(uncovered).cloned().collect()
    }

    fn has_copy(&self, model: &str) -> bool {
        self.index.copies.contains(model)
    }

    // Whether the replicas read prompts for too much of their time, or all have
    // too much to read just now.
    fn is_strained(&self, model: &str) -> bool {
        let token = self.view.token_times.get(model).copied();
        let busy = self.interest(model).tokens * token.unwrap_or_default().as_secs_f64();
        let replicas = f64::from(u32::try_from(self.replicas(model)).unwrap_or(u32::MAX));
        if busy > replicas * UTILIZATION {
            return true;
        }
        self.replicas(model) > 0 && !self.index.relieved.contains(model)
    }

    fn place(&mut self, model: &str) {
        let interest = self.interest(model);
        let is_waited_for = interest.waiting > 0 && self.replicas(model) == 0;
        // A copy on a runner that is busy for a moment is nearer than the store.
        let has_copy = self.has_copy(model);
        let options = self.view.runners.iter().filter_map(|(name, runner)| {
            if self.taken.contains(name.as_str()) || runner.is_busy || runner.provides(model) {
                return None;
            }
            let tier = runner.tier(model);
            if tier == Tier::Store && (self.store_loads == 0 || (is_waited_for && has_copy)) {
                return None;
            }
            let (victim, mut loss) = self.victim(runner, model)?;
            if tier == Tier::Store {
                loss +=
                    ADAPTER_LOSS * f64::from(u32::try_from(runner.adapters).unwrap_or(u32::MAX));
            }
            let worthwhile =
                is_waited_for || victim.is_none() || loss * HYSTERESIS <= interest.rate;
            worthwhile.then_some(Place {
                runner: name,
                tier,
                victim,
                loss,
            })
        });
        let best = options.min_by(|a, b| {
            let cost = |option: &Place<'_>| {
                self.load_time(model, option.tier).as_secs_f64() * (interest.rate + 1.0)
                    + option.loss
            };
            cost(a).total_cmp(&cost(b))
        });
        let Some(best) = best else { return };
        let (runner, tier, victim) = (best.runner, best.tier, best.victim.map(str::to_owned));
        let runner = self
            .view
            .runners
            .get_key_value(runner)
            .map(|(name, _)| name.as_str());
        let Some(runner) = runner else { return };
        self.taken.insert(runner);
        match victim {
            Some(victim) => self.decisions.push(Decision::Unload {
                runner: runner.to_owned(),
                model: victim,
                successor: model.to_owned(),
            }),
            None => self.load(runner, model, tier),
        }
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

    // The model whose loss costs least, or none if there is room; `None` if no
    // model can give way.
    fn victim<'b>(&self, runner: &'b Runner, successor: &str) -> Option<(Option<&'b str>, f64)> {
        let needed = self.size(successor);
        let free = self.free_mb(runner);
        if free >= needed {
            return Some((None, 0.0));
        }
        runner
            .models
            .iter()
            .filter(|model| free + self.size(model) >= needed)
            .filter(|model| self.interest(model).waiting == 0)
            .map(|model| (Some(model.as_str()), self.loss(runner, model)))
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    // A model whose requests can wait for a load from disk loses little by it.
    // Requests on the runner hold the unload back.
    fn loss(&self, runner: &Runner, model: &str) -> f64 {
        let interest = self.interest(model);
        let reload = self.load_time(model, Tier::Disk) * 2;
        let weight = if interest.objective > reload {
            PATIENT_SHARE
        } else {
            1.0
        };
        let share = if self.ready(model) > 1 {
            SPARE_SHARE
        } else {
            1.0
        };
        let requests = runner.requests.get(model).copied().unwrap_or_default();
        let held_back = f64::from(u32::try_from(requests).unwrap_or(u32::MAX));
        interest.rate.max(interest.history) * weight * share + held_back * REQUEST_LOSS
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

    fn size(&self, model: &str) -> f64 {
        self.model(model).map_or(0.0, |model| model.memory_mb)
    }

    // Memory that weights leave, with room for a full set of adapters.
    fn free_mb(&self, runner: &Runner) -> f64 {
        let held = runner.models.iter().chain(&runner.loading);
        let weights: f64 = held.map(|model| self.size(model)).sum();
        let slots = f64::from(u32::try_from(self.view.engine.adapter_slots).unwrap_or(u32::MAX));
        let largest = self
            .view
            .engine
            .models
            .values()
            .map(|model| model.adapter_mb)
            .fold(0.0, f64::max);
        self.view.engine.memory_mb - weights - slots * largest
    }
}

impl Runner {
    /// Whether it holds the model, or will.
    #[must_use]
    pub fn provides(&self, model: &str) -> bool {
        let is = |other: &Option<id::Model>| other.as_deref() == Some(model);
        (self.models.contains(model) && !is(&self.unloading))
            || is(&self.loading)
            || is(&self.reserved_for)
    }

    /// Where a load of the model would come from.
    #[must_use]
    pub fn tier(&self, model: &str) -> Tier {
        if self.in_memory.contains(model) {
            Tier::Memory
        } else if self.on_disk.contains(model) {
            Tier::Disk
        } else {
            Tier::Store
        }
    }
}
