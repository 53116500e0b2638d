//! The task that acquires the lease and places models while the lease is held.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::Category;
use almondbank_control::lease::{Candidate, Identity, Lease};

use crate::gateway::Gateway;
use crate::mesh::ENVIRONMENT;
use crate::term::Term;

/// Longest pause after a planning round, and longest wait for a change after that
/// pause.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest pause after a planning round.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(15);
/// Pause after a planning round as a multiple of its duration, so that planning
/// leaves most of the CPU to requests.
const PLAN_PAUSE_FACTOR: u32 = 4;
/// Delay before an instance with a full core tries to acquire the lease. The delay
/// of an instance with a smaller CPU share is proportionally longer.
const ACQUIRE_DELAY: Duration = Duration::from_millis(80);
const MIN_CPU_SHARE: f64 = 0.05;
const ACQUIRE_INTERVAL: Duration = Duration::from_millis(300);
/// Time for a new instance to find the current leader before it tries to acquire
/// the lease.
const STARTUP_DELAY: Duration = Duration::from_millis(300);
/// Delay between two attempts to release the lease.
const RELEASE_RETRY: Duration = Duration::from_millis(300);
/// Upper bound of the random delay that separates the attempts of instances.
const JITTER_MS: u64 = 200;

/// Tries to acquire the lease, and plans while it is held.
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
        .sleep(STARTUP_DELAY + jitter + acquire_delay(&gateway))
        .await;
    while !gateway.leaving.is_cancelled() {
        let now = gateway.now();
        let is_needed = gateway
            .environment()
            .is_some_and(|environment| environment.engines().next().is_some());
        if is_needed && gateway.members.leader(now).is_none() {
            if let Some((version, reported_at)) = gateway.members.newest_lease() {
                candidate.observe(version, reported_at);
            }
            sleep_unless_leaving(&gateway, acquire_delay(&gateway)).await;
            if gateway.members.leader(gateway.now()).is_some() {
                continue;
            }
            match candidate.poll().await {
                Ok(Some(lease)) => {
                    serve_term(&gateway, lease).await;
                    // Lets another instance acquire the lease, so that the orders
                    // of two leaders do not alternate.
                    sleep_unless_leaving(&gateway, gateway.settings.lease).await;
                }
                Ok(None) => {}
                Err(error) => log::info!(error:% = error; "lease could not be read or acquired"),
            }
        }
        let jitter = Duration::from_millis(rand::random::<u64>() % JITTER_MS);
        sleep_unless_leaving(&gateway, ACQUIRE_INTERVAL + jitter).await;
    }
}

// With runners that check fencing tokens the leader may send orders after its lease
// has expired, so a shorter lease has no drawback.
fn lease_duration(gateway: &Gateway) -> Duration {
    if gateway.settings.checks_fencing {
        gateway.settings.lease * 2 / 3
    } else {
        gateway.settings.lease
    }
}

// Instances on small VMs wait longer, so that one on a large VM gets the lease if
// there is one.
fn acquire_delay(gateway: &Gateway) -> Duration {
    ACQUIRE_DELAY.div_f64(gateway.settings.cpu_share.clamp(MIN_CPU_SHARE, 1.0))
}

async fn sleep_unless_leaving(gateway: &Gateway, duration: Duration) {
    tokio::select! {
        () = gateway.leaving.cancelled() => {}
        () = gateway.clock.sleep(duration) => {}
    }
}

async fn serve_term(gateway: &Arc<Gateway>, mut lease: Lease) {
    let fencing = lease.fencing();
    log::info!(fencing; "lease acquired");
    let term = Arc::new(Term::new(gateway, &lease));
    *gateway.term.lock() = Some(Arc::clone(&term));
    let reason = tokio::select! {
        () = gateway.leaving.cancelled() => "leaving",
        () = term.ended.cancelled() => "a runner has seen a newer fencing token",
        reason = renew(gateway, &mut lease, &term) => reason,
        () = plan(gateway, &term) => "stopped",
    };
    log::info!(fencing, reason; "lease term ended");
    tokio::select! {
        () = release(gateway, &mut lease) => {}
        () = term.ended.cancelled() => {}
        () = plan(gateway, &term), if reason == "leaving" => {}
    }
    term.ended.cancel();
    *gateway.term.lock() = None;
}

// Retries until the lease is released or another instance has it. No instance can
// acquire it while the store is unavailable, so this one keeps sending orders
// meanwhile.
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
                log::info!(fencing, error:% = error; "lease could not be released");
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
            return "a peer has a newer lease";
        }
        match lease.commit(lease.transaction()).await {
            Ok(()) => term.extend(lease),
            Err(error) => {
                log::info!(fencing = lease.fencing(), error:% = error; "lease could not be renewed");
                match lease.resume().await {
                    Ok(()) => {}
                    Err(error) if error.category() == Category::NotLeader => return "superseded",
                    Err(_) if gateway.settings.checks_fencing => {}
                    Err(_) => return "store unavailable",
                }
            }
        }
    }
}

async fn plan(gateway: &Gateway, term: &Arc<Term>) {
    let mut changed = gateway.registry.subscribe();
    loop {
        let started = gateway.now();
        if let Some(environment) = gateway.environment() {
            for (service, engine) in environment.engines() {
                term.plan(gateway, service, engine);
            }
        }
        let elapsed = gateway.now().saturating_sub(started);
        let pause = MIN_PLAN_INTERVAL.max(elapsed * PLAN_PAUSE_FACTOR);
        gateway.clock.sleep(pause.min(PLAN_INTERVAL)).await;
        tokio::select! {
            _ = changed.changed() => {}
            () = gateway.demand.urgent_change() => {}
            () = gateway.clock.sleep(PLAN_INTERVAL) => {}
        }
    }
}
