//! The tasks that register this instance, discover the others and publish its
//! usage.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::{Result, key};
use almondbank_port::commit;
use almondbank_port::table::{Row, Transaction};
use almondbank_wire::row;

use crate::link;
use crate::node::Node;

const ROSTER_INTERVAL: Duration = Duration::from_secs(1);
const SCAN_INTERVAL: Duration = Duration::from_secs(2);
const REGISTER_TIMEOUT: Duration = Duration::from_secs(5);
const USAGE_INTERVAL: Duration = Duration::from_millis(250);
const MIN_USAGE_INTERVAL: Duration = Duration::from_millis(10);

/// Writes this instance's member row and starts a connection task for every other
/// instance, until the node stops.
pub(crate) async fn run(node: Arc<Node>) {
    node.links.claim(node.peers);
    let mut registered = false;
    loop {
        if !registered {
            registered = register(&node).await.is_ok();
        }
        if let Err(error) = discover(&node).await {
            log::debug!("failed to read the member rows: {error}");
        }
        for address in node.peer_addresses() {
            if node.links.claim(address) {
                tokio::spawn(link::run(Arc::clone(&node), address));
            }
        }
        tokio::select! {
            () = node.stopped.cancelled() => return,
            () = node.peer_joined.notified() => {}
            () = node.clock.sleep(SCAN_INTERVAL) => {}
        }
    }
}

async fn register(node: &Node) -> Result<()> {
    let member = row::Member {
        instance: node.settings.instance.clone(),
        incarnation: node.incarnation.clone(),
        peers: node.peers.to_string(),
        callers: node.callers.to_string(),
        data_centre: node.settings.data_centre.clone(),
    };
    let key = key::member(node.environment(), &member.instance);
    let transaction =
        Transaction::new(format!("{}/register", node.incarnation)).put(key, key::encode(&member));
    let deadline = node.clock.now() + REGISTER_TIMEOUT;
    commit::resolve(&*node.table, &*node.clock, &transaction, deadline).await?;
    Ok(())
}

async fn discover(node: &Node) -> Result<()> {
    let now = node.clock.now();
    let rows = node.table.scan(&key::members(node.environment())).await?;
    for found in rows {
        let member: row::Member = key::decode(&found.key, &found.value)?;
        if member.instance == node.settings.instance {
            continue;
        }
        if node.members.is_unlisted(&member.instance, now) {
            remove(node, &found).await?;
        } else {
            node.members.add_from_row(&member);
        }
    }
    Ok(())
}

// Removes the row of an instance whose VM is gone from the roster. A new VM with
// the same name registers again.
async fn remove(node: &Node, row: &Row) -> Result<()> {
    let transaction = Transaction::new(format!("{}/remove", node.incarnation))
        .require(&row.key, row.version)
        .delete(&row.key);
    node.table.commit(&transaction).await?;
    Ok(())
}

/// Polls the roster, and begins the shutdown when it lists this VM as leaving.
pub(crate) async fn poll_roster(node: Arc<Node>) {
    loop {
        if let Ok(vms) = node.roster.vms().await {
            node.members.record_roster(vms, node.clock.now());
            let listed = node.members.is_listed_leaving(&node.settings.instance);
            if listed && !node.is_leaving() {
                log::info!("the roster lists this VM as leaving; shutting down");
                node.leave();
            }
        }
        tokio::select! {
            () = node.stopped.cancelled() => return,
            () = node.clock.sleep(ROSTER_INTERVAL) => {}
        }
    }
}

/// Publishes this instance's usage at an interval, and at once when a request
/// finds no ready replica.
pub(crate) async fn publish_usage(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = node.stopped.cancelled() => return,
            () = node.cold_request.notified() => {}
            () = node.clock.sleep(USAGE_INTERVAL) => {}
        }
        node.admission.refresh();
        let usage = node.admission.usage();
        node.usage.send_replace(Arc::new(usage));
        node.leader_wake.notify_one();
        node.clock.sleep(MIN_USAGE_INTERVAL).await;
    }
}
