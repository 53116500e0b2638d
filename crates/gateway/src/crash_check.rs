//! Checks whether the runs of runners that put something into quarantine have really ended.
//!
//! A connection also breaks if the network between an instance and a runner fails.

use std::sync::Arc;
use std::time::Duration;

use crate::crash::Run;
use crate::gateway::Gateway;
use crate::registered::LAPSE_TIME;
use crate::{crash_report, watcher};

const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Checks each run until the gateway stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    loop {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.quarantine.wait_for_unchecked() => {}
        }
        gateway.clock.sleep(CHECK_INTERVAL).await;
        let now = gateway.now();
        // The store may have come back from a copy that lists runs which have ended.
        let registry = &gateway.registry;
        let is_steady =
            registry.watched(now) >= LAPSE_TIME && !registry.has_failed_within(LAPSE_TIME, now);
        if !gateway.follows() || !is_steady {
            continue;
        }
        let before = now.saturating_sub(LAPSE_TIME);
        let due = gateway.quarantine.take_unchecked(before);
        if due.is_empty() {
            continue;
        }
        // This instance may not have heard of the end yet, for example after it was frozen.
        if let Err(error) = watcher::catch_up(&gateway).await {
            log::info!(runs = due.len(), error:% = error; "runs that may have ended could not be checked");
            gateway.quarantine.check_again(due);
            continue;
        }
        for run in due {
            if is_alive(&gateway, &run).await {
                crash_report::refute(&gateway, &run);
            }
        }
    }
}

// Whether the runner accepts connections and is still registered as the same run. The next
// run may have its address before the registration lapses.
async fn is_alive(gateway: &Gateway, run: &Run) -> bool {
    let (runner, born_ms) = run;
    let is_same = || {
        let runner = gateway.registry.get(runner)?;
        let is_usable = runner.is_usable(gateway.now());
        (is_usable && runner.registration.born_ms == *born_ms).then_some(runner.address)
    };
    let Some(address) = is_same() else {
        return false;
    };
    let connector = &gateway.ports.connector;
    let connecting = connector.connect(address, CONNECT_TIMEOUT, CONNECT_TIMEOUT);
    connecting.await.is_ok() && is_same().is_some()
}
