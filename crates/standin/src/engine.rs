//! Simulated state of a model runner: its replicas, adapters and memory use.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use almondbank_wire::id;
use almondbank_wire::order::{Action, Cached, Order, Phase, Receipt, Report, Resident, Tier};
use serde::{Deserialize, Serialize};

const MAX_ORDERS: usize = 256;

/// Configuration of a simulated runner.
#[derive(Clone, Debug)]
pub struct Config {
    /// Accelerator memory, in bytes.
    pub memory_bytes: u64,
    /// Whether it refuses orders with a stale fencing token.
    pub checks_fencing: bool,
    /// Duration of a load from the weight store; other tiers take a fraction of it.
    pub load_time: Duration,
    /// Model versions whose weights are cached on disk or in memory; others are remote.
    pub cached: Vec<Cached>,
}

/// Counters of what the runner has done and which limits it exceeded.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Counters {
    /// Peak memory use, in bytes.
    pub peak_bytes: u64,
    /// Loads after which more than the runner's memory was in use.
    pub overcommits: u64,
    /// Adapter loads after which an adapter pool exceeded its size.
    pub pool_overcommits: u64,
    /// Replica loads started.
    pub loads: u64,
    /// Adapter loads completed.
    pub adapter_loads: u64,
    /// Orders refused for a stale fencing token.
    pub stale: u64,
    /// Number of executions of each request, by request id.
    pub runs: BTreeMap<String, u64>,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The fencing token is older than the newest one seen.
    Stale,
    /// The replica to load the adapter into does not exist.
    Missing,
}

/// Simulated state of one runner.
#[derive(Clone, Debug)]
pub struct Engine {
    config: Config,
    incarnation: id::Incarnation,
    newest_fencing: id::Fencing,
    sequence: u64,
    replicas: BTreeMap<id::Replica, Replica>,
    accepted: VecDeque<id::Order>,
    completed: VecDeque<id::Order>,
    leaving: bool,
    counters: Counters,
}

#[derive(Clone, Debug)]
struct Replica {
    model: id::Model,
    version: id::Version,
    order: id::Order,
    bytes: u64,
    pool_bytes: u64,
    ready_at: Option<Duration>,
    adapters: BTreeMap<id::Adapter, u64>,
}

impl Engine {
    /// Creates a runner without replicas.
    #[must_use]
    pub fn new(incarnation: impl Into<String>, config: Config) -> Self {
        Self {
            config,
            incarnation: incarnation.into(),
            newest_fencing: 0,
            sequence: 0,
            replicas: BTreeMap::new(),
            accepted: VecDeque::new(),
            completed: VecDeque::new(),
            leaving: false,
            counters: Counters::default(),
        }
    }

    /// Clears replicas, orders and the fencing token, as a process restart does.
    pub fn restart(&mut self, incarnation: impl Into<String>) {
        self.incarnation = incarnation.into();
        self.replicas.clear();
        self.accepted.clear();
        self.completed.clear();
        self.newest_fencing = 0;
    }

    /// Sets whether reports announce that the runner is leaving.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Sets the load time of subsequent loads.
    pub fn set_load_time(&mut self, load_time: Duration) {
        self.config.load_time = load_time;
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Records one execution of a request.
    pub fn record_run(&mut self, request: &str) {
        *self.counters.runs.entry(request.to_owned()).or_default() += 1;
    }

    /// Returns the number of replicas of a model version, including those still loading.
    #[must_use]
    pub fn loaded(&self, model: &str, version: &str) -> usize {
        self.replicas
            .values()
            .filter(|replica| replica.model == model && replica.version == version)
            .count()
    }

    /// Iterates over the ids of all replicas, including those still loading.
    pub fn replicas(&self) -> impl Iterator<Item = &id::Replica> {
        self.replicas.keys()
    }

    /// Memory reserved by all replicas and their adapter pools, in bytes.
    #[must_use]
    pub fn used_bytes(&self) -> u64 {
        self.replicas
            .values()
            .map(|replica| replica.bytes + replica.pool_bytes)
            .sum()
    }

    /// Returns whether a ready replica serves the model or adapter `name` at `version`.
    #[must_use]
    pub fn serves(&self, name: &str, version: &str, now: Duration) -> bool {
        self.replicas.values().any(|replica| {
            let ready = replica.ready_at.is_some_and(|at| at <= now);
            let matches = replica.model == name || replica.adapters.contains_key(name);
            ready && matches && replica.version == version
        })
    }

    /// Executes an order once; a repeated order only returns its receipt.
    ///
    /// A load completes after the load time of the tier that holds the weights.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Stale`] if the runner checks fencing tokens and the order's is stale,
    /// and [`Refusal::Missing`] if an adapter is to be loaded into an unknown replica.
    pub fn order(&mut self, order: &Order, now: Duration) -> Result<Receipt, Refusal> {
        if self.config.checks_fencing {
            if order.fencing < self.newest_fencing {
                self.counters.stale += 1;
                return Err(Refusal::Stale);
            }
            self.newest_fencing = order.fencing;
        }
        if !self.accepted.contains(&order.order) {
            self.execute(order, now)?;
            push_bounded(&mut self.accepted, &order.order);
        }
        Ok(Receipt {
            order: order.order.clone(),
            done: self.completed.contains(&order.order),
        })
    }

    /// Completes the loads that are due and returns the report of memory, replicas and orders.
    pub fn report(&mut self, now: Duration) -> Report {
        self.finish_loads(now);
        self.sequence += 1;
        let replicas = self
            .replicas
            .iter()
            .map(|(id, replica)| replica.to_resident(id, now))
            .collect();
        Report {
            incarnation: self.incarnation.clone(),
            sequence: self.sequence,
            memory_bytes: self.config.memory_bytes,
            used_bytes: self.used_bytes(),
            running: 0,
            queued: 0,
            replicas,
            orders: self.completed.iter().cloned().collect(),
            cached: self.config.cached.clone(),
            leaving: self.leaving,
        }
    }

    fn execute(&mut self, order: &Order, now: Duration) -> Result<(), Refusal> {
        match order.action {
            Action::Load => {
                self.load(order, now);
                return Ok(());
            }
            Action::Unload => self.unload(order),
            Action::LoadAdapter => self.load_adapter(order)?,
            Action::UnloadAdapter => {
                let adapter = order.adapter.as_deref().unwrap_or_default();
                if let Some(replica) = self.replicas.get_mut(&order.replica) {
                    replica.adapters.remove(adapter);
                }
            }
            Action::Fence => {}
        }
        push_bounded(&mut self.completed, &order.order);
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
        let replica = Replica {
            model: order.model.clone(),
            version: order.version.clone(),
            order: order.order.clone(),
            bytes: order.bytes,
            pool_bytes: order.pool_bytes,
            ready_at: Some(now + self.config.load_time / divisor),
            adapters: BTreeMap::new(),
        };
        self.replicas.insert(order.replica.clone(), replica);
        self.counters.loads += 1;
        self.record_memory_use();
    }

    // An unload also completes a load that is still in progress.
    fn unload(&mut self, order: &Order) {
        let Some(replica) = self.replicas.remove(&order.replica) else {
            return;
        };
        if !self.completed.contains(&replica.order) {
            push_bounded(&mut self.completed, &replica.order);
        }
    }

    fn load_adapter(&mut self, order: &Order) -> Result<(), Refusal> {
        let adapter = order.adapter.clone().unwrap_or_default();
        let replica = self
            .replicas
            .get_mut(&order.replica)
            .ok_or(Refusal::Missing)?;
        replica.adapters.insert(adapter, order.bytes);
        self.counters.adapter_loads += 1;
        if replica.adapters.values().sum::<u64>() > replica.pool_bytes {
            self.counters.pool_overcommits += 1;
        }
        Ok(())
    }

    fn tier(&self, model: &str, version: &str) -> Tier {
        self.config
            .cached
            .iter()
            .find(|cached| cached.model == model && cached.version == version)
            .map_or(Tier::Remote, |cached| cached.tier)
    }

    fn record_memory_use(&mut self) {
        let used = self.used_bytes();
        self.counters.peak_bytes = self.counters.peak_bytes.max(used);
        if used > self.config.memory_bytes {
            self.counters.overcommits += 1;
        }
    }

    fn finish_loads(&mut self, now: Duration) {
        let due: Vec<_> = self
            .replicas
            .values()
            .filter(|replica| replica.ready_at.is_some_and(|at| at <= now))
            .map(|replica| replica.order.clone())
            .filter(|order| !self.completed.contains(order))
            .collect();
        for order in due {
            push_bounded(&mut self.completed, &order);
        }
    }
}

fn push_bounded(orders: &mut VecDeque<id::Order>, order: &str) {
    orders.push_back(order.to_owned());
    if orders.len() > MAX_ORDERS {
        orders.pop_front();
    }
}

impl Replica {
    fn to_resident(&self, id: &str, now: Duration) -> Resident {
        let ready = self.ready_at.is_some_and(|at| at <= now);
        Resident {
            replica: id.to_owned(),
            model: self.model.clone(),
            version: self.version.clone(),
            phase: if ready { Phase::Ready } else { Phase::Loading },
            adapters: self.adapters.keys().cloned().collect(),
        }
    }
}
