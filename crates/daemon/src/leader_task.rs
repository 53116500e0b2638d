//! The task that contends for the shard's lease and keeps the shard under it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use almondbank_control::demand::{self, Demand, Target};
use almondbank_control::leader::{Dispatch, Input, Leader, StoreLimits};
use almondbank_control::lease::{Candidate, Identity, Lease};
use almondbank_control::membership::Member;
use almondbank_control::{Category, Result, credit};
use almondbank_wire::order::{Action, Order};
use almondbank_wire::{id, peer, row};
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;

use crate::node::Node;
use crate::term::Term;
use crate::{adapter_task, runner_task};

const MIN_STEP: Duration = Duration::from_millis(10);
const MAX_STEP: Duration = Duration::from_millis(200);
/// Interval at which routes are sent although nothing has changed.
const ROUTES_INTERVAL: Duration = Duration::from_secs(5);
const POLL_DIVISOR: u32 = 6;
const JITTER_PERCENT: u32 = 20;
const ASK_QUEUE: usize = 1024;

/// Contends for the lease and keeps the shard while holding it.
pub(crate) async fn run(node: Arc<Node>) {
    let identity = Identity {
        environment: node.environment().to_owned(),
        incarnation: node.incarnation.clone(),
        address: node.peers.to_string(),
        term: node.settings.lease,
    };
    let table = Arc::clone(&node.table);
    let mut candidate = Candidate::new(identity, table, Arc::clone(&node.clock));
    while !node.is_leaving() {
        if *node.ready.borrow() {
            match candidate.poll().await {
                Ok(Some(lease)) => keep(&node, lease).await,
                Ok(None) => {}
                Err(error) => log::debug!("lease not read: {error}"),
            }
        }
        let interval = node.settings.lease / POLL_DIVISOR;
        let jitter = interval.mul_f64(rand::random::<f64>()) * JITTER_PERCENT / 100;
        tokio::select! {
            () = node.clock.sleep(interval + jitter) => {}
            () = node.leaving.cancelled() => {}
        }
    }
}

async fn keep(node: &Arc<Node>, lease: Lease) {
    let fencing = lease.fencing();
    log::info!("took the lease with fencing number {fencing}");
    let (asks, ask_queue) = mpsc::channel(ASK_QUEUE);
    let term = Arc::new(Term::new(
        fencing,
        Arc::clone(&node.clock),
        Arc::clone(&node.runners),
        asks,
    ));
    term.extend(lease.valid_until());
    *node.term.lock() = Some(Arc::clone(&term));
    let tasks = TaskTracker::new();
    let ended = tokio::select! {
        ended = steps(node, lease, &term, &tasks) => ended,
        () = adapter_task::run(node, &term, ask_queue, &tasks) => Ok(None),
        () = runner_task::run(node, &term) => Ok(None),
    };
    term.end();
    *node.term.lock() = None;
    // Every order that was sent has ended before the number counts as unused.
    tasks.close();
    tasks.wait().await;
    match ended {
        Ok(Some(leader)) => match leader.release().await {
            Ok(()) => log::info!("released the lease"),
            Err(error) => log::warn!("lease not released: {error}"),
        },
        Ok(None) => {}
        Err(error) => log::warn!("lost the lease: {error}"),
    }
    node.stepped_down.store(fencing, Ordering::Release);
}

// Returns the leader if the instance is to leave, so that it can hand over.
async fn steps(
    node: &Arc<Node>,
    lease: Lease,
    term: &Arc<Term>,
    tasks: &TaskTracker,
) -> Result<Option<Leader>> {
    raise_fences(node, term, tasks);
    let store_limits = StoreLimits {
        slots: node.settings.weight_slots,
        per_second: node.settings.weight_per_second,
    };
    let clock = Arc::clone(&node.clock);
    let mut leader =
        Leader::open(node.environment(), lease, &*node.table, clock, store_limits).await?;
    let mut announcer = Announcer::default();
    loop {
        step(node, &mut leader, term, tasks).await?;
        announcer.announce(node, &leader, term);
        node.clock.sleep(MIN_STEP).await;
        tokio::select! {
            () = node.work.notified() => {}
            () = node.clock.sleep(MAX_STEP) => {}
            () = node.leaving.cancelled() => return Ok(Some(leader)),
        }
    }
}

async fn step(
    node: &Arc<Node>,
    leader: &mut Leader,
    term: &Arc<Term>,
    tasks: &TaskTracker,
) -> Result<()> {
    let now = node.clock.now();
    let edition = node.catalog.current();
    let observations = term.observations.lock().clone();
    let demands = demands(node, now);
    let is_gone = |former: &row::Former| {
        former.incarnation == node.incarnation
            || node
                .members
                .is_gone(&former.incarnation, former.fencing, now)
    };
    let input = Input {
        document: &edition.document,
        observations: &observations,
        demands: &demands,
        is_gone: &is_gone,
    };
    let stepped = leader.step(&input).await;
    let dispatches = match stepped {
        Ok(dispatches) => dispatches,
        Err(error) if error.category() == Category::NotLeader => {
            term.end();
            return Err(error);
        }
        Err(error) => return Err(error),
    };
    term.extend(leader.lease().valid_until());
    publish(node, leader, term);
    for dispatch in dispatches {
        send(node, term, tasks, dispatch);
    }
    Ok(())
}

// Lets the adapter task see the rows and which runners are exposed to a former
// leader's last order.
fn publish(node: &Node, leader: &Leader, term: &Term) {
    let rows = leader
        .replicas()
        .iter()
        .map(|(replica, placed)| (replica.clone(), placed.row.clone()))
        .collect();
    *term.replicas.lock() = rows;
    let edition = node.catalog.current();
    let exposed = edition
        .document
        .runners
        .iter()
        .filter(|(_, runner)| !runner.checks_fencing && leader.lease().has_former_since(0))
        .map(|(name, _)| name.clone())
        .collect();
    *term.exposed.lock() = exposed;
}

fn send(node: &Arc<Node>, term: &Arc<Term>, tasks: &TaskTracker, dispatch: Dispatch) {
    let node = Arc::clone(node);
    let term = Arc::clone(term);
    tasks.spawn(async move {
        node.metrics.order(&dispatch.order.action.to_string());
        runner_task::expect_change(&term, &dispatch.runner);
        let sent = term.send(dispatch.address, &dispatch.order).await;
        if let Err(error) = sent {
            log::debug!("order {} failed: {error}", dispatch.order.order);
        }
    });
}

// Makes the runners that check fencing numbers refuse former leaders at once.
fn raise_fences(node: &Arc<Node>, term: &Arc<Term>, tasks: &TaskTracker) {
    let edition = node.catalog.current();
    for (name, runner) in &edition.document.runners {
        if !runner.checks_fencing {
            continue;
        }
        let order = Order {
            order: term.next_order("fence"),
            fencing: term.fencing(),
            action: Action::Fence,
            replica: String::new(),
            model: String::new(),
            version: String::new(),
            bytes: 0,
            pool_bytes: 0,
            adapter: None,
        };
        let dispatch = Dispatch {
            runner: name.clone(),
            address: runner.address,
            order,
        };
        send(node, term, tasks, dispatch);
    }
}

fn demands(node: &Node, now: Duration) -> BTreeMap<Target, Demand> {
    let own = Arc::clone(&node.usage.borrow());
    let live = node.members.live(now);
    let others = live
        .values()
        .filter_map(|member| member.heartbeat.as_ref())
        .flat_map(|heartbeat| heartbeat.usage.iter());
    demand::sum(own.iter().chain(others))
}

type Credits = BTreeMap<id::Instance, Vec<peer::Credit>>;

/// Sends routes and credits to all instances when they change, and at an interval.
#[derive(Debug, Default)]
struct Announcer {
    sequence: u64,
    last: Vec<peer::Route>,
    credits: Credits,
    sent: Option<Duration>,
}

impl Announcer {
    fn announce(&mut self, node: &Arc<Node>, leader: &Leader, term: &Term) {
        let now = node.clock.now();
        let edition = node.catalog.current();
        let observations = term.observations.lock().clone();
        let routes = leader.routes(&edition.document, &observations);
        let live = node.members.live(now);
        let credits = credits(node, &live);
        let due = self
            .sent
            .is_none_or(|sent| now.saturating_sub(sent) >= ROUTES_INTERVAL);
        let changed = !same_routes(&routes, &self.last) || !same_credits(&credits, &self.credits);
        if !due && !changed {
            return;
        }
        self.sequence += 1;
        self.sent = Some(now);
        for (instance, credits) in &credits {
            let message = peer::Routes {
                fencing: leader.lease().fencing(),
                sequence: self.sequence,
                replicas: routes.clone(),
                credits: credits.clone(),
            };
            if *instance == node.settings.instance {
                node.admission.update(message);
                continue;
            }
            let link = node.links.get(instance);
            let sent = link.is_some_and(|link| link.offer(peer::Message::Routes(message)));
            if !sent {
                self.sent = None;
            }
        }
        self.last = routes;
        self.credits = credits;
    }
}

// The estimate of a load's end shrinks all the time and is no change.
fn same_routes(a: &[peer::Route], b: &[peer::Route]) -> bool {
    a.len() == b.len()
        && a.iter()
            .zip(b)
            .all(|(a, b)| a.replica == b.replica && a.ready == b.ready && a.adapters == b.adapters)
}

fn same_credits(a: &Credits, b: &Credits) -> bool {
    let same = |a: &[peer::Credit], b: &[peer::Credit]| {
        let pairs = a.iter().zip(b);
        a.len() == b.len()
            && pairs
                .into_iter()
                .all(|(a, b)| a.runner == b.runner && a.slots == b.slots)
    };
    a.len() == b.len() && a.iter().zip(b).all(|((a, x), (b, y))| a == b && same(x, y))
}

fn credits(node: &Node, live: &BTreeMap<id::Instance, Member>) -> Credits {
    let mut demand = BTreeMap::new();
    let own = load(&node.usage.borrow());
    demand.insert(node.settings.instance.clone(), own);
    for (instance, member) in live {
        let heartbeat = member.heartbeat.as_ref();
        let weight = heartbeat.map_or(0, |heartbeat| load(&heartbeat.usage));
        demand.insert(instance.clone(), weight);
    }
    let mut credits: BTreeMap<_, Vec<_>> = demand
        .keys()
        .map(|instance| (instance.clone(), Vec::new()))
        .collect();
    for (name, runner) in &node.catalog.current().document.runners {
        for (instance, slots) in credit::split(runner.slots, &demand) {
            let credit = peer::Credit {
                runner: name.clone(),
                slots,
            };
            credits.entry(instance).or_default().push(credit);
        }
    }
    credits
}

fn load(usage: &[peer::Usage]) -> u64 {
    usage
        .iter()
        .map(|usage| {
            let waiting: u64 = usage.waiting.iter().map(|waiting| waiting.count).sum();
            usage.running + waiting
        })
        .sum()
}
