//! Right of the leader to send orders during one term of the lease.

use std::sync::Arc;
use std::time::Duration;

use almondbank_control::lease::Lease;
use almondbank_port::clock::Clock;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use almondbank_wire::gateway::Settings;

use crate::id;

/// Right to send orders under one lease.
#[derive(Debug)]
pub(crate) struct Authority {
    holder: id::Instance,
    fencing: id::Fencing,
    /// Whether runners reject orders with an old fencing token.
    checks_fencing: bool,
    clock: Arc<dyn Clock>,
    /// End of the lease's validity, and version of the lease row written last.
    validity: Mutex<(Duration, u64)>,
    /// Cancelled when this instance may send no more orders.
    pub(crate) ended: CancellationToken,
}

impl Authority {
    pub(crate) fn new(settings: &Settings, clock: &Arc<dyn Clock>, lease: &Lease) -> Self {
        Self {
            holder: settings.instance.clone(),
            fencing: lease.fencing(),
            checks_fencing: settings.checks_fencing,
            clock: Arc::clone(clock),
            validity: Mutex::new((lease.valid_until(), lease.version())),
            ended: CancellationToken::new(),
        }
    }

    /// Name of this instance in its orders.
    pub(crate) fn holder(&self) -> &id::Instance {
        &self.holder
    }

    pub(crate) fn fencing(&self) -> id::Fencing {
        self.fencing
    }

    /// Version of the lease row written last.
    pub(crate) fn lease_version(&self) -> u64 {
        self.validity.lock().1
    }

    /// End of the lease's validity.
    pub(crate) fn valid_until(&self) -> Duration {
        self.validity.lock().0
    }

    pub(crate) fn extend(&self, lease: &Lease) {
        *self.validity.lock() = (lease.valid_until(), lease.version());
    }

    /// Whether orders may be sent. Runners that check fencing tokens reject the
    /// orders of a former leader, so with such runners the leader may send orders
    /// after its lease has expired, for example while the store is unavailable.
    pub(crate) fn may_order(&self) -> bool {
        let is_valid = self.clock.now() < self.validity.lock().0;
        !self.ended.is_cancelled() && (is_valid || self.checks_fencing)
    }
}
