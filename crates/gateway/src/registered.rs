//! A runner as the store lists it, and what was observed since.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh;

use crate::call::Target;
use crate::grace::Grace;
use crate::id;

/// Time within which the registration of a runner that has ended lapses.
pub(crate) const LAPSE_TIME: Duration = Duration::from_secs(6);

/// A runner with its registration and what was observed since.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Last registration of the runner.
    pub registration: Arc<mesh::Registration>,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Time at which it shuts down, if it has announced that.
    pub leaves_at: Option<Duration>,
    /// Time at which its registration was removed from the store.
    pub(crate) removed_at: Option<Duration>,
    /// Revision of the store that removed the registration.
    pub(crate) removed_by: u64,
    /// Whether this run of the runner has said in a response that it leaves.
    pub(crate) is_leaving: bool,
    /// Time for which the runner stays usable after a removal in an outage.
    pub(crate) grace: Option<Grace>,
    /// Revision by which a copy of the store lists the registration again after its removal,
    /// and the time since when.
    pub(crate) relisted: Option<(u64, Duration)>,
    /// Adapters that were loaded since the registration, by model and name.
    pub(crate) loaded: BTreeSet<(id::Model, id::Adapter)>,
    /// Models that the runner does not serve, with the time until which this is
    /// assumed. A new registration clears them.
    pub(crate) unserved: BTreeMap<id::Model, Duration>,
}

impl Runner {
    /// Returns the id of the runner.
    #[must_use]
    pub fn id(&self) -> &id::Runner {
        &self.registration.runner
    }

    /// Version of its software; empty if the runner reports none.
    #[must_use]
    pub fn software(&self) -> &str {
        self.registration.software.as_deref().unwrap_or_default()
    }

    /// Whether the runner accepts new requests.
    #[must_use]
    pub fn is_usable(&self, now: Duration) -> bool {
        let is_listed = self.removed_at.is_none();
        let is_graced = self.grace.is_some_and(|grace| grace.holds(now));
        (is_listed || is_graced) && !self.registration.draining && !self.is_leaving
    }

    /// Whether the model is loaded and served.
    #[must_use]
    pub fn holds_model(&self, model: &str, now: Duration) -> bool {
        let is_unserved = self.unserved.get(model).is_some_and(|until| now < *until);
        !is_unserved
            && self
                .registration
                .models
                .iter()
                .any(|held| held.name == model)
    }

    /// Whether the adapter of `target` is loaded; true if it has none.
    #[must_use]
    pub fn holds_adapter(&self, target: &Target) -> bool {
        let Some(adapter) = &target.adapter else {
            return true;
        };
        let key = (target.model.clone(), adapter.clone());
        let is_listed = self
            .registration
            .models
            .iter()
            .any(|held| held.name == target.model && held.adapters.contains(adapter));
        self.loaded.contains(&key) || is_listed
    }

    // A peer may send a registration that is older than the known one, and a heartbeat of
    // an earlier run of the runner may arrive after the first one of the next run.
    pub(crate) fn is_newer_than(&self, new: &mesh::Registration) -> bool {
        let last = &self.registration;
        if new.revision <= self.removed_by || new.revision < last.revision {
            return true;
        }
        if new.born_ms != last.born_ms {
            return new.born_ms < last.born_ms;
        }
        // A store that went back to a copy lists runners that have left since.
        if self.removed_at.is_some() && new.beat == last.beat {
            return true;
        }
        new.beat < last.beat || (new.revision == last.revision && new.beat <= last.beat)
    }

    // Whether the registration lapsed in an outage, as far as is known, and the runner has not
    // said that it leaves.
    pub(crate) fn is_unlisted(&self) -> bool {
        let has_lapsed = self.removed_at.is_some() && self.grace.is_some();
        has_lapsed && !self.registration.draining && !self.is_leaving
    }

    // Notes that the store lists the registration again although it was removed later.
    pub(crate) fn relist(&mut self, registration: &mesh::Registration, now: Duration) {
        let is_same_run = registration.born_ms == self.registration.born_ms;
        let is_later = registration.revision > self.removed_by;
        if self.removed_at.is_some() && is_same_run && is_later && !self.registration.draining {
            self.relisted.get_or_insert((registration.revision, now));
        }
    }

    // Makes the runner usable if the store has listed it again for longer than one that has
    // ended. Returns whether it has.
    pub(crate) fn readmit(&mut self, now: Duration) -> bool {
        let Some((revision, since)) = self.relisted else {
            return false;
        };
        if now < since + LAPSE_TIME {
            return false;
        }
        let mut registration = (*self.registration).clone();
        registration.revision = revision;
        log::info!(
            runner = registration.runner.as_str(), revision;
            "runner is still listed after its removal"
        );
        self.registration = Arc::new(registration);
        self.relisted = None;
        self.removed_at = None;
        self.grace = None;
        true
    }

    /// Whether a copy of the model is in host memory or on disk.
    #[must_use]
    pub fn has_copy(&self, model: &str) -> bool {
        let registration = &self.registration;
        let mut copies = registration.in_memory.iter().chain(&registration.on_disk);
        copies.any(|copy| copy == model)
    }
}
