//! The tasks that poll the runners while this instance is the leader.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_control::key;
use almondbank_control::observation::Observation;
use almondbank_port::roster::State;
use almondbank_wire::id;
use almondbank_wire::order::{Phase, Report};
use tokio::task::JoinSet;

use crate::node::Node;
use crate::term::Term;

const FAST_INTERVAL: Duration = Duration::from_millis(20);
const SLOW_INTERVAL: Duration = Duration::from_millis(250);
const LEAVING_POLL_INTERVAL: Duration = Duration::from_secs(1);
const FAST_POLL_TIME: Duration = Duration::from_secs(2);

/// Polls the reports of all runners in the document until dropped.
pub(crate) async fn run(node: &Arc<Node>, term: &Arc<Term>) {
    let mut editions = node.catalog.subscribe();
    loop {
        let edition = Arc::clone(&editions.borrow_and_update());
        let mut polls = JoinSet::new();
        for (name, runner) in &edition.document.runners {
            let node = Arc::clone(node);
            let term = Arc::clone(term);
            polls.spawn(poll(node, term, name.clone(), runner.address));
        }
        polls.spawn(poll_leaving(Arc::clone(node), Arc::clone(term)));
        let known = |name: &id::Runner| edition.document.runners.contains_key(name);
        term.observations.lock().retain(|runner, _| known(runner));
        if editions.changed().await.is_err() {
            return;
        }
    }
}

/// Polls `runner` at the fast interval for a while.
pub(crate) fn poll_faster(term: &Term, runner: &str) {
    let until = term.now() + FAST_POLL_TIME;
    term.fast_poll_until.lock().insert(runner.to_owned(), until);
}

async fn poll(node: Arc<Node>, term: Arc<Term>, runner: id::Runner, address: SocketAddr) {
    loop {
        let requested_at = node.clock.now();
        let mut interval = SLOW_INTERVAL;
        if let Ok(mut report) = node.runners.report(address).await {
            report.leaving |= term.leaving.lock().contains(&runner);
            if is_busy(&report) {
                interval = FAST_INTERVAL;
            }
            if record(
                &term,
                &runner,
                Observation {
                    report,
                    requested_at,
                },
            ) {
                node.leader_wake.notify_one();
            }
        }
        let fast_until = term.fast_poll_until.lock().get(&runner).copied();
        if fast_until.is_some_and(|until| requested_at < until) {
            interval = FAST_INTERVAL;
        }
        node.clock.sleep(interval).await;
    }
}

fn is_busy(report: &Report) -> bool {
    report
        .replicas
        .iter()
        .any(|resident| resident.phase == Phase::Loading)
}

// Stores the report. Returns whether its summary differs from the previous one.
fn record(term: &Term, runner: &str, observation: Observation) -> bool {
    let mut observations = term.observations.lock();
    let old = observations.get(runner).map(|old| summary(&old.report));
    let changed = old != Some(summary(&observation.report));
    observations.insert(runner.to_owned(), observation);
    changed
}

/// The parts of a report whose change wakes the leader.
#[derive(Eq, PartialEq)]
struct Summary {
    incarnation: id::Incarnation,
    leaving: bool,
    orders: Vec<id::Order>,
    replicas: BTreeMap<id::Replica, (Phase, Vec<id::Adapter>)>,
}

fn summary(report: &Report) -> Summary {
    Summary {
        incarnation: report.incarnation.clone(),
        leaving: report.leaving,
        orders: report.orders.clone(),
        replicas: report
            .replicas
            .iter()
            .map(|r| (r.replica.clone(), (r.phase, r.adapters.clone())))
            .collect(),
    }
}

// Polls which runners are leaving: an operator has drained them, or the roster
// lists their VM as leaving.
async fn poll_leaving(node: Arc<Node>, term: Arc<Term>) {
    let prefix = key::drains(node.environment());
    loop {
        if let Ok(rows) = node.table.scan(&prefix).await {
            let drained = rows
                .iter()
                .filter_map(|row| row.key.strip_prefix(&prefix))
                .map(str::to_owned)
                .collect();
            *term.drained.lock() = drained;
        }
        if let Ok(vms) = node.roster.vms().await {
            let listed = vms
                .into_iter()
                .filter(|(_, state)| *state == State::Leaving)
                .map(|(name, _)| name);
            *term.roster_leaving.lock() = listed.collect();
        }
        let mut leaving = term.drained.lock().clone();
        leaving.extend(term.roster_leaving.lock().iter().cloned());
        *term.leaving.lock() = leaving;
        node.clock.sleep(LEAVING_POLL_INTERVAL).await;
    }
}
