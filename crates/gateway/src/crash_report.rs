//! Reports crashes of runners and their responses to the quarantine and to the other
//! instances.

use std::time::Duration;

use almondbank_wire::mesh;

use crate::crash::{Report, Run, Suspicion};
use crate::exchange::Exchange;
use crate::fanout::Origin;
use crate::gateway::Gateway;
use crate::quarantine::Change;
use crate::refusal::{Reason, Refusal};
use crate::registry::Runner;
use crate::suspect::Suspect;
use crate::trial;

/// Time for which a runner begins to respond to a request.
const BEGINNING: Duration = Duration::from_secs(3);

/// Returns the refusal of a request that crashes runners, or that has a prompt part which
/// does.
pub(crate) fn refusal(gateway: &Gateway, exchange: &Exchange, now: Duration) -> Option<Refusal> {
    if gateway.quarantine.is_empty() {
        return None;
    }
    let mut suspects = vec![exchange.as_suspect()];
    suspects.extend(exchange.suspected_parts());
    let quarantine = &gateway.quarantine;
    let attempt = exchange.call.attempt.as_str();
    let held = quarantine.held(&suspects, attempt, now);
    let (suspect, remaining) = held.first()?;
    if held.len() == 1 && quarantine.is_trial_due(suspect, now) && is_owner(gateway, suspect) {
        log::info!(request = attempt, suspect:? = suspect; "sent to try a part in quarantine");
        quarantine.start_trial(suspect, attempt, now);
        return None;
    }
    let reason = match suspect {
        Suspect::Request(_) => Reason::CrashingRequest,
        Suspect::Part(_) => Reason::CrashingPart,
    };
    Some(Refusal::new(reason).with_retry_after(*remaining))
}

// Whether this instance is the one that decides for all about a suspect.
fn is_owner(gateway: &Gateway, suspect: &Suspect) -> bool {
    let own = &gateway.settings.instance;
    trial::owner(suspect, gateway.serving_instances()).is_none_or(|owner| owner == *own)
}

/// Whether the request may wait for a runner. Copies of a request that is about to be
/// quarantined would all be sent as soon as there is one.
pub(crate) fn may_wait(gateway: &Gateway, exchange: &Exchange, now: Duration) -> bool {
    let quarantine = &gateway.quarantine;
    !quarantine.suspects_requests() || !quarantine.is_on_last_try(&exchange.as_suspect(), now)
}

/// Returns the request as a suspect, if it may have crashed a runner.
pub(crate) fn suspect(gateway: &Gateway, exchange: &Exchange) -> Option<Suspect> {
    let quarantine = &gateway.quarantine;
    if !quarantine.suspects_requests() {
        return None;
    }
    let suspect = exchange.as_suspect();
    quarantine.is_suspected(&suspect).then_some(suspect)
}

/// Reports that the connection to `runner` broke before it had responded completely to the
/// request, which was sent at `sent_at`. `begun_at` is when it began to respond, if it had.
pub(crate) fn report_crash(
    gateway: &Gateway,
    exchange: &Exchange,
    runner: &Runner,
    sent_at: Duration,
    begun_at: Option<Duration>,
) {
    let now = gateway.now();
    let mut suspects = vec![exchange.as_suspect()];
    if begun_at.is_none_or(|begun_at| now.saturating_sub(begun_at) < BEGINNING) {
        suspects.extend(exchange.suspected_parts());
    }
    log::info!(
        request = exchange.call.attempt.as_str(), runner = runner.id().as_str(),
        born_ms = runner.registration.born_ms, suspects = suspects.len(),
        last:? = suspects.last();
        "runner may have crashed"
    );
    let suspicion = |suspect| Suspicion { suspect, sent_at };
    let report = Report {
        run: run(runner),
        at: now,
        suspicions: suspects.into_iter().map(suspicion).collect(),
    };
    let change = gateway.quarantine.record_crash(&report, now);
    log_change(&change, &gateway.settings.instance);
    if change.is_new {
        let quarantine = mesh::Quarantine {
            crashes: vec![report.only(&change.counted).encode(now)],
            ..mesh::Quarantine::default()
        };
        gateway.broadcast(mesh::Message::Quarantine(quarantine), Origin::Own);
    }
    announce(gateway, &change);
}

/// Reports that `runner` responded to the request, which was sent at `sent_at`.
pub(crate) fn report_response(
    gateway: &Gateway,
    exchange: &Exchange,
    runner: &Runner,
    sent_at: Duration,
) {
    let mut suspects: Vec<_> = exchange.suspected_parts().collect();
    if gateway.quarantine.suspects_requests() {
        suspects.push(exchange.as_suspect());
    }
    let now = gateway.now();
    let change = gateway
        .quarantine
        .record_response(&run(runner), &suspects, sent_at, now);
    announce(gateway, &change);
}

/// Reports that `run` has not ended, so that connections to it broke for another cause.
pub(crate) fn refute(gateway: &Gateway, run: &Run) {
    let (runner, born_ms) = run;
    log::info!(runner = runner.as_str(), born_ms; "runner has not crashed");
    announce(gateway, &gateway.quarantine.refute(run));
}

/// Merges what a peer knows; returns whether it is new to this instance.
pub(crate) fn receive(gateway: &Gateway, peer: &str, quarantine: &mesh::Quarantine) -> bool {
    let change = gateway.quarantine.merge(quarantine, gateway.now());
    log_change(&change, peer);
    // The instance that saw the crash announces what it has quarantined.
    let announced = Change {
        quarantined: Vec::new(),
        ..change
    };
    announce(gateway, &announced);
    announced.is_new
}

fn run(runner: &Runner) -> Run {
    (runner.id().clone(), runner.registration.born_ms)
}

// Tells the other instances what this one has quarantined or found to be sound. They may
// have missed the crashes, or not seen the responses.
fn announce(gateway: &Gateway, change: &Change) {
    if change.quarantined.is_empty() && change.sound.is_empty() {
        return;
    }
    for suspect in &change.sound {
        log::warn!(suspect:? = suspect; "no longer quarantined: runners are not crashed by it");
    }
    let crashing = change.quarantined.iter().map(|suspect| mesh::Crashing {
        suspect: suspect.into(),
        age_ms: 0,
    });
    let quarantine = mesh::Quarantine {
        crashes: Vec::new(),
        crashing: crashing.collect(),
        sound: change.sound.iter().map(mesh::Suspect::from).collect(),
    };
    gateway.broadcast(mesh::Message::Quarantine(quarantine), Origin::Own);
}

fn log_change(change: &Change, source: &str) {
    for suspect in &change.quarantined {
        log::warn!(suspect:? = suspect, source; "quarantined: it crashes runners");
    }
}
