//! Reports crashes of runners and responses to prompt parts to the quarantine and to the
//! other instances.

use almondbank_wire::mesh;

use crate::exchange::Exchange;
use crate::fanout::Origin;
use crate::gateway::Gateway;
use crate::quarantine::Change;
use crate::registry::Runner;

/// Reports that the connection to `runner` broke before it responded to the request.
pub(crate) fn report_crash(gateway: &Gateway, exchange: &Exchange, runner: &Runner) {
    let parts = exchange.call.shared_parts();
    if exchange.engine().is_none() || parts.is_empty() {
        return;
    }
    let born_ms = runner.registration.born_ms;
    let now = gateway.now();
    let change = gateway
        .quarantine
        .record_crash(&parts, runner.id(), born_ms, now);
    log_change(&change, &gateway.settings.instance);
    if change.is_new {
        let crash = mesh::Crash {
            runner: runner.id().clone(),
            born_ms,
            age_ms: 0,
            parts: parts.iter().map(|part| (*part).to_owned()).collect(),
        };
        let quarantine = mesh::Quarantine {
            crashes: vec![crash],
            crashing: Vec::new(),
            sound: Vec::new(),
        };
        gateway.broadcast(mesh::Message::Quarantine(quarantine), Origin::Own);
    }
    announce(gateway, change);
}

/// Reports that a runner responded to the request.
pub(crate) fn report_response(gateway: &Gateway, exchange: &Exchange) {
    if exchange.engine().is_none() {
        return;
    }
    let parts = exchange.call.shared_parts();
    let change = gateway.quarantine.record_response(&parts, gateway.now());
    announce(gateway, change);
}

/// Merges what a peer knows; returns whether it is new to this instance.
pub(crate) fn receive(gateway: &Gateway, peer: &str, quarantine: &mesh::Quarantine) -> bool {
    let change = gateway.quarantine.merge(quarantine, gateway.now());
    log_change(&change, peer);
    let is_new = change.is_new;
    // The instance that saw the crash announces what it has quarantined.
    announce(
        gateway,
        Change {
            quarantined: Vec::new(),
            ..change
        },
    );
    is_new
}

// Tells the other instances which parts this one has quarantined or found to be sound.
// They may have missed the crashes, or not seen the responses.
fn announce(gateway: &Gateway, change: Change) {
    if change.quarantined.is_empty() && change.sound.is_empty() {
        return;
    }
    for part in &change.sound {
        log::warn!(part = part.as_str(); "prompt part is sound: a runner responded to it");
    }
    let crashing = change.quarantined.into_iter();
    let quarantine = mesh::Quarantine {
        crashes: Vec::new(),
        crashing: crashing
            .map(|part| mesh::CrashingPart { part, age_ms: 0 })
            .collect(),
        sound: change.sound,
    };
    gateway.broadcast(mesh::Message::Quarantine(quarantine), Origin::Own);
}

fn log_change(change: &Change, source: &str) {
    for part in &change.quarantined {
        log::warn!(part = part.as_str(), source; "prompt part quarantined: it crashes runners");
    }
}
