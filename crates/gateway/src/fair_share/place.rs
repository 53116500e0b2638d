//! The place of one request among those of its tenant.

use std::sync::Arc;
use std::time::Duration;

use crate::fair_share::{Claim, Tracker};

/// The place of one request, which ends when it is dropped.
#[derive(Debug)]
pub struct Place {
    tracker: Arc<Tracker>,
    claim: Claim,
    pub(super) state: State,
    is_held: bool,
}

/// Whether the request has a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    /// It waits in the order of the tickets.
    Waiting {
        ticket: u64,
        since: Duration,
    },
    InFlight,
}

impl Place {
    pub(super) fn new(tracker: &Arc<Tracker>, claim: &Claim, state: State) -> Self {
        Self {
            tracker: Arc::clone(tracker),
            claim: claim.clone(),
            state,
            is_held: true,
        }
    }

    /// Replaces a place whose end the tracker has counted.
    pub(super) fn replace(place: &mut Option<Self>, new: Self) {
        Self::forget(place);
        *place = Some(new);
    }

    /// Removes a place whose end the tracker has counted.
    pub(super) fn forget(place: &mut Option<Self>) {
        if let Some(mut place) = place.take() {
            place.is_held = false;
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.is_held {
            self.tracker.release(&self.claim, self.state);
        }
    }
}
