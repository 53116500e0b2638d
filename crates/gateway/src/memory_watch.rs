//! Closes connections that wait too long, and reports who was evicted or refused.

use std::sync::Arc;
use std::time::Duration;

use crate::environment::Limits;
use crate::gateway::Gateway;
use crate::memory::connections::Timeouts;

/// Precision of the timeouts of connections.
const INTERVAL: Duration = Duration::from_millis(250);
/// Checks from one report to the next, so that a flood does not fill the log.
const CHECKS_PER_REPORT: u32 = 20;

/// Runs until the gateway stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let memory = &gateway.memory;
    let mut counted = memory.ended();
    let mut reported = counted;
    for check in 1_u32.. {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.clock.sleep(INTERVAL) => {}
        }
        let environment = gateway.environment();
        let limits = environment.map_or_else(Limits::default, |environment| environment.limits);
        let timeouts = Timeouts {
            idle: limits.idle_timeout,
            head: limits.header_timeout,
        };
        memory.connections.expire(timeouts, gateway.now());
        let ended = memory.ended();
        for (kind, count) in ended.since(&counted) {
            if count > 0 {
                gateway.metrics.memory_ended(kind, count);
            }
        }
        counted = ended;
        if check % CHECKS_PER_REPORT == 0 && ended != reported {
            reported = ended;
            log::warn!(
                connections_evicted = ended.connections_evicted,
                connections_refused = ended.connections_refused,
                bodies_evicted = ended.bodies_evicted, bodies_refused = ended.bodies_refused,
                connections = memory.connections.count(), request_bytes = memory.bodies.held(),
                response_bytes = memory.responses.held();
                "memory or connections were short"
            );
        }
    }
}
