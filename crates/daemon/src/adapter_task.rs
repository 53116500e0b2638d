//! The task that loads and evicts adapters while this instance is the leader.

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
use crate::term::{Request, Term};

const RETRY_INTERVAL: Duration = Duration::from_millis(5);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const COMPLETION_QUEUE_CAPACITY: usize = 64;

/// Handles adapter requests until dropped.
pub(crate) async fn run(
    node: &Arc<Node>,
    term: &Arc<Term>,
    mut requests: mpsc::Receiver<Request>,
    tasks: &TaskTracker,
) {
    // Loads of a former leader may still be in progress, except in the first term.
    let grants_from = node.clock.now() + MAX_LOAD_TIME;
    let first = term.fencing() == 1;
    let (completions, mut completion_queue) = mpsc::channel(COMPLETION_QUEUE_CAPACITY);
    let mut scheduler = Scheduler {
        node: Arc::clone(node),
        term: Arc::clone(term),
        pools: Pools::new(if first { Duration::ZERO } else { grants_from }),
        adopt_after: if first { Duration::ZERO } else { grants_from },
        incarnations: BTreeMap::new(),
        pending: Vec::new(),
        tasks: tasks.clone(),
        completions,
    };
    loop {
        let idle = scheduler.pending.is_empty();
        tokio::select! {
            Some(request) = requests.recv() => scheduler.receive(request),
            Some(completion) = completion_queue.recv() => scheduler.complete(&completion),
            () = node.clock.sleep(RETRY_INTERVAL), if !idle => scheduler.retry(),
        }
    }
}

struct Scheduler {
    node: Arc<Node>,
    term: Arc<Term>,
    pools: Pools,
    /// Reports requested earlier are not used: they may lack loads of a former leader.
    adopt_after: Duration,
    incarnations: BTreeMap<id::Runner, id::Incarnation>,
    pending: Vec<Pending>,
    tasks: TaskTracker,
    completions: mpsc::Sender<Completion>,
}

struct Pending {
    request: Request,
    deadline: Duration,
}

/// Outcome of an order to load or unload an adapter.
struct Completion {
    place: Place,
    action: Action,
    /// Whether the order succeeded; `None` if it may still take effect.
    done: Option<bool>,
}

enum Decision {
    /// Reply whether the adapter is resident.
    Reply(bool),
    /// Evaluate the request again later.
    Wait,
}

impl Scheduler {
    fn receive(&mut self, request: Request) {
        let deadline = self.node.clock.now() + REQUEST_TIMEOUT;
        self.pending.push(Pending { request, deadline });
        self.retry();
    }

    fn complete(&mut self, completion: &Completion) {
        match (completion.action, completion.done) {
            (Action::LoadAdapter, done) => self.pools.loaded(&completion.place, done),
            (_, Some(true)) => self.pools.unloaded(&completion.place),
            _ => {}
        }
        self.retry();
    }

    fn retry(&mut self) {
        let now = self.node.clock.now();
        for pending in std::mem::take(&mut self.pending) {
            match self.evaluate(&pending.request, now) {
                Decision::Reply(resident) => {
                    let _ = pending.request.reply.send(resident);
                }
                Decision::Wait if now >= pending.deadline || pending.request.reply.is_closed() => {}
                Decision::Wait => self.pending.push(pending),
            }
        }
    }

    fn evaluate(&mut self, request: &Request, now: Duration) -> Decision {
        let Some(row) = self.term.replicas.lock().get(&request.replica).cloned() else {
            return Decision::Reply(false);
        };
        let edition = self.node.catalog.current();
        let Some(adapter) = edition.document.adapters.get(&request.adapter) else {
            return Decision::Reply(false);
        };
        if !self.adopt(&row, now) {
            return Decision::Wait;
        }
        let place = Place {
            replica: request.replica.clone(),
            adapter: request.adapter.clone(),
        };
        match self
            .pools
            .request(&place, adapter.bytes, row.pool_bytes, now)
        {
            Grant::Resident => Decision::Reply(true),
            Grant::TooLarge => Decision::Reply(false),
            Grant::Wait => Decision::Wait,
            Grant::Load => {
                self.order(&row, place, Action::LoadAdapter, adapter.bytes);
                Decision::Wait
            }
            Grant::Evict(victim) => {
                let place = Place {
                    replica: request.replica.clone(),
                    adapter: victim,
                };
                self.order(&row, place, Action::UnloadAdapter, 0);
                Decision::Wait
            }
        }
    }

    // Takes over the resident adapters from the runner's report, once it is recent
    // enough to include every load of a former leader. Returns false until then. A
    // restarted runner has lost its adapters, so its pools are emptied first.
    fn adopt(&mut self, row: &row::Replica, now: Duration) -> bool {
        if self.term.unfenced.lock().contains(&row.runner) {
            return false;
        }
        let observations = self.term.observations.lock();
        let Some(observation) = observations.get(&row.runner) else {
            return false;
        };
        if observation.requested_at < self.adopt_after || !observation.is_ready(&row.replica) {
            return false;
        }
        let incarnation = &observation.report.incarnation;
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
        for resident in &observation.report.replicas {
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
            order: self.term.next_order_id("adapter"),
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
        let completions = self.completions.clone();
        self.tasks.spawn(async move {
            node.metrics.order(&action.to_string());
            let done = send_until_resolved(&node, &term, address, &order).await;
            let completion = Completion {
                place,
                action,
                done,
            };
            let _ = completions.send(completion).await;
        });
    }
}

// Repeats the order under the same id until its outcome is certain or the term
// has ended.
async fn send_until_resolved(
    node: &Node,
    term: &Term,
    address: std::net::SocketAddr,
    order: &Order,
) -> Option<bool> {
    let mut may_have_run = false;
    while term.is_valid() {
        match term.send(address, order).await {
            Ok(receipt) => return Some(receipt.done),
            Err(error) => match error.category() {
                Category::Unknown => may_have_run = true,
                Category::NotSent if may_have_run => {}
                _ => return Some(false),
            },
        }
        node.clock.sleep(RETRY_INTERVAL * 10).await;
    }
    None
}
