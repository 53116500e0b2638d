//! What an instance grants to the others for the slots that it owns.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_wire::gateway::Quota as Bound;

use crate::id;
use crate::quota::account::Account;
use crate::quota::limit;
use crate::quota::owner::slot;
use crate::quota::standing::Standing;
use crate::quota::{Ask, Grant, Limit, SLOTS, TAKEOVER_TIME, View};

/// Time without an update after which the process may have been suspended, while another
/// instance became the owner.
const SUSPENSION_TIME: Duration = Duration::from_secs(1);
/// Part of what the bound leaves beyond the quota by which buckets are larger than the burst, so
/// that a few requests larger than the burst are served together.
const HEADROOM_PART: f64 = 0.25;
/// Interval at which idle accounts are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Tokens that this instance grants as the owner of slots.
#[derive(Debug)]
pub struct Ledger {
    bound: Bound,
    takeover: Duration,
    standings: [Option<Standing>; SLOTS],
    accounts: BTreeMap<id::Tenant, Account>,
    /// Equal share of one instance.
    share: f64,
    /// Time since which all instances are in touch.
    complete_since: Option<Duration>,
    observed_at: Duration,
    swept_at: Duration,
}

impl Ledger {
    /// Creates a ledger that grants nothing yet.
    #[must_use]
    pub fn new(bound: Bound) -> Self {
        Self::with_takeover(bound, TAKEOVER_TIME)
    }

    /// Creates a ledger whose parts grow after `takeover`.
    #[must_use]
    pub fn with_takeover(bound: Bound, takeover: Duration) -> Self {
        Self {
            bound,
            takeover,
            standings: [const { None }; SLOTS],
            accounts: BTreeMap::new(),
            share: 0.0,
            complete_since: None,
            observed_at: Duration::ZERO,
            swept_at: Duration::ZERO,
        }
    }

    /// Records what this instance sees of the others; called several times a second.
    pub fn observe(&mut self, view: &View, now: Duration) {
        self.check_suspension(now);
        self.observed_at = now;
        let fraction = view.fraction();
        self.share = view.share();
        let takeover = self.takeover(view, now);
        let mut has_lost = false;
        for (slot, (standing, owns)) in self.standings.iter_mut().zip(view.owns).enumerate() {
            if !owns {
                if standing.take().is_some() {
                    has_lost = true;
                    log::info!(slot; "no longer the owner of a quota slot");
                }
                continue;
            }
            let inherits = view.inherits[slot];
            let standing = standing.get_or_insert_with(|| {
                log::info!(slot, inherited = inherits; "owner of a quota slot");
                if inherits {
                    Standing::inherited()
                } else {
                    Standing::new(now)
                }
            });
            standing.observe(fraction, takeover, now);
        }
        if now.saturating_sub(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.accounts.retain(|_, account| !account.is_idle(now));
        }
        if has_lost {
            let standings = &self.standings;
            self.accounts
                .retain(|tenant, _| granting(standings, tenant).is_some());
        }
    }

    /// Grants tokens to the instance `asker`; returns `None` if this instance does not grant
    /// any of that tenant.
    pub fn grant(
        &mut self,
        asker: &str,
        limit: Limit<'_>,
        ask: &Ask,
        now: Duration,
    ) -> Option<Grant> {
        self.check_suspension(now);
        let Limit { tenant, quota } = limit;
        let (fraction, since) = granting(&self.standings, tenant)?;
        let cap = quota.burst + limit::spare(quota, &self.bound) * HEADROOM_PART;
        if !self.accounts.contains_key(tenant) {
            let account = Account::new(quota.rate * fraction, cap * fraction, since);
            self.accounts.insert(tenant.to_owned(), account);
        }
        let account = self.accounts.get_mut(tenant)?;
        account.record_asker(asker, ask, now);
        let fraction = (fraction - self.share * account.on_share()).max(0.0);
        account.resize(quota.rate * fraction, cap * fraction, now);
        Some(account.grant(ask, now))
    }

    // Time after which a larger part is granted. While all instances are in touch, views differ
    // only by reports on their way, and not by failures that some have not noticed yet.
    fn takeover(&mut self, view: &View, now: Duration) -> Duration {
        if !view.is_complete() {
            self.complete_since = None;
            return self.takeover;
        }
        let since = *self.complete_since.get_or_insert(now);
        if now.saturating_sub(since) < view.report_time {
            return self.takeover;
        }
        self.takeover.min(view.report_time)
    }

    // Another instance may have become the owner while this process was suspended.
    fn check_suspension(&mut self, now: Duration) {
        if now.saturating_sub(self.observed_at) >= SUSPENSION_TIME {
            self.standings = [const { None }; SLOTS];
            self.complete_since = None;
            self.accounts.clear();
        }
    }
}

// Part of the tenant's quota that is granted, and since when there is one.
fn granting(standings: &[Option<Standing>; SLOTS], tenant: &str) -> Option<(f64, Duration)> {
    let standing = standings[slot(tenant)].as_ref()?;
    Some((standing.fraction(), standing.granting_since?))
}
