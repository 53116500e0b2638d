//! What a registry knows of the runners, behind its lock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use almondbank_wire::mesh;

use crate::grace::Grace;
use crate::id;
use crate::leaving::Leaving;
use crate::outage::Outage;
use crate::protocol::Protocol;
use crate::registered::{LAPSE_TIME, Runner};

/// Time for which a removed registration is kept as a tombstone, so that an older
/// copy from a peer does not restore it.
pub(crate) const TOMBSTONE_TTL: Duration = Duration::from_mins(1);
/// Time after a failed read of the store in which a removal may be an effect of
/// the outage.
const OUTAGE_WINDOW: Duration = Duration::from_secs(2);

/// Known runners, and when the store listed them.
#[derive(Debug, Default)]
pub(crate) struct Entries {
    pub(crate) runners: BTreeMap<id::Runner, Runner>,
    pub(crate) newest: u64,
    pub(crate) leaving: Leaving,
    pub(crate) outage: Outage,
    /// Time at which the full list of registrations was read first.
    pub(crate) loaded_at: Option<Duration>,
    /// Protocol of the requests to runners; without one, any runner can be named in them.
    pub(crate) protocol: Option<Arc<dyn Protocol>>,
    /// Registered runners that are not used, as no request can name them.
    unnamed: BTreeSet<id::Runner>,
}

impl Entries {
    pub(crate) fn put(&mut self, registration: mesh::Registration, now: Duration) {
        self.newest = self.newest.max(registration.revision);
        let Ok(address) = registration.address.parse() else {
            return;
        };
        if !self.can_expect(&registration.runner) {
            return;
        }
        if let Some(known) = self.runners.get_mut(&registration.runner)
            && known.is_newer_than(&registration)
        {
            known.relist(&registration, now);
            return;
        }
        log::debug!(
            runner = registration.runner.as_str(), revision = registration.revision,
            draining = registration.draining, models = registration.models.len();
            "registration updated"
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
        let is_leaving = self
            .leaving
            .contains(&registration.runner, registration.born_ms);
        let runner = Runner {
            address,
            leaves_at,
            is_leaving,
            removed_at: None,
            removed_by: 0,
            grace: None,
            relisted: None,
            loaded: BTreeSet::new(),
            unserved: BTreeMap::new(),
            registration: Arc::new(registration),
        };
        self.runners.insert(runner.id().clone(), runner);
    }

    // Whether requests can name the runner. One that they cannot is logged when it registers.
    fn can_expect(&mut self, runner: &str) -> bool {
        let protocol = self.protocol.as_ref();
        let can_expect = protocol.is_none_or(|protocol| protocol.can_expect(runner));
        if !can_expect && self.unnamed.insert(runner.to_owned()) {
            log::warn!(runner; "no request can name the runner; it is not used");
        }
        can_expect
    }

    // Registrations of live runners may expire in an outage of the store. They are back soon
    // after its end, so a runner that is removed stays usable until then.
    pub(crate) fn remove(
        &mut self,
        runner: &str,
        revision: u64,
        now: Duration,
        reconcile: Duration,
    ) {
        let failed_lately = self.outage.has_failed_within(OUTAGE_WINDOW, now);
        let outage_end = self.outage.end(now);
        self.unnamed.remove(runner);
        let Some(runner) = self.runners.get_mut(runner) else {
            return;
        };
        if runner
            .relisted
            .is_some_and(|(relisted, _)| revision > relisted)
        {
            runner.relisted = None;
        }
        if runner.removed_at.is_some() || revision < runner.registration.revision {
            return;
        }
        runner.removed_at = Some(now);
        runner.removed_by = revision;
        runner.grace = failed_lately.then(|| Grace::Until(outage_end + reconcile));
        log::info!(
            runner = runner.registration.runner.as_str(), store_failed_lately = failed_lately;
            "registration removed"
        );
    }

    pub(crate) fn graces(&mut self) -> impl Iterator<Item = &mut Grace> {
        let runners = self.runners.values_mut();
        runners.filter_map(|runner| runner.grace.as_mut())
    }

    // Returns whether any runner is usable again.
    pub(crate) fn readmit(&mut self, now: Duration) -> bool {
        // A registration may lapse in an outage without a notice.
        if self.outage.has_failed_within(LAPSE_TIME, now) {
            return false;
        }
        let mut is_changed = false;
        for runner in self.runners.values_mut() {
            is_changed |= runner.readmit(now);
        }
        is_changed
    }

    pub(crate) fn purge_tombstones(&mut self, now: Duration) {
        self.readmit(now);
        self.leaving.expire(now);
        self.runners.retain(|_, runner| {
            let is_recent = |removed| now.saturating_sub(removed) < TOMBSTONE_TTL;
            runner.removed_at.is_none_or(is_recent) || runner.is_usable(now)
        });
    }
}
