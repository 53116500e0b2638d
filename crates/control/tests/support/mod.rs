//! Simulation of instances, runners and the table on one manual clock.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use almondbank_control::demand::{Demand, Target, Waiting};
use almondbank_control::leader::{Dispatch, Input, Leader, StoreLimits};
use almondbank_control::lease::{Candidate, Identity};
use almondbank_control::observation::Observation;
use almondbank_control::{key, membership};
use almondbank_port::clock::Clock;
use almondbank_port::table::Table;
use almondbank_standin::engine::{Config, Engine};
use almondbank_standin::fixture::{self, Model};
use almondbank_standin::manual::Manual;
use almondbank_standin::store::{Fault, Store};
use almondbank_wire::document::{self, Document};
use almondbank_wire::rank::Rank;
use almondbank_wire::row;
use serde::Deserialize;

const ENVIRONMENT: &str = "production";
const TERM: Duration = Duration::from_secs(6);
const INSTANCES: usize = 3;
const RUNNERS: usize = 3;
const MODELS: usize = 5;
const MEMORY: u64 = 20;
const LOAD_TIME: Duration = Duration::from_millis(800);
const ROSTER_LAG: Duration = Duration::from_secs(3);

/// An event of a schedule or a trace; numbers select the instance, the runner, the
/// model or the pending order.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// Advances the clock by this many centiseconds plus one, then steps all running
    /// instances.
    Tick(u8),
    /// Delivers all pending orders.
    Flush,
    Deliver(u8),
    /// Delivers a pending order that stays pending.
    Duplicate(u8),
    Lose(u8),
    Kill(u8),
    /// Restarts an instance that was killed.
    Start(u8),
    Freeze(u8),
    Thaw(u8),
    /// Releases the lease, if the instance holds it and has no pending orders.
    Release(u8),
    TableDown,
    TableUp,
    /// Makes the next commit to the table fail or be delayed.
    Fault(u8),
    /// Delivers the delayed commits to the table.
    DeliverDelayed,
    /// Sets the demand for a model: the model, and the number of waiting requests.
    Demand(u8, u8),
    /// Removes the demand for a model.
    Idle(u8),
    RestartRunner(u8),
    /// Loses the reports of a runner until the next `Hear`.
    Silence(u8),
    Hear(u8),
}

struct Instance {
    incarnation: String,
    candidate: Candidate,
    leader: Option<Leader>,
    observations: BTreeMap<String, Observation>,
    frozen: bool,
    killed_at: Option<Duration>,
}

struct Pending {
    incarnation: String,
    dispatch: Dispatch,
}

/// State of the simulation.
pub struct World {
    clock: Manual,
    store: Store,
    document: Document,
    instances: Vec<Instance>,
    pub engines: BTreeMap<String, Engine>,
    silent: BTreeMap<String, bool>,
    demands: BTreeMap<Target, Demand>,
    pending: Vec<Pending>,
    runs: u32,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            document: document(),
            engines: BTreeMap::new(),
            silent: BTreeMap::new(),
            demands: BTreeMap::new(),
            pending: Vec::new(),
            instances: Vec::new(),
            runs: 0,
            clock: Manual::default(),
            store: Store::default(),
        };
        for (name, runner) in &world.document.runners {
            let config = Config {
                memory_bytes: runner.memory_bytes,
                checks_fencing: runner.checks_fencing,
                load_time: LOAD_TIME,
                cached: Vec::new(),
            };
            let engine = Engine::new(format!("{name}-0"), config);
            world.engines.insert(name.clone(), engine);
        }
        for at in 0..INSTANCES {
            let instance = world.start(at);
            world.instances.push(instance);
        }
        world
    }

    fn start(&self, at: usize) -> Instance {
        let incarnation = membership::incarnation(&format!("entry-{at}"));
        let identity = Identity {
            environment: ENVIRONMENT.to_owned(),
            incarnation: incarnation.clone(),
            address: String::new(),
            term: TERM,
        };
        let table: Arc<dyn Table> = Arc::new(self.store.clone());
        Instance {
            candidate: Candidate::new(identity, table, Arc::new(self.clock.clone())),
            incarnation,
            leader: None,
            observations: BTreeMap::new(),
            frozen: false,
            killed_at: None,
        }
    }

    pub fn apply(&mut self, event: &Event) {
        match event {
            Event::Tick(centiseconds) => self.tick(*centiseconds),
            Event::Flush => {
                for pending in std::mem::take(&mut self.pending) {
                    self.deliver_sent(pending);
                }
            }
            Event::Deliver(n) => {
                if let Some(at) = self.pick_pending(*n) {
                    let pending = self.pending.remove(at);
                    self.deliver_sent(pending);
                }
            }
            Event::Duplicate(n) => {
                if let Some(at) = self.pick_pending(*n) {
                    let dispatch = self.pending[at].dispatch.clone();
                    self.deliver(&dispatch);
                }
            }
            Event::Lose(n) => {
                if let Some(at) = self.pick_pending(*n) {
                    self.pending.remove(at);
                }
            }
            Event::Kill(n) => {
                let now = self.clock.now();
                let instance = &mut self.instances[usize::from(*n) % INSTANCES];
                instance.leader = None;
                instance.killed_at.get_or_insert(now);
            }
            Event::Start(n) => self.restart(usize::from(*n) % INSTANCES),
            Event::Freeze(n) => self.instances[usize::from(*n) % INSTANCES].frozen = true,
            Event::Thaw(n) => self.instances[usize::from(*n) % INSTANCES].frozen = false,
            Event::Release(n) => self.release(usize::from(*n) % INSTANCES),
            Event::TableDown => self.store.set_down(true),
            Event::TableUp => self.store.set_down(false),
            Event::Fault(n) => {
                let faults = [Fault::ResponseLost, Fault::RequestLost, Fault::Delayed];
                self.store.inject([faults[usize::from(*n) % faults.len()]]);
            }
            Event::DeliverDelayed => self.store.apply_delayed(),
            Event::Demand(n, count) => {
                self.demands.insert(target(*n), demand(*count));
            }
            Event::Idle(n) => {
                self.demands.remove(&target(*n));
            }
            Event::RestartRunner(n) => self.restart_runner(&runner_name(*n)),
            Event::Silence(n) => {
                self.silent.insert(runner_name(*n), true);
            }
            Event::Hear(n) => {
                self.silent.insert(runner_name(*n), false);
            }
        }
    }

    fn tick(&mut self, centiseconds: u8) {
        let elapsed = Duration::from_millis(u64::from(centiseconds) * 10 + 10);
        self.clock.advance(elapsed);
        for at in 0..self.instances.len() {
            self.step(at);
        }
    }

    // The connections of the old process are closed, so its pending orders are lost.
    fn restart(&mut self, at: usize) {
        if self.instances[at].killed_at.is_none() {
            return;
        }
        let old = self.instances[at].incarnation.clone();
        self.pending.retain(|pending| pending.incarnation != old);
        self.instances[at] = self.start(at);
    }

    // Connections to the old process are closed, so its pending orders are lost.
    // Orders that a frozen instance has not sent yet reach the new process later.
    fn restart_runner(&mut self, name: &str) {
        self.runs += 1;
        let incarnation = format!("{name}-{}", self.runs);
        if let Some(engine) = self.engines.get_mut(name) {
            engine.restart(incarnation);
        }
        let pending = std::mem::take(&mut self.pending);
        let survives =
            |pending: &Pending| pending.dispatch.runner != name || self.is_unsent(pending);
        self.pending = pending.into_iter().filter(survives).collect();
    }

    fn is_unsent(&self, pending: &Pending) -> bool {
        self.instances
            .iter()
            .any(|sender| sender.frozen && sender.incarnation == pending.incarnation)
    }

    // Orders that a frozen instance has not sent yet stay pending until it thaws.
    fn deliver_sent(&mut self, pending: Pending) {
        if self.is_unsent(&pending) {
            self.pending.push(pending);
        } else {
            self.deliver(&pending.dispatch);
        }
    }

    fn pick_pending(&self, n: u8) -> Option<usize> {
        let count = self.pending.len();
        (count > 0).then(|| usize::from(n) % count)
    }

    fn deliver(&mut self, dispatch: &Dispatch) {
        let now = self.clock.now();
        if let Some(engine) = self.engines.get_mut(&dispatch.runner) {
            let _ = engine.order(&dispatch.order, now);
        }
    }

    // An instance releases its lease only when it has no pending orders.
    fn release(&mut self, at: usize) {
        let instance = &mut self.instances[at];
        if instance.frozen || instance.killed_at.is_some() {
            return;
        }
        let incarnation = &instance.incarnation;
        let has_pending = self
            .pending
            .iter()
            .any(|pending| pending.incarnation == *incarnation);
        if has_pending {
            return;
        }
        if let Some(leader) = instance.leader.take() {
            let _ = drive(&self.clock, leader.release());
        }
    }

    fn step(&mut self, at: usize) {
        let now = self.clock.now();
        if self.instances[at].frozen || self.instances[at].killed_at.is_some() {
            return;
        }
        let Some(mut leader) = self.instances[at].leader.take() else {
            self.try_take_lease(at);
            return;
        };
        if !leader.lease().is_valid() {
            return;
        }
        self.observe(at);
        let is_gone = |former: &row::Former| self.is_gone(former, now);
        let input = Input {
            document: &self.document,
            observations: &self.instances[at].observations,
            demands: &self.demands,
            is_gone: &is_gone,
        };
        let Ok(dispatches) = drive(&self.clock, leader.step(&input)) else {
            return;
        };
        let incarnation = self.instances[at].incarnation.clone();
        if leader.lease().is_valid() {
            let sent = dispatches.into_iter().map(|dispatch| Pending {
                incarnation: incarnation.clone(),
                dispatch,
            });
            self.pending.extend(sent);
        }
        self.instances[at].leader = Some(leader);
    }

    fn try_take_lease(&mut self, at: usize) {
        let polled = drive(&self.clock, self.instances[at].candidate.poll());
        let Ok(Some(lease)) = polled else {
            return;
        };
        let store_limits = StoreLimits {
            slots: 4,
            per_second: 10.0,
        };
        let clock: Arc<dyn Clock> = Arc::new(self.clock.clone());
        let opened = drive(
            &self.clock,
            Leader::open(ENVIRONMENT, lease, &self.store, clock, store_limits),
        );
        self.instances[at].observations.clear();
        self.instances[at].leader = opened.ok();
    }

    fn observe(&mut self, at: usize) {
        let now = self.clock.now();
        for (name, engine) in &mut self.engines {
            if self.silent.get(name).copied().unwrap_or(false) {
                continue;
            }
            let observation = Observation {
                report: engine.report(now),
                requested_at: now,
            };
            self.instances[at]
                .observations
                .insert(name.clone(), observation);
        }
    }

    // As `Members::is_gone`: the process was replaced, its VM has left the
    // roster, or it reports that it stepped down and has no orders in flight.
    fn is_gone(&self, former: &row::Former, now: Duration) -> bool {
        let Some((at, instance)) = self
            .instances
            .iter()
            .enumerate()
            .find(|(_, instance)| instance.incarnation == former.incarnation)
        else {
            return true;
        };
        let in_flight = self.pending.iter().any(|pending| {
            pending.incarnation == former.incarnation
                && pending.dispatch.order.fencing <= former.fencing
        });
        if let Some(killed_at) = instance.killed_at {
            return now.saturating_sub(killed_at) >= ROSTER_LAG && !in_flight;
        }
        let is_leader = self.instances[at]
            .leader
            .as_ref()
            .is_some_and(|leader| leader.lease().fencing() <= former.fencing);
        !instance.frozen && !in_flight && !is_leader
    }

    /// Checks the invariants: at most one valid lease, no runner over its memory, and
    /// a row for every replica on a runner.
    pub fn check(&self) -> Result<(), String> {
        let holders = self.instances.iter().filter(|instance| {
            let leader = instance.leader.as_ref();
            leader.is_some_and(|leader| leader.lease().is_valid())
        });
        if holders.count() > 1 {
            return Err("two instances hold a valid lease".to_owned());
        }
        let prefix = key::replicas(ENVIRONMENT);
        let rows: Vec<_> = self
            .store
            .peek(&prefix)
            .into_iter()
            .map(|row| row.key[prefix.len()..].to_owned())
            .collect();
        for (name, engine) in &self.engines {
            if engine.counters().overcommits > 0 {
                return Err(format!(
                    "{name} exceeded its memory: {:?}",
                    engine.counters()
                ));
            }
            if let Some(replica) = engine.replicas().find(|replica| !rows.contains(replica)) {
                return Err(format!("{name} holds {replica}, which has no row"));
            }
        }
        Ok(())
    }
}

// Polls a future to completion; advances the clock whenever it is pending.
fn drive<T>(clock: &Manual, future: impl Future<Output = T>) -> T {
    let mut future = pin!(future);
    let mut context = Context::from_waker(Waker::noop());
    loop {
        if let Poll::Ready(output) = future.as_mut().poll(&mut context) {
            return output;
        }
        clock.advance(Duration::from_millis(10));
    }
}

fn document() -> Document {
    let runners: Vec<_> = (0..RUNNERS)
        .map(|at| fixture::Runner {
            name: format!("runner-{at}"),
            address: format!("127.0.0.1:{}", 9000 + at)
                .parse()
                .expect("the address is valid"),
            memory_bytes: MEMORY,
            slots: 4,
            checks_fencing: at == 0,
        })
        .collect();
    let models: Vec<_> = (0..MODELS)
        .map(|at| {
            let mut model = Model::new(format!("model-{at}"), 800);
            model.max_replicas = 1 + u32::try_from(at % 2).unwrap_or(0);
            model.pool_bytes = 5;
            model
        })
        .collect();
    let text = fixture::document(ENVIRONMENT, &runners, &models, None);
    document::parse(&text).expect("the document is valid")
}

fn demand(count: u8) -> Demand {
    let waiting = Waiting {
        count: u64::from(count) + 1,
        budget: Duration::from_secs(5),
    };
    Demand {
        arrivals: 1,
        running: 0,
        waiting: [(Rank::First, waiting)].into(),
    }
}

fn target(n: u8) -> Target {
    Target {
        model: format!("model-{}", usize::from(n) % MODELS),
        version: "v1".to_owned(),
    }
}

fn runner_name(n: u8) -> String {
    format!("runner-{}", usize::from(n) % RUNNERS)
}
