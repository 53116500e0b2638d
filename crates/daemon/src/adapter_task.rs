//! The task that grants adapter loads while this instance keeps the shard.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use almondbank_control::adapter::{Grant, MAX_LOAD_TIME, Place, Pools};
use almondbank_port::Category;
use almondbank_wire::order::{Action, Order};
use almondbank_wire::{id, row};
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

use crate::node::Node;
use crate::term::{Ask, Term};

const RETRY_INTERVAL: Duration = Duration::from_millis(5);
const ASK_TIMEOUT: Duration = Duration::from_secs(5);
const EVENT_QUEUE: usize = 64;

/// Answers requests for adapters until dropped.
pub(crate) async fn run(
    node: &Arc<Node>,
    term: &Arc<Term>,
    mut asks: mpsc::Receiver<Ask>,
    tasks: &TaskTracker,
) {
    let grants_from = node.clock.now() + MAX_LOAD_TIME;
    let first = term.fencing() == 1;
    let (events, mut ended) = mpsc::channel(EVENT_QUEUE);
    let mut granter = Granter {
        node: Arc::clone(node),
        term: Arc::clone(term),
        pools: Pools::new(if first { Duration::ZERO } else { grants_from }),
        adopted_from: if first { Duration::ZERO } else { grants_from },
        incarnations: BTreeMap::new(),
        waiting: Vec::new(),
        tasks: tasks.clone(),
        events,
    };
    loop {
        let idle = granter.waiting.is_empty();
        tokio::select! {
            Some(ask) = asks.recv() => granter.receive(ask),
            Some(event) = ended.recv() => granter.end(&event),
            () = node.clock.sleep(RETRY_INTERVAL), if !idle => granter.retry(),
        }
    }
}

struct Granter {
    node: Arc<Node>,
    term: Arc<Term>,
    pools: Pools,
    adopted_from: Duration,
    incarnations: BTreeMap<id::Runner, id::Incarnation>,
    waiting: Vec<Pending>,
    tasks: TaskTracker,
    events: mpsc::Sender<Event>,
}

struct Pending {
    ask: Ask,
    deadline: Duration,
}

struct Event {
    place: Place,
    action: Action,
    /// Whether it succeeded; `None` if it may still take effect.
    done: Option<bool>,
}

enum Answer {
    Resident(bool),
    Later,
}

impl Granter {
    fn receive(&mut self, ask: Ask) {
        let deadline = self.node.clock.now() + ASK_TIMEOUT;
        self.waiting.push(Pending { ask, deadline });
        self.retry();
    }

    fn end(&mut self, event: &Event) {
        match (event.action, event.done) {
            (Action::LoadAdapter, done) => self.pools.loaded(&event.place, done),
            (_, Some(true)) => self.pools.unloaded(&event.place),
            _ => {}
        }
        self.retry();
    }

    fn retry(&mut self) {
        let now = self.node.clock.now();
        for pending in std::mem::take(&mut self.waiting) {
            match self.consider(&pending.ask, now) {
                Answer::Resident(resident) => {
                    let _ = pending.ask.reply.send(resident);
                }
                Answer::Later if now >= pending.deadline || pending.ask.reply.is_closed() => {}
                Answer::Later => self.waiting.push(pending),
            }
        }
    }

    fn consider(&mut self, ask: &Ask, now: Duration) -> Answer {
        let Some(row) = self.term.replicas.lock().get(&ask.replica).cloned() else {
            return Answer::Resident(false);
        };
        let edition = self.node.catalog.current();
        let Some(adapter) = edition.document.adapters.get(&ask.adapter) else {
            return Answer::Resident(false);
        };
        if !self.adopt(&row, now) {
            return Answer::Later;
        }
        let place = Place {
            replica: ask.replica.clone(),
            adapter: ask.adapter.clone(),
        };
        match self
            .pools
            .request(&place, adapter.bytes, row.pool_bytes, now)
        {
            Grant::Resident => Answer::Resident(true),
            Grant::TooLarge => Answer::Resident(false),
            Grant::Wait => Answer::Later,
            Grant::Load => {
                self.order(&row, place, Action::LoadAdapter, adapter.bytes);
                Answer::Later
            }
            Grant::Evict(victim) => {
                let place = Place {
                    replica: ask.replica.clone(),
                    adapter: victim,
                };
                self.order(&row, place, Action::UnloadAdapter, 0);
                Answer::Later
            }
        }
    }

    // Learns what is resident from a report that no load of a former leader can
    // postdate. Returns false while there is none.
    fn adopt(&mut self, row: &row::Replica, now: Duration) -> bool {
        if self.term.exposed.lock().contains(&row.runner) {
            return false;
        }
        let observations = self.term.observations.lock();
        let Some(seen) = observations.get(&row.runner) else {
            return false;
        };
        if seen.requested_at < self.adopted_from || !seen.is_ready(&row.replica) {
            return false;
        }
        let incarnation = &seen.report.incarnation;
        if self.incarnations.get(&row.runner) == Some(incarnation) {
            return true;
        }
        let known = self.incarnations.contains_key(&row.runner);
        self.incarnations
            .insert(row.runner.clone(), incarnation.clone());
        let replicas = self.term.replicas.lock();
        if known {
            self.pools.retain(|replica| {
                replicas
                    .get(replica)
                    .is_some_and(|other| other.runner != row.runner)
            });
        }
        let edition = self.node.catalog.current();
        for resident in &seen.report.replicas {
            for name in &resident.adapters {
                let place = Place {
                    replica: resident.replica.clone(),
                    adapter: name.clone(),
                };
                let adapter = edition.document.adapters.get(name);
                let bytes = adapter.map_or(row.pool_bytes, |adapter| adapter.bytes);
                self.pools.adopt(place, bytes, now);
            }
        }
        true
    }

    fn order(&self, row: &row::Replica, place: Place, action: Action, bytes: u64) {
        let edition = self.node.catalog.current();
        let Some(runner) = edition.document.runners.get(&row.runner) else {
            return;
        };
        let address = runner.address;
        let order = Order {
            order: self.term.next_order("adapter"),
            fencing: self.term.fencing(),
            action,
            replica: row.replica.clone(),
            model: row.model.clone(),
            version: row.version.clone(),
            bytes,
            pool_bytes: 0,
            adapter: Some(place.adapter.clone()),
        };
        let node = Arc::clone(&self.node);
        let term = Arc::clone(&self.term);
        let events = self.events.clone();
        self.tasks.spawn(async move {
            node.metrics.order(&action.to_string());
            let done = settle(&node, &term, address, &order).await;
            let event = Event {
                place,
                action,
                done,
            };
            let _ = events.send(event).await;
        });
    }
}

// Repeats the order under its id until the runner has answered for certain.
async fn settle(
    node: &Node,
    term: &Term,
    address: std::net::SocketAddr,
    order: &Order,
) -> Option<bool> {
    let mut doubtful = false;
    while term.is_valid() {
        match term.send(address, order).await {
            Ok(receipt) => return Some(receipt.done),
            Err(error) => match error.category() {
                Category::Unknown => doubtful = true,
                Category::NotSent if doubtful => {}
                _ => return Some(false),
            },
        }
        node.clock.sleep(RETRY_INTERVAL * 10).await;
    }
    None
}
