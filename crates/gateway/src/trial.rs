//! Requests that are suspected to crash runners are sent one after the other.
//!
//! All copies of such a request are sent by one instance, its owner, which waits for the
//! outcome of one before it sends the next. Otherwise copies that wait for the same runner
//! would reach it together.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use parking_lot::Mutex;

use crate::id;
use crate::suspect::Suspect;

/// Requests that this instance has sent and of which the outcome is not known.
#[derive(Debug, Default)]
pub struct Trials {
    running: Mutex<BTreeSet<Suspect>>,
}

/// A request that was sent, until its outcome is known.
#[derive(Debug)]
pub struct Trial {
    trials: Arc<Trials>,
    /// The request, if it is suspected.
    suspect: Option<Suspect>,
}

impl Trials {
    /// Starts to send a request, which is given if it is suspected; returns `None` if the
    /// outcome of another copy is not known yet.
    #[must_use]
    pub fn start(self: &Arc<Self>, suspect: Option<Suspect>) -> Option<Trial> {
        let is_first = suspect
            .as_ref()
            .is_none_or(|suspect| self.running.lock().insert(suspect.clone()));
        is_first.then(|| Trial {
            trials: Arc::clone(self),
            suspect,
        })
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if let Some(suspect) = &self.suspect {
            self.trials.running.lock().remove(suspect);
        }
    }
}

/// Returns the owner of a request among `instances`, which is the same at all of them.
#[must_use]
pub fn owner(
    suspect: &Suspect,
    instances: impl IntoIterator<Item = id::Instance>,
) -> Option<id::Instance> {
    let weight = |instance: &id::Instance| {
        let mut hasher = DefaultHasher::new();
        (suspect, instance).hash(&mut hasher);
        hasher.finish()
    };
    instances.into_iter().max_by_key(weight)
}
