//! State of a runner as the planner sees it.

use std::collections::{BTreeMap, BTreeSet};

use crate::id;

/// State of one runner that placement depends on.
#[derive(Clone, Debug, Default)]
pub struct Runner {
    /// Loaded models, including one that is being unloaded.
    pub models: BTreeSet<id::Model>,
    /// Model whose load is in progress.
    pub loading: Option<id::Model>,
    /// Model whose unload is in progress.
    pub unloading: Option<id::Model>,
    /// Model that gets no new requests and is unloaded once its last one has ended.
    pub draining: Option<id::Model>,
    /// Whether it takes no new order, because one is in progress or its state is
    /// not known.
    pub is_busy: bool,
    /// Models with a copy in host memory.
    pub in_memory: BTreeSet<id::Model>,
    /// Models with a copy on disk.
    pub on_disk: BTreeSet<id::Model>,
    /// Requests in flight by model.
    pub requests: BTreeMap<id::Model, u64>,
    /// Prompt tokens of its requests that still need prefill.
    pub pending_tokens: u64,
    /// Model for which another one was unloaded.
    pub reserved_for: Option<id::Model>,
    /// Whether it accepts only a limited number of requests. Its replicas do not count,
    /// and no others are placed on it.
    pub is_limited: bool,
}

impl Runner {
    /// Whether the model is loaded and stays, is being loaded, or is to be loaded
    /// into reserved memory.
    #[must_use]
    pub fn provides(&self, model: &str) -> bool {
        let is = |other: &Option<id::Model>| other.as_deref() == Some(model);
        (self.models.contains(model) && self.serves(model))
            || is(&self.loading)
            || is(&self.reserved_for)
    }

    /// Whether requests for the model may be sent to the runner if it is loaded.
    pub(crate) fn serves(&self, model: &str) -> bool {
        self.unloading.as_deref() != Some(model) && !self.is_draining(model)
    }

    pub(crate) fn is_draining(&self, model: &str) -> bool {
        self.draining.as_deref() == Some(model)
    }

    /// Fastest source from which the runner can load the model.
    #[must_use]
    pub fn tier(&self, model: &str) -> Tier {
        if self.in_memory.contains(model) {
            Tier::Memory
        } else if self.on_disk.contains(model) {
            Tier::Disk
        } else {
            Tier::Store
        }
    }
}

/// Source of the weights for a load, fastest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Tier {
    /// The runner's host memory.
    Memory,
    /// The runner's disk.
    Disk,
    /// The weight store.
    Store,
}
