//! Tasks that follow the environment and the registrations in the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use almondbank_port::retry::Backoff;
use almondbank_wire::mesh;

use crate::fanout::Origin;
use crate::feed::Change;
use crate::gateway::Gateway;
use crate::{Category, Result, follower};

/// Longest wait for changes in one call. If the store does not respond to a call,
/// the next one delivers the changes; both must fit into the 3 s after which an instance
/// counts as connected again.
const FEED_WAIT: Duration = Duration::from_millis(1900);
/// Interval at which an instance that does not follow a feed checks whether it must.
const FOLLOWER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause between two calls for registrations.
const REGISTRATIONS_PAUSE: Duration = Duration::from_millis(150);
/// The same pause in a hierarchical topology, which has more instances and runners.
const HIERARCHICAL_REGISTRATIONS_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two reads of the environment on an instance that does not
/// follow it, so that changes in quick succession are read in one call.
const ENVIRONMENT_PAUSE: Duration = Duration::from_millis(600);
const RETRY_BASE: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(1);
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Follows the environment while this instance is one of its followers; otherwise
/// reads it when a peer reports a newer version.
pub(crate) async fn follow_environment(gateway: Arc<Gateway>) {
    let mut watch = Watch::new("environment");
    let mut announced = gateway.announced.subscribe();
    loop {
        let result = read_environment(&gateway, watch.revision, watch.wait()).await;
        if !watch.record(&gateway, result).await {
            return;
        }
        if !follows_environment(&gateway) {
            gateway.clock.sleep(ENVIRONMENT_PAUSE).await;
        }
        while !watch.is_failing && !follows_environment(&gateway) && !is_behind(&gateway) {
            watch.revision = None;
            tokio::select! {
                () = gateway.stopped.cancelled() => return,
                _ = announced.changed() => {}
                () = gateway.clock.sleep(FOLLOWER_CHECK_INTERVAL) => {}
            }
        }
    }
}

fn is_behind(gateway: &Gateway) -> bool {
    *gateway.announced.borrow() > *gateway.version.borrow()
}

async fn read_environment(gateway: &Gateway, revision: Option<u64>, wait: Duration) -> Result<u64> {
    let documents = &gateway.ports.documents;
    let changes = match revision {
        None => documents.read().await?,
        Some(revision) => documents.follow(revision, wait).await?,
    };
    for document in changes.changes {
        gateway.record_stored(document.environment.version);
        gateway.install(document, "store");
    }
    Ok(changes.revision)
}

/// Follows the registrations while this instance is one of their followers.
pub(crate) async fn follow_registrations(gateway: Arc<Gateway>) {
    let mut watch = Watch::new("registrations");
    loop {
        let result = read_registrations(&gateway, watch.revision, watch.wait()).await;
        gateway.follows.store(result.is_ok(), Ordering::Relaxed);
        if result.is_err() {
            gateway.registry.record_outage(gateway.now());
        }
        if !watch.record(&gateway, result).await {
            return;
        }
        let pause = if gateway.is_hierarchical() {
            HIERARCHICAL_REGISTRATIONS_PAUSE
        } else {
            REGISTRATIONS_PAUSE
        };
        gateway.clock.sleep(pause).await;
        // It reads the list itself until it has it from the store or from a peer.
        if !is_follower(&gateway) && gateway.registry.is_loaded() {
            log::info!("stopped following the registrations in the store");
            gateway.follows.store(false, Ordering::Relaxed);
            // Those that follow can read it.
            gateway.registry.record_read(gateway.now());
            watch.revision = None;
            while !is_follower(&gateway) {
                gateway.clock.sleep(FOLLOWER_CHECK_INTERVAL).await;
            }
            log::info!("started following the registrations in the store");
        }
    }
}

fn is_follower(gateway: &Gateway) -> bool {
    let followers = gateway.members.followers(gateway.now());
    let is_leader = gateway.term().is_some();
    let is_hierarchical = gateway.is_hierarchical();
    let own = &gateway.settings.instance;
    follower::is_follower(own, is_leader, is_hierarchical, followers.iter())
}

fn follows_environment(gateway: &Gateway) -> bool {
    // The leader has to know whether the store has lost the environment.
    if !gateway.is_hierarchical() || gateway.holds_lease() {
        return true;
    }
    let live = gateway.members.live_local(gateway.now());
    follower::follows_environment(&gateway.settings.instance, live.iter())
}

async fn read_registrations(
    gateway: &Gateway,
    revision: Option<u64>,
    wait: Duration,
) -> Result<u64> {
    let registrations = &gateway.ports.registrations;
    let Some(revision) = revision else {
        let changes = registrations.read().await?;
        let now = gateway.now();
        gateway.registry.record_read(now);
        gateway
            .registry
            .replace(changes.changes, changes.revision, now);
        return Ok(changes.revision);
    };
    follow_from(gateway, revision, wait).await
}

/// Reads the changes of registrations that this instance does not have yet.
///
/// # Errors
///
/// Fails if the store does not respond.
pub(crate) async fn catch_up(gateway: &Gateway) -> Result<()> {
    let known = gateway.registry.newest_revision();
    match follow_from(gateway, known, Duration::ZERO).await {
        Err(error) if error.category() == Category::HistoryLost => {
            read_registrations(gateway, None, Duration::ZERO).await?;
        }
        result => {
            result?;
        }
    }
    Ok(())
}

async fn follow_from(gateway: &Gateway, revision: u64, wait: Duration) -> Result<u64> {
    let registrations = &gateway.ports.registrations;
    let changes = registrations.follow(revision, wait).await?;
    gateway.registry.record_read(gateway.now());
    if !changes.changes.is_empty() {
        broadcast_changes(gateway, &changes.changes);
        gateway.registry.apply(changes.changes, gateway.now());
    }
    Ok(changes.revision)
}

fn broadcast_changes(gateway: &Gateway, changes: &[Change]) {
    let mut registry = mesh::Registry {
        after: Some(gateway.registry.newest_revision()),
        revision: 0,
        registrations: Vec::new(),
        removed: Vec::new(),
    };
    for change in changes {
        let revision = match change {
            Change::Put(registration) => {
                registry.registrations.push((**registration).clone());
                registration.revision
            }
            Change::Removed(runner, revision) => {
                registry.removed.push(mesh::Removed {
                    runner: runner.clone(),
                    revision: *revision,
                });
                *revision
            }
        };
        registry.revision = registry.revision.max(revision);
    }
    gateway.broadcast(mesh::Message::Registry(registry), Origin::Own);
}

/// Periodically closes expired connections and removes the state of unknown
/// runners.
pub(crate) async fn sweep(gateway: Arc<Gateway>) {
    loop {
        tokio::select! {
            () = gateway.stopped.cancelled() => return,
            () = gateway.clock.sleep(SWEEP_INTERVAL) => {}
        }
        let is_known = |runner: &str| gateway.registry.get(runner).is_some();
        gateway.pool.sweep(is_known);
        gateway.prefill.retain(is_known);
        gateway.health.retain(is_known);
        gateway.event_gaps.retain(is_known);
        let born_ms = |runner: &str| {
            let runner = gateway.registry.get(runner)?;
            Some(runner.registration.born_ms)
        };
        gateway.prefixes.retain(born_ms);
        gateway.notices.retain(born_ms);
        forget_removed_models(&gateway);
        gateway.quarantine.expire(gateway.now());
        gateway.registry.readmit(gateway.now());
    }
}

fn forget_removed_models(gateway: &Gateway) {
    let Some(environment) = gateway.environment() else {
        return;
    };
    let is_known = |service: &str, model: &str| environment.has_model(service, model);
    gateway.demand.retain(is_known);
    gateway.demand_rates.retain(is_known, gateway.now());
}

/// Progress and state of one feed.
struct Watch {
    name: &'static str,
    /// Revision to pass to the next `follow` call; `None` reads everything.
    revision: Option<u64>,
    backoff: Backoff,
    is_failing: bool,
}

impl Watch {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            revision: None,
            backoff: Backoff::new(RETRY_BASE, RETRY_MAX),
            is_failing: false,
        }
    }

    /// Time for which the next call waits for changes. After a failure it waits for none, so
    /// that a call to a store that still does not respond ends soon.
    fn wait(&self) -> Duration {
        if self.is_failing {
            Duration::ZERO
        } else {
            FEED_WAIT
        }
    }

    /// Records the result of a call and waits after a failure; returns false if the
    /// gateway has stopped.
    async fn record(&mut self, gateway: &Gateway, result: Result<u64>) -> bool {
        match result {
            Ok(revision) => {
                if std::mem::take(&mut self.is_failing) {
                    log::info!(dependency = "store", feed = self.name, revision; "dependency restored");
                }
                self.revision = Some(revision);
                self.backoff.reset();
            }
            Err(error) => {
                if !std::mem::replace(&mut self.is_failing, true) {
                    log::warn!(
                        dependency = "store", feed = self.name, revision = self.revision,
                        error:% = error;
                        "dependency lost"
                    );
                }
                if error.category() == Category::HistoryLost {
                    self.revision = None;
                    gateway.history_lost.notify_one();
                }
                tokio::select! {
                    () = gateway.stopped.cancelled() => return false,
                    () = gateway.clock.sleep(self.backoff.next_delay()) => {}
                }
            }
        }
        !gateway.stopped.is_cancelled()
    }
}
