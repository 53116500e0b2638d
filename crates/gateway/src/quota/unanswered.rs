//! An ask that its owner has not answered yet.

use std::sync::Arc;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::quota::{Ask, Grant, Limit, Step, Verdict};
use crate::tenant::{Quota, Tenant};

/// An ask without an answer. If it is dropped before one is recorded, for example by a panic, it
/// counts as one that the owner has not answered: requests that wait for it are decided, and
/// later ones ask again.
pub(crate) struct Unanswered {
    gateway: Arc<Gateway>,
    tenant: Arc<Tenant>,
    quota: Quota,
    is_open: bool,
}

impl Unanswered {
    pub(crate) fn new(gateway: &Arc<Gateway>, tenant: &Arc<Tenant>, quota: Quota) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            tenant: Arc::clone(tenant),
            quota,
            is_open: true,
        }
    }

    /// The limit that the ask is for.
    pub(crate) fn limit(&self) -> Limit<'_> {
        Limit {
            tenant: &self.tenant.name,
            quota: &self.quota,
        }
    }

    /// Records the answer, or that there is none; returns the next ask, if one is to be sent.
    pub(crate) fn record(&mut self, asked_at: Duration, grant: Option<&Grant>) -> Option<Ask> {
        let gateway = &self.gateway;
        let now = gateway.now();
        let share = || gateway.quota.share(gateway, &self.tenant.name, now);
        let draw = rand::random();
        let mut allowance = gateway.quota.allowance.lock();
        let step = allowance.receive(self.limit(), asked_at, grant, share, draw, now);
        let Step { verdicts, ask } = step;
        for (waiter, verdict) in verdicts {
            // Fails if the caller has disconnected.
            if let Err(Verdict::Admitted(permit)) = waiter.send(verdict) {
                allowance.refund(&self.tenant.name, &permit, now);
            }
        }
        drop(allowance);
        self.is_open = ask.is_some();
        ask
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        if self.is_open {
            let now = self.gateway.now();
            self.record(now, None);
        }
    }
}
