//! Finds the other instances, and decides with which of them to keep links.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::key;
use almondbank_port::commit;
use almondbank_port::table::Transaction;
use almondbank_wire::mesh;

use crate::gateway::Gateway;
use crate::mesh::{ENVIRONMENT, dial};
use crate::report::Reports;

const REGISTER_TIMEOUT: Duration = Duration::from_secs(5);
const REGISTER_RETRY: Duration = Duration::from_secs(1);
/// Time between two reads of the rows of all instances.
const SCAN_INTERVAL: Duration = Duration::from_secs(15);
/// The same at instances that hear of the others from a speaker.
const HIERARCHICAL_SCAN_INTERVAL: Duration = Duration::from_mins(1);
/// Time between two decisions on the links to keep.
const SHAPE_INTERVAL: Duration = Duration::from_millis(200);

/// Registers this instance and dials the others.
pub(crate) async fn run(gateway: Arc<Gateway>, reports: Reports) {
    gateway.links.claim(gateway.settings.listen.peers);
    for seed in gateway.settings.seeds.clone() {
        dial(&gateway, &reports, seed);
    }
    let mut is_registered = false;
    loop {
        if !is_registered {
            is_registered = register(&gateway).await;
        }
        let is_read = read_members(&gateway, &reports).await;
        gateway.shape_links();
        let is_hierarchical = gateway.topology.borrow().is_hierarchical;
        let pause = match (is_registered && is_read, is_hierarchical) {
            (false, _) => REGISTER_RETRY,
            (true, false) => SCAN_INTERVAL,
            (true, true) => HIERARCHICAL_SCAN_INTERVAL,
        };
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.clock.sleep(pause) => {}
        }
    }
}

async fn register(gateway: &Gateway) -> bool {
    let key = key::member(ENVIRONMENT, &gateway.settings.instance);
    let row = key::encode(&gateway.hello());
    let transaction = Transaction::new(format!("{}/register", gateway.incarnation)).put(key, row);
    let deadline = gateway.now() + REGISTER_TIMEOUT;
    let settled = commit::resolve(
        &*gateway.ports.table,
        &*gateway.clock,
        &transaction,
        deadline,
    )
    .await;
    match settled {
        Ok(_) => true,
        Err(error) => {
            log::warn!(error:% = error; "instance is not registered");
            false
        }
    }
}

async fn read_members(gateway: &Arc<Gateway>, reports: &Reports) -> bool {
    let rows = match gateway.ports.table.scan(&key::members(ENVIRONMENT)).await {
        Ok(rows) => rows,
        Err(error) => {
            log::warn!(error:% = error; "members are not read");
            return false;
        }
    };
    for row in rows {
        match key::decode::<mesh::Hello>(&row.key, &row.value) {
            Ok(hello) if hello.instance == gateway.settings.instance => {}
            Ok(hello) => {
                gateway.members.insert(&hello);
                if let Ok(address) = hello.peers.parse() {
                    dial(gateway, reports, address);
                }
            }
            Err(error) => log::warn!(error:% = error; "row of a member is malformed"),
        }
    }
    true
}

/// Decides on the links to keep as instances come and go.
pub(crate) async fn shape(gateway: Arc<Gateway>) {
    loop {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.clock.sleep(SHAPE_INTERVAL) => {}
        }
        gateway.shape_links();
    }
}
