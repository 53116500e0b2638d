//! Records what crashes runners, so that it is known after all instances were replaced.

use std::sync::Arc;

use almondbank_control::key;
use almondbank_wire::mesh;

use crate::crash_report;
use crate::gateway::Gateway;
use crate::id::ENVIRONMENT;
use crate::leader_row::{self, Row};

/// What logs name as the source of a quarantine that was read from the store.
const SOURCE: &str = "store";

/// Reads the record at the start, and writes it while this instance is the leader and has
/// something to record.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut row = Row::new(key::quarantine(ENVIRONMENT), "quarantine");
    if let Some(quarantine) = row.read::<mesh::Quarantine>(&gateway).await {
        crash_report::receive(&gateway, SOURCE, &quarantine);
    }
    loop {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.quarantine.changed() => {}
            () = gateway.clock.sleep(leader_row::INTERVAL) => {}
        }
        if gateway.term().is_none() {
            row.forget();
            continue;
        }
        let record = gateway.quarantine.record(gateway.now());
        let content = (record.last_try, record.quarantined);
        if content != Default::default() || row.is_written() {
            row.update(&gateway, content, &record.message).await;
        }
    }
}
