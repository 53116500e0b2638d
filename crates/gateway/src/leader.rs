//! The task that takes the lease and keeps the models where they are asked for.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::Category;
use almondbank_control::lease::{Candidate, Identity, Lease};

use crate::gateway::Gateway;
use crate::mesh::ENVIRONMENT;
use crate::term::Term;

const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between two plans.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(15);
/// Pause after a plan as a multiple of the time that it took, so that planning
/// leaves most of the processor to requests.
const PLAN_PAUSE_FACTOR: u32 = 4;
/// Time that an instance on a whole core waits before it contends; others wait
/// longer in proportion.
const CONTEND_DELAY: Duration = Duration::from_millis(80);
const MIN_CPU_SHARE: f64 = 0.05;
const CONTEND_INTERVAL: Duration = Duration::from_millis(300);
/// Time in which a started instance hears of a leader before it contends.
const SETTLE: Duration = Duration::from_millis(300);
/// Pause between two tries to release the lease.
const RELEASE_RETRY: Duration = Duration::from_millis(300);
/// Largest random delay between instances that contend.
const JITTER_MS: u64 = 200;

/// Contends for the lease and plans while it is held.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let identity = Identity {
        environment: ENVIRONMENT.to_owned(),
        incarnation: gateway.incarnation.clone(),
        address: gateway.settings.listen.peers.to_string(),
        term: lease_duration(&gateway),
    };
    let table = Arc::clone(&gateway.ports.table);
    let mut candidate = Candidate::new(identity, table, Arc::clone(&gateway.clock));
    let jitter = Duration::from_millis(rand::random::<u64>() % JITTER_MS);
    gateway
        .clock
        .sleep(SETTLE + jitter + contend_delay(&gateway))
        .await;
    while !gateway.leaving.is_cancelled() {
        let now = gateway.now();
        let is_needed = gateway
            .environment()
            .is_some_and(|environment| environment.engines().next().is_some());
        if is_needed && gateway.members.leader(now).is_none() {
            if let Some((version, heard)) = gateway.members.newest_lease() {
                candidate.observe(version, heard);
            }
            pause(&gateway, contend_delay(&gateway)).await;
            if gateway.members.leader(gateway.now()).is_some() {
                continue;
            }
            match candidate.poll().await {
                Ok(Some(lease)) => {
                    hold(&gateway, lease).await;
                    // The next holder's orders must not alternate with ours.
                    pause(&gateway, gateway.settings.lease).await;
                }
                Ok(None) => {}
                Err(error) => log::info!(error:% = error; "lease is not read"),
            }
        }
        let jitter = Duration::from_millis(rand::random::<u64>() % JITTER_MS);
        pause(&gateway, CONTEND_INTERVAL + jitter).await;
    }
}

// Runners that check fencing numbers refuse a holder that was succeeded, so that
// there a shorter term loses nothing.
fn lease_duration(gateway: &Gateway) -> Duration {
    if gateway.settings.checks_fencing {
        gateway.settings.lease * 2 / 3
    } else {
        gateway.settings.lease
    }
}

// Small VMs leave the lease to large ones, if there are any.
fn contend_delay(gateway: &Gateway) -> Duration {
    CONTEND_DELAY.div_f64(gateway.settings.cpu_share.clamp(MIN_CPU_SHARE, 1.0))
}

async fn pause(gateway: &Gateway, duration: Duration) {
    tokio::select! {
        () = gateway.leaving.cancelled() => {}
        () = gateway.clock.sleep(duration) => {}
    }
}

async fn hold(gateway: &Arc<Gateway>, mut lease: Lease) {
    let fencing = lease.fencing();
    log::info!(fencing; "lease taken");
    let term = Arc::new(Term::new(gateway, &lease));
    *gateway.term.lock() = Some(Arc::clone(&term));
    let reason = tokio::select! {
        () = gateway.leaving.cancelled() => "leaving",
        () = term.over.cancelled() => "succeeded at a runner",
        reason = renew(gateway, &mut lease, &term) => reason,
        () = plan(gateway, &term) => "stopped",
    };
    log::info!(fencing, reason; "lease ends");
    tokio::select! {
        () = release(gateway, &mut lease) => {}
        () = term.over.cancelled() => {}
        () = plan(gateway, &term), if reason == "leaving" => {}
    }
    term.over.cancel();
    *gateway.term.lock() = None;
}

// Tries until the lease is released or another instance has it. While the store
// is away nobody can take it over, so that orders go on meanwhile.
async fn release(gateway: &Gateway, lease: &mut Lease) {
    let fencing = lease.fencing();
    loop {
        if lease.release().await.is_ok() {
            log::info!(fencing; "lease released");
            return;
        }
        match lease.resume().await {
            Ok(()) => {}
            Err(error) => {
                log::info!(fencing, error:% = error; "lease is not released");
                if error.category() == Category::NotLeader || !gateway.settings.checks_fencing {
                    return;
                }
            }
        }
        gateway.clock.sleep(RELEASE_RETRY).await;
    }
}

async fn renew(gateway: &Gateway, lease: &mut Lease, term: &Term) -> &'static str {
    let interval = lease_duration(gateway) / 3;
    loop {
        gateway.clock.sleep(interval).await;
        if let Some((_, fencing)) = gateway.members.leader(gateway.now())
            && fencing > lease.fencing()
        {
            return "succeeded by a peer";
        }
        match lease.commit(lease.transaction()).await {
            Ok(()) => term.extend(lease),
            Err(error) => {
                log::info!(fencing = lease.fencing(), error:% = error; "lease is not renewed");
                match lease.resume().await {
                    Ok(()) => {}
                    Err(error) if error.category() == Category::NotLeader => return "lost",
                    Err(_) if gateway.settings.checks_fencing => {}
                    Err(_) => return "store does not answer",
                }
            }
        }
    }
}

async fn plan(gateway: &Gateway, term: &Arc<Term>) {
    let mut changed = gateway.registry.subscribe();
    loop {
        let began = gateway.now();
        if let Some(environment) = gateway.environment() {
            for (service, engine) in environment.engines() {
                term.plan(gateway, service, engine);
            }
        }
        let taken = gateway.now().saturating_sub(began);
        let pause = MIN_PLAN_INTERVAL.max(taken * PLAN_PAUSE_FACTOR);
        gateway.clock.sleep(pause.min(PLAN_INTERVAL)).await;
        tokio::select! {
            _ = changed.changed() => {}
            () = gateway.demand.urgent_change() => {}
            () = gateway.clock.sleep(PLAN_INTERVAL) => {}
        }
    }
}
