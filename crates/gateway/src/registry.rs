//! The runners that are registered, and what each holds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::call::Target;
use crate::feed::Change;
use crate::id;

/// Time for which a removed entry is remembered, so that an older copy of it
/// from a peer does not bring it back.
const TOMBSTONE_TTL: Duration = Duration::from_mins(1);
/// Time for which a runner that refused requests for a model gets none.
const REFUSING: Duration = Duration::from_millis(400);
/// Time for which a runner that lacks a model gets no requests for it.
const MISSING: Duration = Duration::from_secs(2);
/// Time after a failed read of the store within which removals may be its doing.
const OUTAGE_MEMORY: Duration = Duration::from_secs(2);

/// One runner.
#[derive(Clone, Debug)]
pub struct Runner {
    /// What it said of itself last.
    pub registration: Arc<mesh::Registration>,
    /// Where it listens.
    pub address: SocketAddr,
    /// When its notice to leave runs out, if it gave one.
    pub leaves_at: Option<Duration>,
    removed_at: Option<Duration>,
    /// Version of the store that removed the entry.
    removed_by: u64,
    reprieved_until: Option<Duration>,
    /// Adapters that were loaded since the registration, by model and name.
    loaded: BTreeSet<(id::Model, id::Adapter)>,
    /// Models that the runner does not serve until then, or until it registers anew.
    denied: BTreeMap<id::Model, Duration>,
}

impl Runner {
    /// Id of the runner.
    #[must_use]
    pub fn id(&self) -> &id::Runner {
        &self.registration.runner
    }

    /// Whether new work may be sent to it.
    #[must_use]
    pub fn is_usable(&self, now: Duration) -> bool {
        let listed = match (self.removed_at, self.reprieved_until) {
            (None, _) => true,
            (Some(_), Some(until)) => now < until,
            (Some(_), None) => false,
        };
        listed && !self.registration.draining
    }

    /// Whether it holds the model and serves it.
    #[must_use]
    pub fn holds_model(&self, model: &str, now: Duration) -> bool {
        let is_denied = self.denied.get(model).is_some_and(|until| now < *until);
        !is_denied
            && self
                .registration
                .models
                .iter()
                .any(|held| held.name == model)
    }

    /// Whether it holds the adapter of the target too; true without an adapter.
    #[must_use]
    pub fn holds_adapter(&self, target: &Target) -> bool {
        let Some(adapter) = &target.adapter else {
            return true;
        };
        let key = (target.model.clone(), adapter.clone());
        let listed = self
            .registration
            .models
            .iter()
            .any(|held| held.name == target.model && held.adapters.contains(adapter));
        self.loaded.contains(&key) || listed
    }

    /// Whether a copy of the model is in its host memory or on its disk.
    #[must_use]
    pub fn has_copy(&self, model: &str) -> bool {
        let registration = &self.registration;
        let mut copies = registration.in_memory.iter().chain(&registration.on_disk);
        copies.any(|copy| copy == model)
    }
}

/// All known runners.
#[derive(Debug)]
pub struct Registry {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
    reconcile: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    runners: BTreeMap<id::Runner, Runner>,
    newest: u64,
    failed_at: Option<Duration>,
    is_known: bool,
}

impl Registry {
    /// Makes an empty roster; `reconcile` is the time after an outage of the
    /// store within which live runners register again.
    #[must_use]
    pub fn new(reconcile: Duration) -> Self {
        Self {
            inner: Mutex::default(),
            changed: watch::Sender::new(0),
            reconcile,
        }
    }

    /// Notifies of every change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Version of the newest registration that is known.
    #[must_use]
    pub fn newest_revision(&self) -> u64 {
        self.inner.lock().newest
    }

    /// Whether the registrations have been read at least once.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.inner.lock().is_known
    }

    /// Notes that the store could not be read.
    pub fn record_outage(&self, now: Duration) {
        self.inner.lock().failed_at = Some(now);
    }

    /// Applies changes in order.
    pub fn apply(&self, changes: Vec<Change>, now: Duration) {
        if changes.is_empty() {
            return;
        }
        let mut inner = self.inner.lock();
        for change in changes {
            match change {
                Change::Put(registration) => inner.put(registration, now),
                Change::Removed(runner, revision) => {
                    inner.newest = inner.newest.max(revision);
                    inner.remove(&runner, revision, now, self.reconcile);
                }
            }
        }
        inner.forget(now);
        drop(inner);
        self.notify();
    }

    /// Takes `registrations` for the whole list as of `revision`.
    pub fn replace(&self, registrations: Vec<mesh::Registration>, revision: u64, now: Duration) {
        let mut inner = self.inner.lock();
        let listed: BTreeSet<_> = registrations
            .iter()
            .map(|registration| registration.runner.clone())
            .collect();
        for registration in registrations {
            inner.put(registration, now);
        }
        let missing: Vec<_> = inner
            .runners
            .keys()
            .filter(|runner| !listed.contains(*runner))
            .cloned()
            .collect();
        for runner in missing {
            inner.remove(&runner, revision, now, self.reconcile);
        }
        inner.is_known = true;
        inner.forget(now);
        drop(inner);
        self.notify();
    }

    /// Takes over what a peer knows; returns false if it is older than what is
    /// known, or if changes before it are missing.
    pub fn merge(&self, registry: mesh::Registry, now: Duration) -> bool {
        let newest = self.newest_revision();
        if registry.revision <= newest {
            return false;
        }
        match registry.after {
            None => {
                self.replace(registry.registrations, registry.revision, now);
                self.raise(registry.revision);
                true
            }
            Some(after) if after <= newest => {
                let gone = registry.removed.into_iter();
                let gone = gone.map(|removed| Change::Removed(removed.runner, removed.revision));
                let put = registry.registrations.into_iter().map(Change::Put);
                self.apply(gone.chain(put).collect(), now);
                true
            }
            Some(_) => false,
        }
    }

    /// Takes over what the leader heard from a runner itself, until the runner
    /// registers anew.
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
        runner.denied.clear();
        drop(inner);
        self.notify();
    }

    /// Notes that the runner accepted the adapter.
    pub fn mark_adapter_loaded(&self, runner: &str, model: &str, adapter: &str) {
        let mut inner = self.inner.lock();
        if let Some(runner) = inner.runners.get_mut(runner) {
            runner.loaded.insert((model.to_owned(), adapter.to_owned()));
        }
    }

    /// Notes that the runner refuses requests for the model, for example because
    /// it is being unloaded.
    pub fn mark_refusing(&self, runner: &str, model: &str, now: Duration) {
        let mut inner = self.inner.lock();
        if let Some(runner) = inner.runners.get_mut(runner) {
            runner.denied.insert(model.to_owned(), now + REFUSING);
        }
    }

    /// Notes that the runner does not hold what `target` needs.
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
                runner.denied.insert(target.model.clone(), now + MISSING);
            }
        }
        drop(inner);
        self.notify();
    }

    /// Runners of `service` to which new work may be sent.
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

    /// Those of them that hold the model, and whether any has a copy of it.
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

    /// Whether new work may be sent to the runner.
    #[must_use]
    pub fn is_usable(&self, runner: &str, now: Duration) -> bool {
        let inner = self.inner.lock();
        let runner = inner.runners.get(runner);
        runner.is_some_and(|runner| runner.is_usable(now))
    }

    /// Whether new work may be sent to any runner of `service`.
    #[must_use]
    pub fn has_usable(&self, service: &str, now: Duration) -> bool {
        let inner = self.inner.lock();
        let mut runners = inner.runners.values();
        runners.any(|runner| runner.registration.service == service && runner.is_usable(now))
    }

    /// The runner with this id, if its entry is there.
    #[must_use]
    pub fn get(&self, runner: &str) -> Option<Runner> {
        self.inner.lock().runners.get(runner).cloned()
    }

    /// Registrations of all runners whose entry is there.
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

    fn raise(&self, revision: u64) {
        let mut inner = self.inner.lock();
        inner.newest = inner.newest.max(revision);
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

impl Inner {
    fn put(&mut self, registration: mesh::Registration, now: Duration) {
        self.newest = self.newest.max(registration.revision);
        let Ok(address) = registration.address.parse() else {
            return;
        };
        let known = self.runners.get(&registration.runner);
        if known.is_some_and(|known| is_outdated(&registration, known)) {
            return;
        }
        log::debug!(
            runner = registration.runner.as_str(), revision = registration.revision,
            draining = registration.draining, models = registration.models.len();
            "registration changed"
        );
        if let Some(known) = self.runners.get(&registration.runner)
            && known.removed_at.is_some()
        {
            log::info!(
                runner = registration.runner.as_str(), revision = registration.revision,
                beat = registration.beat, born_ms = registration.born_ms,
                former_revision = known.registration.revision,
                former_beat = known.registration.beat;
                "runner registered again"
            );
        }
        let leaves_at = registration
            .leaves_in_ms
            .map(|left| now + Duration::from_millis(left));
        let runner = Runner {
            address,
            leaves_at,
            removed_at: None,
            removed_by: 0,
            reprieved_until: None,
            loaded: BTreeSet::new(),
            denied: BTreeMap::new(),
            registration: Arc::new(registration),
        };
        self.runners.insert(runner.id().clone(), runner);
    }

    // While the store was away, entries of live runners may have lapsed.
    fn remove(&mut self, runner: &str, revision: u64, now: Duration, reconcile: Duration) {
        let failed_lately = self
            .failed_at
            .is_some_and(|failed| now.saturating_sub(failed) < OUTAGE_MEMORY);
        let Some(runner) = self.runners.get_mut(runner) else {
            return;
        };
        if runner.removed_at.is_some() || revision < runner.registration.revision {
            return;
        }
        runner.removed_at = Some(now);
        runner.removed_by = revision;
        runner.reprieved_until = failed_lately.then(|| now + reconcile);
        log::info!(
            runner = runner.registration.runner.as_str(), store_failed_lately = failed_lately;
            "runner is no longer registered"
        );
    }

    fn forget(&mut self, now: Duration) {
        self.runners.retain(|_, runner| {
            runner
                .removed_at
                .is_none_or(|removed| now.saturating_sub(removed) < TOMBSTONE_TTL)
        });
    }
}

// A peer may pass on an entry that is older than the one known, and a beat of an
// earlier run may arrive after the first of the next one.
fn is_outdated(new: &mesh::Registration, known: &Runner) -> bool {
    let last = &known.registration;
    if new.revision <= known.removed_by || new.revision < last.revision {
        return true;
    }
    if new.born_ms != last.born_ms {
        return new.born_ms < last.born_ms;
    }
    new.beat < last.beat || (new.revision == last.revision && new.beat <= last.beat)
}
