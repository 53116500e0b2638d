//! Which listeners of an instance are bound.

use std::collections::BTreeSet;

use parking_lot::Mutex;

use crate::memory::connections::Purpose;

/// Listeners without which an instance cannot serve callers.
const REQUIRED: [Purpose; 2] = [Purpose::Callers, Purpose::Peers];

/// Listeners that are bound.
#[derive(Debug, Default)]
pub(crate) struct Listening {
    bound: Mutex<BTreeSet<Purpose>>,
}

impl Listening {
    /// Records that a listener is bound.
    pub(crate) fn record(&self, purpose: Purpose) {
        self.bound.lock().insert(purpose);
    }

    /// Whether callers and peers can connect.
    pub(crate) fn is_complete(&self) -> bool {
        let bound = self.bound.lock();
        REQUIRED.iter().all(|purpose| bound.contains(purpose))
    }
}
