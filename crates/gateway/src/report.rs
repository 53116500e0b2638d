//! Status reports of this instance and summaries of its data centre.

use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh::{self, Message};
use tokio::sync::broadcast;

use crate::fanout::Origin;
use crate::gateway::Gateway;
use crate::report_timing;

/// Shortest time between two status messages.
const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(20);
const STATUS_QUEUE: usize = 32;

/// Channel that carries this instance's status to all links.
pub(crate) type Reports = broadcast::Sender<Arc<mesh::Status>>;

/// Creates the channel for [`Reports`].
pub(crate) fn channel() -> Reports {
    broadcast::Sender::new(STATUS_QUEUE)
}

/// Sends this instance's status at an interval, and early on urgent demand, a
/// new environment or shutdown. Urgent demand that arises before the minimum
/// pause between reports has passed is sent to the leader only.
pub(crate) async fn run(gateway: Arc<Gateway>, reports: Reports) {
    let mut version = gateway.version.subscribe();
    loop {
        let now = gateway.now();
        let instances = gateway.members.group_size();
        let mut status = gateway.status();
        status.kept = gateway.prefixes.take_new();
        record_own(&gateway, &status, now);
        let is_leaving_sent = status.leaving;
        // Fails if there are no links.
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
                () = gateway.term_changed.notified() => break,
                () = gateway.reach_changed.notified() => break,
                () = gateway.leaving.cancelled(), if !is_leaving_sent => break,
                () = gateway.clock.sleep(next.saturating_sub(now)) => break,
            }
            if gateway.now() >= earliest {
                break;
            }
            notify_leader(&gateway);
        }
    }
}

fn record_own(gateway: &Gateway, status: &mesh::Status, now: Duration) {
    let instance = &gateway.settings.instance;
    gateway.demand_rates.add(instance, &status.demands, now);
    if gateway.is_hierarchical() {
        let (demands, kept) = (&status.demands, &status.kept);
        gateway.collector.add(instance, demands, kept);
    }
}

fn notify_leader(gateway: &Gateway) {
    let now = gateway.now();
    let mut status = gateway.status();
    record_own(gateway, &status, now);
    let Some((leader, _)) = gateway.members.leader(now) else {
        return;
    };
    if !gateway.is_local(&leader) {
        // The summary of this data centre contains its loads and claims.
        status.loads.clear();
        status.claims.clear();
    }
    if let Some(link) = gateway.links.get(&leader) {
        link.try_send(Message::Status(status));
    }
}

/// Status without the lists, for peers that receive these in a summary.
pub(crate) fn without_lists(status: &mesh::Status) -> mesh::Status {
    mesh::Status {
        loads: Vec::new(),
        demands: Vec::new(),
        kept: Vec::new(),
        claims: Vec::new(),
        ..status.clone()
    }
}

/// Report about a peer, made from its own status message.
pub(crate) fn from_status(hello: &mesh::Hello, status: &mesh::Status) -> mesh::Report {
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

/// Sends summaries of this data centre to the others while this instance is the
/// delegate.
pub(crate) async fn summarize(gateway: Arc<Gateway>) {
    loop {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.clock.sleep(report_timing::SUMMARY_INTERVAL) => {}
        }
        let (demands, kept) = gateway.collector.take();
        if !gateway.topology.borrow().is_delegate {
            continue;
        }
        let now = gateway.now();
        let mut members = gateway.members.reports(now);
        members.push(from_status(
            &gateway.hello(),
            &gateway.status_without_counts(),
        ));
        let summary = mesh::Summary {
            data_centre: gateway.settings.data_centre.clone(),
            members,
            loads: gateway.in_flight.local(now),
            demands,
            kept,
            claims: gateway.claims.local(now),
        };
        gateway.broadcast(Message::Summary(summary), Origin::Local);
    }
}
