//! The quotas at one instance: what it grants, and what it holds.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use almondbank_wire::gateway::Quota as Bound;
use almondbank_wire::mesh;
use parking_lot::{Mutex, RwLock};
use tokio::sync::oneshot;

use crate::gateway::Gateway;
use crate::id;
use crate::quota::{Allowance, Ask, Grant, Ledger, Limit, SLOTS, Share, Verdict, View, slot};
use crate::span::millis;
use crate::tenant::Directory;

/// Time after the start in which the others may not have registered yet.
const REGISTER_TIME: Duration = Duration::from_secs(1);

/// The quotas at one instance. Without tenants that have one, it holds and does nothing.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) allowance: Mutex<Allowance<oneshot::Sender<Verdict>>>,
    ledger: Mutex<Ledger>,
    owners: RwLock<[Option<id::Instance>; SLOTS]>,
    /// Whether the environment has tenants with a quota.
    is_active: AtomicBool,
    /// Whether the rows of all instances were read since the start.
    has_read_members: AtomicBool,
    /// Whether this instance has accepted requests.
    has_served: AtomicBool,
    /// Whether an owner has granted tokens to this instance since its start.
    has_had_owner: AtomicBool,
}

impl Service {
    pub(crate) fn new(bound: Bound) -> Self {
        Self {
            allowance: Mutex::new(Allowance::new(bound)),
            ledger: Mutex::new(Ledger::new(bound)),
            owners: RwLock::default(),
            is_active: AtomicBool::new(false),
            has_read_members: AtomicBool::new(false),
            has_served: AtomicBool::new(false),
            has_had_owner: AtomicBool::new(false),
        }
    }

    /// Records that the rows of all instances were read.
    pub(crate) fn record_members_read(&self) {
        self.has_read_members.store(true, Ordering::Relaxed);
    }

    /// Records who is live; returns the other instances that own slots.
    pub(crate) fn refresh(&self, gateway: &Gateway, now: Duration) -> BTreeSet<id::Instance> {
        let environment = gateway.environment();
        let tenants = environment
            .as_ref()
            .and_then(|active| active.tenants.as_ref());
        let is_active = tenants.is_some_and(Directory::has_quotas);
        let was_active = self.is_active.swap(is_active, Ordering::Relaxed);
        if !is_active {
            if was_active {
                *self.ledger.lock() = Ledger::new(gateway.settings.quota);
                *self.owners.write() = Default::default();
            }
            return BTreeSet::new();
        }
        let own = &gateway.settings.instance;
        let may_own = !gateway.leaving.is_cancelled();
        let owners = gateway.members.quota_owners(may_own.then_some(own), now);
        let former = self.owners.read().clone();
        let left = |owner: Option<id::Instance>| {
            owner.is_some_and(|owner| gateway.members.is_leaving(&owner))
        };
        let is_same = former == owners;
        let view = View {
            owns: owners.each_ref().map(|owner| owner.as_ref() == Some(own)),
            inherits: former.map(left),
            reachable: gateway.members.live_count(now),
            all: gateway.members.share_count(now),
            report_time: gateway.members.report_time(),
            is_settled: self.is_settled(gateway, now),
        };
        self.ledger.lock().observe(&view, now);
        self.allowance.lock().sweep(now);
        let others = owners.iter().flatten().filter(|owner| *owner != own);
        let others = others.cloned().collect();
        if !is_same {
            *self.owners.write() = owners;
        }
        others
    }

    /// Whether an instance that has started may accept requests: if it reaches the owners, or
    /// after the time in which it should have. Before that it would refuse what is below the
    /// quota.
    pub(crate) fn may_serve(&self, gateway: &Gateway, tenants: Option<&Directory>) -> bool {
        if self.has_served.load(Ordering::Relaxed) {
            return true;
        }
        let own = &gateway.settings.instance;
        let reaches = |owner: &id::Instance| owner == own || gateway.links.get(owner).is_some();
        let owners = self.owners.read();
        let may_serve = !tenants.is_some_and(Directory::has_quotas)
            || owners
                .iter()
                .all(|owner| owner.as_ref().is_some_and(reaches))
            || self.is_settled(gateway, gateway.now());
        if may_serve {
            self.has_served.store(true, Ordering::Relaxed);
        }
        may_serve
    }

    // Whether the number of instances is known: all have registered, and their rows were read.
    fn knows_members(&self, gateway: &Gateway, now: Duration) -> bool {
        let has_registered = now.saturating_sub(gateway.started) >= REGISTER_TIME;
        let has_read = self.has_read_members.load(Ordering::Relaxed);
        (has_registered && has_read) || !gateway.is_settling(now)
    }

    // Whether the other instances have reported, or should have.
    fn is_settled(&self, gateway: &Gateway, now: Duration) -> bool {
        let has_heard = self.knows_members(gateway, now) && gateway.members.all_report();
        has_heard || !gateway.is_settling(now)
    }

    /// Returns the owner of a tenant's quota.
    pub(crate) fn owner(&self, tenant: &str) -> Option<id::Instance> {
        self.owners.read()[slot(tenant)].clone()
    }

    /// Grants tokens of a tenant, if this instance owns its slot and is past the takeover. One
    /// that leaves grants nothing, as its successor starts at once.
    pub(crate) fn grant(
        &self,
        gateway: &Gateway,
        asker: &str,
        limit: Limit<'_>,
        ask: &Ask,
        now: Duration,
    ) -> Option<Grant> {
        if gateway.leaving.is_cancelled() {
            return None;
        }
        self.ledger.lock().grant(asker, limit, ask, now)
    }

    /// Records that an owner has granted tokens to this instance.
    pub(crate) fn record_owner(&self) {
        self.has_had_owner.store(true, Ordering::Relaxed);
    }

    /// Returns what this instance needs to know for its equal share. No owner grants the part of
    /// an instance that has not been granted any since its start.
    pub(crate) fn share(&self, gateway: &Gateway, tenant: &str, now: Duration) -> Share {
        let members = &gateway.members;
        Share {
            position: members.share_position(&gateway.settings.instance, tenant, now),
            detection: if self.has_had_owner.load(Ordering::Relaxed) {
                members.detection_time()
            } else {
                Duration::ZERO
            },
            is_settled: self.knows_members(gateway, now),
        }
    }
}

/// Answers the ask of the peer `asker`.
pub(crate) fn serve(gateway: &Gateway, asker: &str, ask: mesh::QuotaAsk) -> mesh::QuotaGrant {
    let environment = gateway.environment();
    let tenants = environment
        .as_ref()
        .and_then(|active| active.tenants.as_ref());
    let tenant = tenants.and_then(|tenants| tenants.get(&ask.tenant));
    let quota = tenant.and_then(|tenant| tenant.quota);
    let wanted = Ask {
        costs: ask.costs,
        prefetch: ask.prefetch,
        refused: ask.refused,
        on_share: ask.on_share,
        timeout: Duration::ZERO,
    };
    let now = gateway.now();
    let grant = quota.as_ref().and_then(|quota| {
        let limit = Limit {
            tenant: &ask.tenant,
            quota,
        };
        gateway.quota.grant(gateway, asker, limit, &wanted, now)
    });
    let granting = grant.is_some();
    let grant = grant.unwrap_or_default();
    mesh::QuotaGrant {
        id: ask.id,
        granting,
        tokens: grant.tokens,
        expires_ms: millis(grant.lifetime),
        pause_ms: millis(grant.pause),
        retry_after_ms: millis(grant.retry_after),
        spread_ms: millis(grant.spread),
    }
}
