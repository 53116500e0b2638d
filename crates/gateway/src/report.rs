//! What this instance tells the others of itself and of its data centre.

use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh::{self, Message};
use tokio::sync::broadcast;

use crate::fanout::Origin;
use crate::gateway::Gateway;
use crate::report_timing;

const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(20);
const STATUS_QUEUE: usize = 32;

/// Sender of this instance's reports.
pub(crate) type Reports = broadcast::Sender<Arc<mesh::Status>>;

/// Makes the channel of reports.
pub(crate) fn channel() -> Reports {
    broadcast::Sender::new(STATUS_QUEUE)
}

/// Reports this instance's state at an interval, and at once when a request
/// begins to wait for a model or the environment changes. Where there are many
/// instances, only the leader hears of that at once.
pub(crate) async fn run(gateway: Arc<Gateway>, reports: Reports) {
    let mut version = gateway.version.subscribe();
    loop {
        let now = gateway.now();
        let instances = gateway.members.audience();
        let mut status = gateway.status();
        status.kept = gateway.prefixes.take_new();
        count_own(&gateway, &status, now);
        let is_told = status.leaving;
        // Nobody listens while this instance is alone.
        let _ = reports.send(Arc::new(status));
        let next = now + report_timing::max_interval(instances);
        let earliest = now + report_timing::min_interval(instances);
        loop {
            gateway.clock.sleep(MIN_STATUS_INTERVAL).await;
            let now = gateway.now();
            tokio::select! {
                () = gateway.stopped.cancelled() => return,
                () = gateway.demand.urgent_change() => {}
                _ = version.changed() => break,
                () = gateway.leaving.cancelled(), if !is_told => break,
                () = gateway.clock.sleep(next.saturating_sub(now)) => break,
            }
            if gateway.now() >= earliest {
                break;
            }
            notify_leader(&gateway);
        }
    }
}

fn count_own(gateway: &Gateway, status: &mesh::Status, now: Duration) {
    let instance = &gateway.settings.instance;
    gateway.demand_rates.add(instance, &status.demands, now);
    if gateway.is_hierarchical() {
        gateway.collector.add(instance, status);
    }
}

fn notify_leader(gateway: &Gateway) {
    let now = gateway.now();
    let mut status = gateway.status();
    count_own(gateway, &status, now);
    let Some((leader, _)) = gateway.members.leader(now) else {
        return;
    };
    if !gateway.is_local(&leader) {
        // The summary of this data centre tells of its work.
        status.loads.clear();
    }
    if let Some(link) = gateway.links.get(&leader) {
        link.offer(Message::Status(status));
    }
}

/// What an instance hears that is told the rest by a summary.
pub(crate) fn bare(status: &mesh::Status) -> mesh::Status {
    mesh::Status {
        loads: Vec::new(),
        demands: Vec::new(),
        kept: Vec::new(),
        ..status.clone()
    }
}

/// The report of a peer as others are told it.
pub(crate) fn of(hello: &mesh::Hello, status: &mesh::Status) -> mesh::Report {
    mesh::Report {
        hello: hello.clone(),
        age_ms: 0,
        ready: status.ready,
        leaving: status.leaving,
        environment: status.environment,
        registry: status.registry,
        keeper: status.keeper,
        lease_version: status.lease_version,
        follows: status.follows,
    }
}

/// Tells the other data centres of this one, while this instance speaks for it.
pub(crate) async fn summarize(gateway: Arc<Gateway>) {
    loop {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.clock.sleep(report_timing::SUMMARY_INTERVAL) => {}
        }
        let (demands, kept) = gateway.collector.take();
        if !gateway.topology.borrow().is_relay {
            continue;
        }
        let now = gateway.now();
        let mut members = gateway.members.reports(now);
        members.push(of(&gateway.hello(), &gateway.status_without_counts()));
        let summary = mesh::Summary {
            data_centre: gateway.settings.data_centre.clone(),
            members,
            loads: gateway.in_flight.local(now),
            demands,
            kept,
        };
        gateway.broadcast(Message::Summary(summary), Origin::Local);
    }
}
