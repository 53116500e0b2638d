//! Closes connections that wait too long, and reports who was evicted or refused, when the memory
//! of the process nears its limit, and how late tasks run.

use std::sync::Arc;
use std::time::Duration;

use crate::environment::Limits;
use crate::gateway::Gateway;
use crate::lag;
use crate::memory::connections::Timeouts;
use crate::memory::machine;
use crate::memory::resident::Resident;
use crate::span::millis;

/// Precision of the timeouts of connections.
const INTERVAL: Duration = Duration::from_millis(250);
/// Checks from one report to the next, so that a flood does not fill the log.
const CHECKS_PER_REPORT: u32 = 20;
/// Checks from one look at the resident memory to the next.
const CHECKS_PER_READING: u32 = 4;

/// Runs until the gateway stops.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let memory = &gateway.memory;
    let mut counted = memory.ended();
    let mut reported = counted;
    let mut was_near = false;
    let mut lag = lag::Monitor::new(INTERVAL, gateway.now(), lag::processor_time());
    for check in 1_u32.. {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.clock.sleep(INTERVAL) => {}
        }
        check_lag(&gateway, &mut lag);
        let environment = gateway.environment();
        let limits = environment.map_or_else(Limits::default, |environment| environment.limits);
        let timeouts = Timeouts {
            idle: limits.idle_timeout,
            head: limits.header_timeout,
        };
        memory.connections.expire(timeouts, gateway.now());
        memory.connections.relieve(gateway.now());
        if check % CHECKS_PER_READING == 0 {
            was_near = report_resident(&gateway, was_near);
        }
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

fn check_lag(gateway: &Gateway, monitor: &mut lag::Monitor) {
    let check = monitor.check(gateway.now(), lag::processor_time());
    let share = gateway.settings.cpu_share;
    gateway.metrics.lag(check.lag);
    if let Some(stall) = check.stall {
        gateway.metrics.stall(stall.cause(share).into());
    }
    if let Some(lag::Report { longest, stalls }) = check.report {
        let cause: &'static str = longest.cause(share).into();
        log::warn!(
            lag_ms = millis(longest.lag), processor_ms = millis(longest.processor), cause, stalls;
            "tasks ran late"
        );
    }
}

// Logs that the resident memory has come near its limit, or is no longer near it. Returns whether
// it is near.
fn report_resident(gateway: &Gateway, was_near: bool) -> bool {
    let limit = gateway.settings.memory;
    let Some(resident) = Resident::read() else {
        return false;
    };
    let is_near = resident.is_near(limit);
    if is_near != was_near {
        log::warn!(
            resident_bytes = resident.now, peak_bytes = resident.peak, limit_bytes = limit, is_near,
            connections = gateway.memory.connections.count(),
            machine_tcp_pages = machine::tcp_pages(),
            socket_bytes = gateway.memory.connections.held_in_sockets(),
            request_bytes = gateway.memory.bodies.held(),
            response_bytes = gateway.memory.responses.held();
            "resident memory and its limit"
        );
    }
    is_near
}
