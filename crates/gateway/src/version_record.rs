//! Records the software versions that serve, so that instances that start later know what
//! served before.

use std::sync::Arc;

use almondbank_control::key;

use crate::entries::TOMBSTONE_TTL;
use crate::gateway::Gateway;
use crate::id::ENVIRONMENT;
use crate::leader_row::{self, Row};
use crate::software;

/// Reads the versions in the store at the start, and writes them while this instance is the
/// leader.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut row = Row::new(key::software(ENVIRONMENT), "versions of runners");
    if let Some(versions) = row.read(&gateway).await {
        gateway.software.set_recorded(versions);
    }
    loop {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.clock.sleep(leader_row::INTERVAL) => {}
        }
        if gateway.term().is_none() {
            row.forget();
            continue;
        }
        let mut versions = gateway.registry.all_software();
        if gateway.registry.watched(gateway.now()) < TOMBSTONE_TTL {
            versions = gateway.software.merge_recorded(versions);
        }
        if let Some(environment) = gateway.environment() {
            software::shorten(&mut versions, &environment.services);
            row.update(&gateway, versions.clone(), &versions).await;
        }
    }
}
