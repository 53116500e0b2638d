//! Discovery of the other instances, and updates of the topology.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_control::key;
use almondbank_port::commit;
use almondbank_port::table::Transaction;
use almondbank_wire::mesh;

use crate::gateway::Gateway;
use crate::id::ENVIRONMENT;
use crate::mesh::dial;
use crate::report::Reports;

const REGISTER_TIMEOUT: Duration = Duration::from_secs(5);
const REGISTER_RETRY: Duration = Duration::from_secs(1);
/// Time between two reads of the rows of all instances.
const SCAN_INTERVAL: Duration = Duration::from_secs(15);
/// The same time in a hierarchical topology, where summaries announce new instances.
const HIERARCHICAL_SCAN_INTERVAL: Duration = Duration::from_mins(1);
/// Time between two updates of the topology.
const TOPOLOGY_INTERVAL: Duration = Duration::from_millis(200);

/// Registers this instance, finds the others and opens links to them.
pub(crate) async fn run(gateway: Arc<Gateway>, reports: Reports) {
    gateway.links.mark_dialled(gateway.settings.listen.peers);
    let mut is_registered = false;
    loop {
        if !is_registered {
            is_registered = register(&gateway).await;
        }
        let listed = read_members(&gateway, &reports).await;
        let is_read = listed.is_some();
        let is_lost = listed == Some(false) && !gateway.leaving.is_cancelled();
        if is_lost && std::mem::take(&mut is_registered) {
            log::warn!("store has lost the row of this instance; it is written again");
        }
        if !is_read {
            for seed in gateway.settings.seeds.clone() {
                dial(&gateway, &reports, seed);
            }
        }
        let is_hierarchical = gateway.topology.borrow().is_hierarchical;
        let pause = match (is_registered && is_read, is_hierarchical) {
            (false, _) => REGISTER_RETRY,
            (true, false) => SCAN_INTERVAL,
            (true, true) => HIERARCHICAL_SCAN_INTERVAL,
        };
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.history_lost.notified() => {}
            () = gateway.clock.sleep(pause) => {}
        }
    }
}

async fn register(gateway: &Gateway) -> bool {
    let key = key::member(ENVIRONMENT, &gateway.settings.instance);
    let row = key::encode(&gateway.hello());
    let transaction = Transaction::new(format!("{}/register", gateway.incarnation)).put(key, row);
    let deadline = gateway.now() + REGISTER_TIMEOUT;
    let committed = commit::resolve(
        &*gateway.ports.table,
        &*gateway.clock,
        &transaction,
        deadline,
    )
    .await;
    match committed {
        Ok(_) => true,
        Err(error) => {
            log::warn!(error:% = error; "failed to register this instance");
            false
        }
    }
}

// Reads the rows of all instances; returns whether this incarnation is listed, or `None` if
// the rows could not be read.
async fn read_members(gateway: &Arc<Gateway>, reports: &Reports) -> Option<bool> {
    let rows = match gateway.ports.table.scan(&key::members(ENVIRONMENT)).await {
        Ok(rows) => rows,
        Err(error) => {
            log::warn!(error:% = error; "failed to read the rows of the instances");
            return None;
        }
    };
    let mut is_listed = false;
    let mut addresses = Vec::new();
    for row in rows {
        match key::decode::<mesh::Hello>(&row.key, &row.value) {
            Ok(hello) if hello.instance == gateway.settings.instance => {
                is_listed = hello.incarnation == gateway.incarnation;
            }
            Ok(hello) => {
                gateway.members.insert_listed(&hello, gateway.now());
                addresses.extend(hello.peers.parse::<SocketAddr>().ok());
            }
            Err(error) => log::warn!(error:% = error; "row of an instance is malformed"),
        }
    }
    gateway.quota.record_members_read();
    // The links depend on how many instances there are.
    gateway.update_topology();
    for address in addresses {
        dial(gateway, reports, address);
    }
    Some(is_listed)
}

/// Updates the topology as instances join and leave.
pub(crate) async fn update_topology(gateway: Arc<Gateway>) {
    loop {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.clock.sleep(TOPOLOGY_INTERVAL) => {}
        }
        gateway.update_topology();
    }
}
