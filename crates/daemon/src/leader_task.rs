//! The task that acquires the shard's lease and runs the leader while it holds it.

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

const MIN_STEP_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for a notification before the next step.
const WAKE_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which routes are sent even if nothing has changed.
const ROUTES_INTERVAL: Duration = Duration::from_secs(5);
const POLLS_PER_TERM: u32 = 6;
const JITTER_PERCENT: u32 = 20;
const REQUEST_QUEUE_CAPACITY: usize = 1024;

/// Polls the lease until the instance begins to shut down, and runs the leader for
/// each term.
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
                Ok(Some(lease)) => run_term(&node, lease).await,
                Ok(None) => {}
                Err(error) => log::debug!("failed to poll the lease: {error}"),
            }
        }
        let interval = node.settings.lease / POLLS_PER_TERM;
        let jitter = interval.mul_f64(rand::random::<f64>()) * JITTER_PERCENT / 100;
        tokio::select! {
            () = node.clock.sleep(interval + jitter) => {}
            () = node.leaving.cancelled() => {}
        }
    }
}

async fn run_term(node: &Arc<Node>, lease: Lease) {
    let fencing = lease.fencing();
    log::info!("acquired the lease with fencing token {fencing}");
    let (requests, request_queue) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
    let term = Arc::new(Term::new(
        fencing,
        Arc::clone(&node.clock),
        Arc::clone(&node.runners),
        requests,
    ));
    term.extend(lease.valid_until());
    *node.term.lock() = Some(Arc::clone(&term));
    let tasks = TaskTracker::new();
    let result = tokio::select! {
        result = run_steps(node, lease, &term, &tasks) => result,
        () = adapter_task::run(node, &term, request_queue, &tasks) => Ok(None),
        () = runner_task::run(node, &term) => Ok(None),
    };
    term.end();
    *node.term.lock() = None;
    // `stepped_down` states that nothing more is sent under the fencing token, so
    // all orders must have completed first.
    tasks.close();
    tasks.wait().await;
    match result {
        Ok(Some(leader)) => match leader.release().await {
            Ok(()) => log::info!("released the lease"),
            Err(error) => log::warn!("failed to release the lease: {error}"),
        },
        Ok(None) => {}
        Err(error) => log::warn!("lost the lease: {error}"),
    }
    node.stepped_down.store(fencing, Ordering::Release);
}

// Returns the leader if the instance begins to shut down, so that its lease can be
// released.
async fn run_steps(
    node: &Arc<Node>,
    lease: Lease,
    term: &Arc<Term>,
    tasks: &TaskTracker,
) -> Result<Option<Leader>> {
    fence_runners(node, term, tasks);
    let store_limits = StoreLimits {
        slots: node.settings.weight_slots,
        per_second: node.settings.weight_per_second,
    };
    let clock = Arc::clone(&node.clock);
    let mut leader =
        Leader::open(node.environment(), lease, &*node.table, clock, store_limits).await?;
    let mut publisher = Publisher::default();
    loop {
        step(node, &mut leader, term, tasks).await?;
        publisher.publish(node, &leader, term);
        node.clock.sleep(MIN_STEP_INTERVAL).await;
        tokio::select! {
            () = node.leader_wake.notified() => {}
            () = node.clock.sleep(WAKE_TIMEOUT) => {}
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
    update_term(node, leader, term);
    for dispatch in dispatches {
        send(node, term, tasks, dispatch);
    }
    Ok(())
}

// Copies the replica rows to the term for the adapter task, and the runners that
// may still execute the last order of a former leader.
fn update_term(node: &Node, leader: &Leader, term: &Term) {
    let rows = leader
        .replicas()
        .iter()
        .map(|(replica, placed)| (replica.clone(), placed.row.clone()))
        .collect();
    *term.replicas.lock() = rows;
    let edition = node.catalog.current();
    let unfenced = edition
        .document
        .runners
        .iter()
        .filter(|(_, runner)| !runner.checks_fencing && leader.lease().has_former_since(0))
        .map(|(name, _)| name.clone())
        .collect();
    *term.unfenced.lock() = unfenced;
}

fn send(node: &Arc<Node>, term: &Arc<Term>, tasks: &TaskTracker, dispatch: Dispatch) {
    let node = Arc::clone(node);
    let term = Arc::clone(term);
    tasks.spawn(async move {
        node.metrics.order(&dispatch.order.action.to_string());
        runner_task::poll_faster(&term, &dispatch.runner);
        let sent = term.send(dispatch.address, &dispatch.order).await;
        if let Err(error) = sent {
            log::debug!("order {} failed: {error}", dispatch.order.order);
        }
    });
}

// Sends the new fencing token to the runners that check it, so that they reject
// orders of former leaders from then on.
fn fence_runners(node: &Arc<Node>, term: &Arc<Term>, tasks: &TaskTracker) {
    let edition = node.catalog.current();
    for (name, runner) in &edition.document.runners {
        if !runner.checks_fencing {
            continue;
        }
        let order = Order {
            order: term.next_order_id("fence"),
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

/// Sends routes and credits to all live instances when they change, and every
/// [`ROUTES_INTERVAL`].
#[derive(Debug, Default)]
struct Publisher {
    sequence: u64,
    last_routes: Vec<peer::Route>,
    last_credits: Credits,
    last_sent: Option<Duration>,
}

impl Publisher {
    fn publish(&mut self, node: &Arc<Node>, leader: &Leader, term: &Term) {
        let now = node.clock.now();
        let edition = node.catalog.current();
        let observations = term.observations.lock().clone();
        let routes = leader.routes(&edition.document, &observations);
        let live = node.members.live(now);
        let credits = credits(node, &live);
        let due = self
            .last_sent
            .is_none_or(|sent| now.saturating_sub(sent) >= ROUTES_INTERVAL);
        let changed =
            !same_routes(&routes, &self.last_routes) || !same_credits(&credits, &self.last_credits);
        if !due && !changed {
            return;
        }
        self.sequence += 1;
        self.last_sent = Some(now);
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
            let sent = link.is_some_and(|link| link.try_send(peer::Message::Routes(message)));
            if !sent {
                self.last_sent = None;
            }
        }
        self.last_routes = routes;
        self.last_credits = credits;
    }
}

// Ignores `ready_in_ms`, which changes all the time while a replica loads.
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
    let own = request_count(&node.usage.borrow());
    demand.insert(node.settings.instance.clone(), own);
    for (instance, member) in live {
        let heartbeat = member.heartbeat.as_ref();
        let weight = heartbeat.map_or(0, |heartbeat| request_count(&heartbeat.usage));
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

fn request_count(usage: &[peer::Usage]) -> u64 {
    usage
        .iter()
        .map(|usage| {
            let waiting: u64 = usage.waiting.iter().map(|waiting| waiting.count).sum();
            usage.running + waiting
        })
        .sum()
}
