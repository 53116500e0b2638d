//! The task that acquires the lease and places models while the lease is held.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::Category;
use almondbank_control::lease::{Candidate, Identity, Lease};
use tokio_util::task::TaskTracker;

use crate::authority::Authority;
use crate::dispatcher::Dispatcher;
use crate::fleet::{Fleet, Sources};
use crate::gateway::Gateway;
use crate::id::ENVIRONMENT;
use crate::store_load;
use crate::term::guard::Guard;
use crate::term::{Inputs, Term};

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
const ACQUIRE_DELAY: Duration = Duration::from_millis(40);
const MIN_CPU_SHARE: f64 = 0.05;
const ACQUIRE_INTERVAL: Duration = Duration::from_millis(300);
/// Time for a new instance to find the current leader before it tries to acquire
/// the lease.
const STARTUP_DELAY: Duration = Duration::from_millis(300);
/// Delay between two attempts to release the lease.
const RELEASE_RETRY: Duration = Duration::from_millis(300);
/// Upper bound of the random delay that separates the attempts of instances.
const JITTER_MS: u64 = 100;
/// Time before the end of its validity at which a lease that cannot be renewed is
/// given up, so that orders on their way are answered before it ends.
const RESIGN_MARGIN: Duration = Duration::from_millis(400);
/// Delay after which a renewal counts as unanswered, and interval at which a peer's
/// access to the store is checked then.
const UNANSWERED_AFTER: Duration = Duration::from_millis(500);
const RESIGN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
const REACH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Reason for the end of a term.
const RESIGNED: &str = "the store answers peers but not this instance";

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
    gateway
        .clock
        .sleep(STARTUP_DELAY + jitter() + acquire_delay(&gateway))
        .await;
    while !gateway.leaving.is_cancelled() {
        if gateway.may_lead() && gateway.members.leader(gateway.now()).is_none() {
            match acquire(&gateway, &mut candidate).await {
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
        tokio::select! {
            () = sleep_unless_leaving(&gateway, ACQUIRE_INTERVAL + jitter()) => {}
            () = gateway.members.leader_left() => {}
        }
    }
}

// Waits until the lease expires and for this instance's turn, and tries to acquire it
// then, unless there is a leader by that time.
async fn acquire(
    gateway: &Gateway,
    candidate: &mut Candidate,
) -> almondbank_control::Result<Option<Lease>> {
    if let Some((version, reported_at)) = gateway.members.newest_lease() {
        candidate.observe(version, reported_at);
    }
    let resigned = gateway.members.resigned_lease();
    if let Some(version) = resigned {
        candidate.observe_resignation(version);
    }
    let expires_in = match resigned {
        Some(_) => Duration::ZERO,
        None => candidate.expires_in().min(gateway.settings.lease),
    };
    let delay = expires_in + acquire_delay(gateway) + jitter();
    sleep_unless_leaving(gateway, delay).await;
    if gateway.members.leader(gateway.now()).is_some() {
        return Ok(None);
    }
    candidate.observe_fencing(gateway.members.highest_fencing());
    candidate.poll().await
}

fn jitter() -> Duration {
    Duration::from_millis(rand::random::<u64>() % JITTER_MS)
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

fn begin_term(gateway: &Gateway, lease: &Lease) -> Term {
    let authority = Authority::new(&gateway.settings, &gateway.clock, lease);
    let dispatcher = Dispatcher {
        authority: Arc::new(authority),
        clock: Arc::clone(&gateway.clock),
        orders: Arc::clone(&gateway.ports.orders),
        metrics: gateway.metrics.clone(),
        registry: Arc::clone(&gateway.registry),
        health: Arc::clone(&gateway.health),
        notices: Arc::clone(&gateway.notices),
        reach: Arc::clone(&gateway.reach),
        fanout: gateway.fanout.clone(),
        fleet: Fleet::default(),
        unanswered: TaskTracker::new(),
    };
    let limit = gateway.settings.load;
    let store_loads = store_load::Limiter::new(limit, !lease.is_first(), gateway.now());
    Term::new(dispatcher, &gateway.in_flight, store_loads)
}

async fn serve_term(gateway: &Arc<Gateway>, mut lease: Lease) {
    let fencing = lease.fencing();
    log::info!(fencing; "lease acquired");
    let term = Arc::new(begin_term(gateway, &lease));
    let guard = Guard::new(gateway, &term);
    let reason = tokio::select! {
        () = gateway.leaving.cancelled() => "leaving",
        () = term.authority.ended.cancelled() => "a runner has seen a newer fencing token",
        () = lost_runners(gateway) => "no runner is in reach",
        reason = renew(gateway, &mut lease, &term) => reason,
        () = plan(gateway, &term) => "stopped",
    };
    log::info!(fencing, reason; "lease term ended");
    if reason == RESIGNED {
        resign(gateway, &term).await;
    }
    tokio::select! {
        () = release(gateway, &mut lease) => {}
        () = term.authority.ended.cancelled() => {}
        () = plan(gateway, &term), if reason == "leaving" => {}
    }
    drop(guard);
}

// Completes when this instance reaches none of the runners that it would send orders to.
async fn lost_runners(gateway: &Gateway) {
    while gateway.may_lead() {
        gateway.clock.sleep(REACH_CHECK_INTERVAL).await;
    }
}

// Ends the term and announces it to the peers, which may then acquire the lease at
// once. Orders without an answer may still reach their runners, so the announcement
// waits for them; if one is not answered in time, the lease has to expire.
async fn resign(gateway: &Gateway, term: &Term) {
    term.authority.ended.cancel();
    let left = term.authority.valid_until().saturating_sub(gateway.now());
    let sent = tokio::select! {
        () = term.dispatcher.orders_answered() => true,
        () = gateway.clock.sleep(left) => false,
    };
    if sent {
        gateway.announce_resignation(term.authority.lease_version());
    }
    log::info!(fencing = term.authority.fencing(), announced = sent; "resigned");
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
        let renewed = tokio::select! {
            renewed = lease.commit(lease.transaction()) => renewed,
            () = should_resign(gateway, term) => return RESIGNED,
        };
        match renewed {
            Ok(()) => {
                term.authority.extend(lease);
                // The peers count the lease's duration from this report.
                gateway.term_changed.notify_one();
            }
            Err(error) => {
                log::info!(fencing = lease.fencing(), error:% = error; "lease could not be renewed");
                gateway.term_changed.notify_one();
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

// Completes if a renewal stays without an answer until the lease is about to expire,
// while a peer receives new registrations from the store: this instance alone is cut
// off. A leader whose runners check fencing tokens needs no valid lease to send
// orders and does not resign.
async fn should_resign(gateway: &Gateway, term: &Term) {
    if gateway.settings.checks_fencing {
        std::future::pending::<()>().await;
    }
    gateway.clock.sleep(UNANSWERED_AFTER).await;
    let known = gateway.members.newest_registry(gateway.now());
    let resign_at = term.authority.valid_until().saturating_sub(RESIGN_MARGIN);
    let wait = resign_at.saturating_sub(gateway.now());
    gateway.clock.sleep(wait).await;
    while gateway.members.newest_registry(gateway.now()) <= known {
        gateway.clock.sleep(RESIGN_CHECK_INTERVAL).await;
    }
}

fn inputs(gateway: &Gateway) -> Inputs<'_> {
    Inputs {
        sources: Sources {
            in_flight: &gateway.in_flight,
            health: &gateway.health,
            notices: &gateway.notices,
        },
        prefill: &gateway.prefill,
        follows_store: gateway.follows(),
    }
}

async fn plan(gateway: &Gateway, term: &Arc<Term>) {
    let mut changed = gateway.registry.subscribe();
    loop {
        let started = gateway.now();
        if let Some(environment) = gateway.environment() {
            for (service, engine) in environment.engines() {
                let demands = gateway.demand_rates.service_demand(service, gateway.now());
                term.plan(service, engine, demands, &inputs(gateway));
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
