//! Claims at the other instances, by their reports.

use std::collections::BTreeMap;
use std::time::Duration;

use almondbank_wire::mesh;

use crate::fair_share::{Claim, MAX_REPORTED, Scope};
use crate::id;
use crate::in_flight::REPORT_TTL;

/// Claims at the other instances.
#[derive(Debug, Default)]
pub(super) struct Peers {
    instances: BTreeMap<id::Instance, Report>,
    /// Last summaries of other data centres.
    data_centres: BTreeMap<String, Report>,
}

#[derive(Debug)]
struct Report {
    at: Duration,
    claims: BTreeMap<Claim, Reported>,
}

/// Reported requests of one claim.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reported {
    pub(super) in_flight: u64,
    /// Requests that wait or were refused recently.
    pub(super) waiting: u64,
}

/// Requests of one claim at all other instances.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Others {
    /// Wanted at the instances whose name comes before that of this one.
    pub(super) before: u64,
    /// Wanted at the other instances and data centres.
    pub(super) after: u64,
    pub(super) in_flight: u64,
    /// Number of reports with unserved requests of the claim.
    pub(super) contenders: u64,
}

impl Peers {
    pub(super) fn set(&mut self, instance: &str, claims: &[mesh::Claim], now: Duration) {
        set(&mut self.instances, instance, claims, now);
    }

    pub(super) fn set_data_centre(&mut self, name: &str, claims: &[mesh::Claim], now: Duration) {
        set(&mut self.data_centres, name, claims, now);
    }

    /// Returns what all others claim of a scope, and the age of the oldest report of it.
    pub(super) fn view(
        &mut self,
        own: &str,
        scope: &Scope,
        now: Duration,
    ) -> (BTreeMap<(u8, id::Tenant), Others>, Duration) {
        self.instances.retain(|_, report| !report.is_expired(now));
        self.data_centres
            .retain(|_, report| !report.is_expired(now));
        let mut others: BTreeMap<_, Others> = BTreeMap::new();
        let mut oldest = Duration::ZERO;
        let instances = self.instances.iter();
        let instances = instances.map(|(name, report)| (name.as_str() < own, report));
        let data_centres = self.data_centres.values().map(|report| (false, report));
        for (is_before, report) in instances.chain(data_centres) {
            for (claim, reported) in Claim::of_scope(&report.claims, scope) {
                oldest = oldest.max(now.saturating_sub(report.at));
                let entry = others.entry((claim.rank, claim.tenant.clone()));
                entry.or_default().add(*reported, is_before);
            }
        }
        (others, oldest)
    }

    /// Adds the claims of the instances that report directly.
    pub(super) fn add_local(&self, claims: &mut BTreeMap<Claim, Reported>, now: Duration) {
        let reports = self.instances.values();
        for report in reports.filter(|report| !report.is_expired(now)) {
            for (claim, reported) in &report.claims {
                let total = claims.entry(claim.clone()).or_default();
                total.in_flight += reported.in_flight;
                total.waiting += reported.waiting;
            }
        }
    }
}

// An empty report is not kept: without tenants there are no others.
fn set(reports: &mut BTreeMap<String, Report>, name: &str, claims: &[mesh::Claim], now: Duration) {
    if claims.is_empty() {
        reports.remove(name);
        return;
    }
    let claims = claims.iter().take(MAX_REPORTED).map(|claim| {
        let reported = Reported {
            in_flight: claim.in_flight,
            waiting: claim.waiting,
        };
        (Claim::from(claim), reported)
    });
    let report = Report {
        at: now,
        claims: claims.collect(),
    };
    reports.insert(name.to_owned(), report);
}

impl Report {
    fn is_expired(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) > REPORT_TTL
    }
}

impl Reported {
    pub(super) fn wanted(self) -> u64 {
        self.in_flight.saturating_add(self.waiting)
    }
}

impl Others {
    pub(super) fn wanted(self) -> u64 {
        self.before.saturating_add(self.after)
    }

    fn add(&mut self, reported: Reported, is_before: bool) {
        let side = if is_before {
            &mut self.before
        } else {
            &mut self.after
        };
        *side = side.saturating_add(reported.wanted());
        self.in_flight = self.in_flight.saturating_add(reported.in_flight);
        self.contenders += u64::from(reported.waiting > 0);
    }
}
