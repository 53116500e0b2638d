//! The registered runners and the models that each of them serves.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::call::Target;
use crate::entries::Entries;
use crate::feed::Change;
use crate::protocol::Protocol;
pub use crate::registered::Runner;
use crate::{id, software};

/// Time without requests for a model that a runner has refused to serve.
const REFUSING_TTL: Duration = Duration::from_millis(400);
/// Time without requests for a model that a runner has not loaded.
const MISSING_TTL: Duration = Duration::from_secs(2);

/// All known runners, by id.
#[derive(Debug)]
pub struct Registry {
    inner: Mutex<Entries>,
    changed: watch::Sender<u64>,
    reconcile: Duration,
}

impl Registry {
    /// Creates an empty registry. `reconcile` is the time in which live runners
    /// register again after an outage of the store.
    #[must_use]
    pub fn new(reconcile: Duration) -> Self {
        Self {
            inner: Mutex::default(),
            changed: watch::Sender::new(0),
            reconcile,
        }
    }

    /// Leaves out the runners that no request of `protocol` can name.
    #[must_use]
    pub fn with_protocol(self, protocol: Arc<dyn Protocol>) -> Self {
        self.inner.lock().protocol = Some(protocol);
        self
    }

    /// Returns a receiver that is notified of every change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Revision of the newest known change of a registration.
    #[must_use]
    pub fn newest_revision(&self) -> u64 {
        self.inner.lock().newest
    }

    /// Whether the full list of registrations was read at least once.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.inner.lock().loaded_at.is_some()
    }

    /// Time since the full list of registrations was read first.
    #[must_use]
    pub fn watched(&self, now: Duration) -> Duration {
        let loaded_at = self.inner.lock().loaded_at;
        loaded_at.map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }

    /// Returns the software versions of the runners of `service`, also of those that were
    /// removed within `TOMBSTONE_TTL`.
    #[must_use]
    pub fn software(&self, service: &str) -> BTreeSet<id::Software> {
        self.all_software().remove(service).unwrap_or_default()
    }

    /// Returns the software versions as [`Registry::software`] does, by service.
    #[must_use]
    pub fn all_software(&self) -> software::Versions {
        let inner = self.inner.lock();
        let mut versions = software::Versions::new();
        for runner in inner.runners.values() {
            let service = runner.registration.service.clone();
            let of_service = versions.entry(service).or_default();
            of_service.insert(runner.software().to_owned());
        }
        versions
    }

    /// Records that the store could not be read.
    pub fn record_outage(&self, now: Duration) {
        let mut inner = self.inner.lock();
        inner.outage.record_failure(now);
        for grace in inner.graces() {
            grace.suspend(now);
        }
    }

    /// Makes runners usable that the store has listed again for longer than those which have
    /// ended.
    pub fn readmit(&self, now: Duration) {
        let is_changed = self.inner.lock().readmit(now);
        if is_changed {
            self.notify();
        }
    }

    /// Records that the store could be read, by this instance or by others.
    pub fn record_read(&self, now: Duration) {
        let mut inner = self.inner.lock();
        if !inner.outage.record_read(now) {
            return;
        }
        for grace in inner.graces() {
            grace.resume(self.reconcile, now);
        }
    }

    /// Whether the store could not be read within the last `window`, so that registrations may
    /// be out of date, or those of runs that have ended may be back.
    #[must_use]
    pub fn has_failed_within(&self, window: Duration, now: Duration) -> bool {
        self.inner.lock().outage.has_failed_within(window, now)
    }

    /// Applies `changes` in order.
    pub fn apply(&self, changes: Vec<Change>, now: Duration) {
        if changes.is_empty() {
            return;
        }
        let mut inner = self.inner.lock();
        for change in changes {
            match change {
                Change::Put(registration) => inner.put(*registration, now),
                Change::Removed(runner, revision) => {
                    inner.newest = inner.newest.max(revision);
                    inner.remove(&runner, revision, now, self.reconcile);
                }
            }
        }
        inner.purge_tombstones(now);
        drop(inner);
        self.notify();
    }

    /// Replaces the list by `registrations`, which is complete as of `revision`, unless a newer
    /// one is known. It may hold later changes, but not all of them.
    pub fn replace(&self, registrations: Vec<mesh::Registration>, revision: u64, now: Duration) {
        let mut inner = self.inner.lock();
        let newest = inner.newest;
        if inner.loaded_at.is_some() && revision < newest {
            return;
        }
        let listed: BTreeSet<_> = registrations
            .iter()
            .map(|registration| registration.runner.clone())
            .collect();
        for registration in registrations {
            inner.put(registration, now);
        }
        inner.newest = newest.max(inner.newest.min(revision));
        let missing: Vec<_> = inner
            .runners
            .keys()
            .filter(|runner| !listed.contains(*runner))
            .cloned()
            .collect();
        for runner in missing {
            inner.remove(&runner, revision, now, self.reconcile);
        }
        // Peers ask only for what has a revision, also if the list has no runner.
        if inner.newest == 0 {
            inner.newest = revision;
        }
        inner.loaded_at.get_or_insert(now);
        inner.purge_tombstones(now);
        drop(inner);
        self.notify();
    }

    /// Applies the registrations of a peer. Returns false without a change if they
    /// are not newer than the known ones or if changes before them are missing.
    pub fn merge(&self, registry: mesh::Registry, now: Duration) -> bool {
        let newest = self.newest_revision();
        if registry.revision <= newest {
            return false;
        }
        match registry.after {
            None => {
                self.replace(registry.registrations, registry.revision, now);
                self.advance_revision(registry.revision);
                true
            }
            Some(after) if after <= newest && (newest > 0 || self.is_loaded()) => {
                let removed = registry.removed.into_iter();
                let removed = removed.map(|entry| Change::Removed(entry.runner, entry.revision));
                let put = registry.registrations.into_iter().map(Box::new);
                let put = put.map(Change::Put);
                self.apply(removed.chain(put).collect(), now);
                true
            }
            Some(_) => false,
        }
    }

    /// Replaces the models of a runner by those that it reported to the
    /// leader, until its next registration.
    pub fn apply_held(&self, held: mesh::Held) {
        let mut inner = self.inner.lock();
        let Some(runner) = inner.runners.get_mut(&held.runner) else {
            return;
        };
        if runner.registration.born_ms != held.born_ms {
            return;
        }
        let mut registration = (*runner.registration).clone();
        registration.models = held.models;
        runner.registration = Arc::new(registration);
        runner.loaded.clear();
        runner.unserved.clear();
        drop(inner);
        self.notify();
    }

    /// Records that the runner has loaded the adapter.
    pub fn mark_adapter_loaded(&self, runner: &str, model: &str, adapter: &str) {
        let mut inner = self.inner.lock();
        if let Some(runner) = inner.runners.get_mut(runner) {
            runner.loaded.insert((model.to_owned(), adapter.to_owned()));
        }
    }

    /// Records that the runner refuses requests for the model, for example because
    /// it is being unloaded.
    pub fn mark_refusing(&self, runner: &str, model: &str, now: Duration) {
        let mut inner = self.inner.lock();
        if let Some(runner) = inner.runners.get_mut(runner) {
            runner.unserved.insert(model.to_owned(), now + REFUSING_TTL);
        }
    }

    /// Records that the runner lacks the adapter of `target`, or its model.
    pub fn mark_missing(&self, runner: &str, target: &Target, now: Duration) {
        let mut inner = self.inner.lock();
        let Some(runner) = inner.runners.get_mut(runner) else {
            return;
        };
        match &target.adapter {
            Some(adapter) if runner.holds_adapter(target) => {
                let key = (target.model.clone(), adapter.clone());
                runner.loaded.remove(&key);
                let mut registration = (*runner.registration).clone();
                for model in &mut registration.models {
                    if model.name == target.model {
                        model.adapters.retain(|held| held != adapter);
                    }
                }
                runner.registration = Arc::new(registration);
            }
            _ => {
                runner
                    .unserved
                    .insert(target.model.clone(), now + MISSING_TTL);
            }
        }
        drop(inner);
        self.notify();
    }

    /// Records that the run of the runner that started at `born_ms` has said in a response
    /// that it leaves; returns whether that is new.
    pub fn mark_leaving(&self, runner: &str, born_ms: u64, now: Duration) -> bool {
        let mut inner = self.inner.lock();
        let is_new = inner.leaving.insert(runner, born_ms, now);
        if let Some(runner) = inner.runners.get_mut(runner) {
            runner.is_leaving = runner.registration.born_ms == born_ms;
        }
        drop(inner);
        if is_new {
            self.notify();
        }
        is_new
    }

    /// Whether a runner of `service` that is still listed has said that it leaves.
    #[must_use]
    pub fn has_leaving(&self, service: &str) -> bool {
        let inner = self.inner.lock();
        let mut runners = inner.runners.values();
        runners.any(|runner| {
            let is_listed = runner.removed_at.is_none();
            runner.registration.service == service && runner.is_leaving && is_listed
        })
    }

    /// Returns the runners of `service` that accept new requests.
    #[must_use]
    pub fn usable(&self, service: &str, now: Duration) -> Vec<Runner> {
        let inner = self.inner.lock();
        inner
            .runners
            .values()
            .filter(|runner| runner.registration.service == service && runner.is_usable(now))
            .cloned()
            .collect()
    }

    /// Returns the usable runners of `service` that serve the model, and whether
    /// any usable one has a copy of it.
    #[must_use]
    pub fn replicas(&self, service: &str, model: &str, now: Duration) -> (Vec<Runner>, bool) {
        let inner = self.inner.lock();
        let mut has_copy = false;
        let mut replicas = Vec::new();
        for runner in inner.runners.values() {
            if runner.registration.service != service || !runner.is_usable(now) {
                continue;
            }
            has_copy |= runner.has_copy(model);
            if runner.holds_model(model, now) {
                replicas.push(runner.clone());
            }
        }
        (replicas, has_copy)
    }

    /// Whether the runner's registration lists the model as loaded.
    #[must_use]
    pub fn lists_model(&self, runner: &str, model: &str) -> bool {
        let inner = self.inner.lock();
        inner.runners.get(runner).is_some_and(|runner| {
            let mut models = runner.registration.models.iter();
            models.any(|held| held.name == model)
        })
    }

    /// Whether the runner accepts new requests.
    #[must_use]
    pub fn is_usable(&self, runner: &str, now: Duration) -> bool {
        let inner = self.inner.lock();
        let runner = inner.runners.get(runner);
        runner.is_some_and(|runner| runner.is_usable(now))
    }

    /// Whether any runner of `service` accepts new requests.
    #[must_use]
    pub fn has_usable(&self, service: &str, now: Duration) -> bool {
        let inner = self.inner.lock();
        let mut runners = inner.runners.values();
        runners.any(|runner| runner.registration.service == service && runner.is_usable(now))
    }

    /// Returns the runner with this id, also if it was removed recently.
    #[must_use]
    pub fn get(&self, runner: &str) -> Option<Runner> {
        self.inner.lock().runners.get(runner).cloned()
    }

    /// Returns the runners of `service` that were removed in an outage which is over, and did
    /// not register again in time although they may live; none if another one is listed.
    #[must_use]
    pub fn unlisted(&self, service: &str, now: Duration) -> Vec<Runner> {
        let inner = self.inner.lock();
        let of_service = || {
            let runners = inner.runners.values();
            runners.filter(|runner| runner.registration.service == service)
        };
        let is_any_listed = of_service().any(|runner| runner.removed_at.is_none());
        if is_any_listed || !inner.outage.is_over_for(self.reconcile, now) {
            return Vec::new();
        }
        of_service()
            .filter(|runner| runner.is_unlisted())
            .cloned()
            .collect()
    }

    /// Records whether the run of an unlisted runner accepts requests; it is usable until `until`
    /// then.
    pub fn record_check(
        &self,
        runner: &str,
        born_ms: u64,
        is_alive: bool,
        until: Duration,
        now: Duration,
    ) {
        let mut inner = self.inner.lock();
        let Some(runner) = inner.runners.get_mut(runner) else {
            return;
        };
        if runner.registration.born_ms != born_ms {
            return;
        }
        if let Some(grace) = &mut runner.grace {
            if is_alive {
                grace.extend(until);
            } else {
                grace.end(now);
            }
        }
        drop(inner);
        self.notify();
    }

    /// Returns the registrations of all runners that were not removed.
    #[must_use]
    pub fn registrations(&self) -> Vec<mesh::Registration> {
        let inner = self.inner.lock();
        inner
            .runners
            .values()
            .filter(|runner| runner.removed_at.is_none())
            .map(|runner| (*runner.registration).clone())
            .collect()
    }

    fn advance_revision(&self, revision: u64) {
        let mut inner = self.inner.lock();
        inner.newest = inner.newest.max(revision);
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}
