//! The tasks that read the runners' reports while this instance keeps the shard.

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

const QUICK_INTERVAL: Duration = Duration::from_millis(20);
const SLOW_INTERVAL: Duration = Duration::from_millis(250);
const LEAVING_INTERVAL: Duration = Duration::from_secs(1);
const EXPECTATION: Duration = Duration::from_secs(2);

/// Reads the reports of all runners of the document until dropped.
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
        polls.spawn(follow_leaving(Arc::clone(node), Arc::clone(term)));
        let known = |name: &id::Runner| edition.document.runners.contains_key(name);
        term.observations.lock().retain(|runner, _| known(runner));
        if editions.changed().await.is_err() {
            return;
        }
    }
}

/// Has the runner's report read more often for a while.
pub(crate) fn expect_change(term: &Term, runner: &str) {
    let until = term.now() + EXPECTATION;
    term.hurried.lock().insert(runner.to_owned(), until);
}

async fn poll(node: Arc<Node>, term: Arc<Term>, runner: id::Runner, address: SocketAddr) {
    loop {
        let requested_at = node.clock.now();
        let mut interval = SLOW_INTERVAL;
        if let Ok(mut report) = node.runners.report(address).await {
            report.leaving |= term.leaving.lock().contains(&runner);
            if is_busy(&report) {
                interval = QUICK_INTERVAL;
            }
            if observe(
                &term,
                &runner,
                Observation {
                    report,
                    requested_at,
                },
            ) {
                node.work.notify_one();
            }
        }
        let hurried = term.hurried.lock().get(&runner).copied();
        if hurried.is_some_and(|until| requested_at < until) {
            interval = QUICK_INTERVAL;
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

// Returns whether the report tells anything new about replicas or orders.
fn observe(term: &Term, runner: &str, observation: Observation) -> bool {
    let mut observations = term.observations.lock();
    let old = observations.get(runner).map(|old| summary(&old.report));
    let changed = old != Some(summary(&observation.report));
    observations.insert(runner.to_owned(), observation);
    changed
}

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

// A runner leaves if its VM is listed as leaving, or an operator drains it.
async fn follow_leaving(node: Arc<Node>, term: Arc<Term>) {
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
            *term.listed_leaving.lock() = listed.collect();
        }
        let mut leaving = term.drained.lock().clone();
        leaving.extend(term.listed_leaving.lock().iter().cloned());
        *term.leaving.lock() = leaving;
        node.clock.sleep(LEAVING_INTERVAL).await;
    }
}
