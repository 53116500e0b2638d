//! The memory of a runner, counted by the runner itself.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use almondbank_wire::id;
use almondbank_wire::order::{Action, Cached, Order, Phase, Receipt, Report, Resident, Tier};
use serde::{Deserialize, Serialize};

const REMEMBERED_ORDERS: usize = 256;

/// Properties of a runner.
#[derive(Clone, Debug)]
pub struct Traits {
    /// Accelerator memory, in bytes.
    pub memory_bytes: u64,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Time that a load takes.
    pub load_time: Duration,
    /// Checkpoints that are cached near it.
    pub cached: Vec<Cached>,
}

/// What the runner has seen happen.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Count {
    /// Most memory ever in use, in bytes.
    pub peak_bytes: u64,
    /// Times that more than the memory was in use.
    pub overcommits: u64,
    /// Times that a pool held more than its bytes.
    pub pool_overcommits: u64,
    /// Loads begun.
    pub loads: u64,
    /// Adapter loads begun.
    pub adapter_loads: u64,
    /// Orders refused for an old fencing number.
    pub stale: u64,
    /// Requests run, by request id.
    pub runs: BTreeMap<String, u64>,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Its fencing number is old.
    Stale,
    /// The replica that it is about is not there.
    Missing,
}

/// The memory of one runner.
#[derive(Clone, Debug)]
pub struct Engine {
    traits: Traits,
    incarnation: id::Incarnation,
    fence: id::Fencing,
    sequence: u64,
    replicas: BTreeMap<id::Replica, Loaded>,
    accepted: VecDeque<id::Order>,
    orders: VecDeque<id::Order>,
    leaving: bool,
    count: Count,
}

#[derive(Clone, Debug)]
struct Loaded {
    model: id::Model,
    version: id::Version,
    order: id::Order,
    bytes: u64,
    pool_bytes: u64,
    ready_at: Option<Duration>,
    adapters: BTreeMap<id::Adapter, u64>,
}

impl Engine {
    /// Makes an empty runner.
    #[must_use]
    pub fn new(incarnation: impl Into<String>, traits: Traits) -> Self {
        Self {
            traits,
            incarnation: incarnation.into(),
            fence: 0,
            sequence: 0,
            replicas: BTreeMap::new(),
            accepted: VecDeque::new(),
            orders: VecDeque::new(),
            leaving: false,
            count: Count::default(),
        }
    }

    /// Loses all memory, as a restarted process does.
    pub fn restart(&mut self, incarnation: impl Into<String>) {
        self.incarnation = incarnation.into();
        self.replicas.clear();
        self.accepted.clear();
        self.orders.clear();
        self.fence = 0;
    }

    /// Announces that the runner leaves.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Makes loads take another time from now on.
    pub fn set_load_time(&mut self, load_time: Duration) {
        self.traits.load_time = load_time;
    }

    /// What the runner has seen happen.
    #[must_use]
    pub fn count(&self) -> &Count {
        &self.count
    }

    /// Records that a request was run.
    pub fn record_run(&mut self, request: &str) {
        *self.count.runs.entry(request.to_owned()).or_default() += 1;
    }

    /// Replicas of a model version, loading ones included.
    #[must_use]
    pub fn loaded(&self, model: &str, version: &str) -> usize {
        self.replicas
            .values()
            .filter(|loaded| loaded.model == model && loaded.version == version)
            .count()
    }

    /// Ids of the replicas in memory.
    pub fn replicas(&self) -> impl Iterator<Item = &id::Replica> {
        self.replicas.keys()
    }

    /// Memory in use, in bytes.
    #[must_use]
    pub fn used_bytes(&self) -> u64 {
        self.replicas
            .values()
            .map(|loaded| loaded.bytes + loaded.pool_bytes)
            .sum()
    }

    /// Whether a ready replica serves `name`, a model or an adapter, at `version`.
    #[must_use]
    pub fn serves(&self, name: &str, version: &str, now: Duration) -> bool {
        self.replicas.values().any(|loaded| {
            let ready = loaded.ready_at.is_some_and(|at| at <= now);
            let named = loaded.model == name || loaded.adapters.contains_key(name);
            ready && named && loaded.version == version
        })
    }

    /// Carries out an order; loads end after the runner's load time.
    ///
    /// # Errors
    ///
    /// Refuses old fencing numbers if the runner checks them.
    pub fn order(&mut self, order: &Order, now: Duration) -> Result<Receipt, Refusal> {
        if self.traits.checks_fencing {
            if order.fencing < self.fence {
                self.count.stale += 1;
                return Err(Refusal::Stale);
            }
            self.fence = order.fencing;
        }
        if !self.accepted.contains(&order.order) {
            self.carry_out(order, now)?;
            remember(&mut self.accepted, &order.order);
        }
        Ok(Receipt {
            order: order.order.clone(),
            done: self.orders.contains(&order.order),
        })
    }

    /// The runner's account of itself.
    pub fn report(&mut self, now: Duration) -> Report {
        self.finish_loads(now);
        self.sequence += 1;
        let replicas = self
            .replicas
            .iter()
            .map(|(replica, loaded)| loaded.resident(replica, now))
            .collect();
        Report {
            incarnation: self.incarnation.clone(),
            sequence: self.sequence,
            memory_bytes: self.traits.memory_bytes,
            used_bytes: self.used_bytes(),
            running: 0,
            queued: 0,
            replicas,
            orders: self.orders.iter().cloned().collect(),
            cached: self.traits.cached.clone(),
            leaving: self.leaving,
        }
    }

    fn carry_out(&mut self, order: &Order, now: Duration) -> Result<(), Refusal> {
        match order.action {
            Action::Load => {
                self.load(order, now);
                return Ok(());
            }
            Action::Unload => self.unload(order),
            Action::LoadAdapter => self.load_adapter(order)?,
            Action::UnloadAdapter => {
                let adapter = order.adapter.as_deref().unwrap_or_default();
                if let Some(loaded) = self.replicas.get_mut(&order.replica) {
                    loaded.adapters.remove(adapter);
                }
            }
            Action::Fence => {}
        }
        remember(&mut self.orders, &order.order);
        Ok(())
    }

    fn load(&mut self, order: &Order, now: Duration) {
        if self.replicas.contains_key(&order.replica) {
            return;
        }
        let tier = self.tier(&order.model, &order.version);
        let divisor = match tier {
            Tier::Remote => 1,
            Tier::Disk => 4,
            Tier::Memory => 20,
        };
        let loaded = Loaded {
            model: order.model.clone(),
            version: order.version.clone(),
            order: order.order.clone(),
            bytes: order.bytes,
            pool_bytes: order.pool_bytes,
            ready_at: Some(now + self.traits.load_time / divisor),
            adapters: BTreeMap::new(),
        };
        self.replicas.insert(order.replica.clone(), loaded);
        self.count.loads += 1;
        self.note_memory();
    }

    // A load that is cut short counts as finished.
    fn unload(&mut self, order: &Order) {
        let Some(loaded) = self.replicas.remove(&order.replica) else {
            return;
        };
        if !self.orders.contains(&loaded.order) {
            remember(&mut self.orders, &loaded.order);
        }
    }

    fn load_adapter(&mut self, order: &Order) -> Result<(), Refusal> {
        let adapter = order.adapter.clone().unwrap_or_default();
        let loaded = self
            .replicas
            .get_mut(&order.replica)
            .ok_or(Refusal::Missing)?;
        loaded.adapters.insert(adapter, order.bytes);
        self.count.adapter_loads += 1;
        if loaded.adapters.values().sum::<u64>() > loaded.pool_bytes {
            self.count.pool_overcommits += 1;
        }
        Ok(())
    }

    fn tier(&self, model: &str, version: &str) -> Tier {
        self.traits
            .cached
            .iter()
            .find(|cached| cached.model == model && cached.version == version)
            .map_or(Tier::Remote, |cached| cached.tier)
    }

    fn note_memory(&mut self) {
        let used = self.used_bytes();
        self.count.peak_bytes = self.count.peak_bytes.max(used);
        if used > self.traits.memory_bytes {
            self.count.overcommits += 1;
        }
    }

    fn finish_loads(&mut self, now: Duration) {
        let finished: Vec<_> = self
            .replicas
            .values()
            .filter(|loaded| loaded.ready_at.is_some_and(|at| at <= now))
            .map(|loaded| loaded.order.clone())
            .filter(|order| !self.orders.contains(order))
            .collect();
        for order in finished {
            remember(&mut self.orders, &order);
        }
    }
}

fn remember(orders: &mut VecDeque<id::Order>, order: &str) {
    orders.push_back(order.to_owned());
    if orders.len() > REMEMBERED_ORDERS {
        orders.pop_front();
    }
}

impl Loaded {
    fn resident(&self, replica: &str, now: Duration) -> Resident {
        let ready = self.ready_at.is_some_and(|at| at <= now);
        Resident {
            replica: replica.to_owned(),
            model: self.model.clone(),
            version: self.version.clone(),
            phase: if ready { Phase::Ready } else { Phase::Loading },
            adapters: self.adapters.keys().cloned().collect(),
        }
    }
}
