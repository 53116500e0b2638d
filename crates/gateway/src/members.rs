//! Membership: the other instances and their last reported state.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::runner_limit::Position;
use crate::topology::{self, Topology};
use crate::{id, quota, report_timing, span};

/// Minimum number of serving instances in a data centre with which its directory
/// omits those of other data centres.
const MIN_LOCAL_SERVING: usize = 4;
/// Time after its last report for which an instance counts in the division of
/// shared limits.
const SHARE_TTL: Duration = Duration::from_secs(30);

/// Time that a report takes to be sent and applied.
const REPORT_SLACK: Duration = Duration::from_millis(250);

/// Another instance and its last reported state.
#[derive(Clone, Debug)]
pub struct Member {
    /// Id of the current run of its process.
    pub incarnation: id::Incarnation,
    /// Address for connections of peers.
    pub peers: SocketAddr,
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Time of its last report; `None` if only its row or hello message is known.
    pub last_report: Option<Duration>,
    /// Whether it accepts requests of callers.
    pub is_ready: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Fencing token of the lease that it reports to hold, or 0.
    pub fencing: id::Fencing,
    /// Version of the lease row that it wrote last, and when that was reported
    /// first.
    pub lease: Option<(u64, Duration)>,
    /// Version of the lease row under which it reports to send no more orders, or 0.
    pub resigned: u64,
    /// Whether it reads the store's feed successfully.
    pub follows: bool,
    /// Version of its current environment.
    pub environment: u64,
    /// Revision of the newest registration that it has.
    pub registry: u64,
}

/// An instance that requests may be handed over to.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Whether it runs in the same data centre.
    pub is_local: bool,
}

/// Table of all other known instances.
#[derive(Debug)]
pub struct Members {
    data_centre: String,
    inner: Mutex<BTreeMap<id::Instance, Member>>,
    /// Highest fencing token that an instance has reported.
    highest_fencing: AtomicU64,
    /// Notified when a leader reports that it no longer is one.
    leader_left: Notify,
}

impl Members {
    /// Creates an empty table for an instance in `data_centre`.
    #[must_use]
    pub fn new(data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            inner: Mutex::default(),
            highest_fencing: AtomicU64::new(0),
            leader_left: Notify::new(),
        }
    }

    /// Waits until a leader reports that it no longer is one.
    pub async fn leader_left(&self) {
        self.leader_left.notified().await;
    }

    /// Adds an instance from its row in the store, unless it reports as another incarnation: the
    /// row may be of an earlier run if the store came back from a copy.
    pub fn insert_listed(&self, hello: &mesh::Hello, now: Duration) {
        if !self.is_live(&hello.instance, now) {
            self.insert(hello);
        }
    }

    fn is_live(&self, instance: &str, now: Duration) -> bool {
        let inner = self.inner.lock();
        let timeout = self.failure_timeout(&inner);
        let member = inner.get(instance);
        member.is_some_and(|member| member.is_live(now, timeout(member)))
    }

    /// Adds an instance from its hello message; returns whether the instance or its
    /// incarnation is new.
    pub fn insert(&self, hello: &mesh::Hello) -> bool {
        let (Ok(peers), Ok(callers)) = (hello.peers.parse(), hello.callers.parse()) else {
            return false;
        };
        let mut inner = self.inner.lock();
        let is_known = inner
            .get(&hello.instance)
            .is_some_and(|known| known.incarnation == hello.incarnation);
        if is_known {
            return false;
        }
        let member = Member {
            incarnation: hello.incarnation.clone(),
            peers,
            callers,
            data_centre: hello.data_centre.clone(),
            last_report: None,
            is_ready: false,
            is_leaving: false,
            fencing: 0,
            lease: None,
            resigned: 0,
            follows: false,
            environment: 0,
            registry: 0,
        };
        inner.insert(hello.instance.clone(), member);
        true
    }

    /// Updates an instance from a report. A report of another incarnation, or
    /// one older than the last, is ignored.
    pub fn update(&self, report: &mesh::Report, now: Duration) {
        let mut inner = self.inner.lock();
        let Some(member) = inner.get_mut(&report.hello.instance) else {
            return;
        };
        let at = now.saturating_sub(Duration::from_millis(report.age_ms));
        let is_older = member.last_report.is_some_and(|last| at < last);
        if member.incarnation != report.hello.incarnation || is_older {
            return;
        }
        member.last_report = Some(at);
        member.is_ready = report.ready;
        member.is_leaving = report.leaving;
        self.highest_fencing
            .fetch_max(report.keeper, Ordering::Relaxed);
        let was_leader = std::mem::replace(&mut member.fencing, report.keeper) > 0;
        if was_leader && report.keeper == 0 {
            self.leader_left.notify_waiters();
        }
        member.follows = report.follows;
        member.resigned = match report.keeper {
            0 => report.lease_version,
            _ => 0,
        };
        if report.lease_version > member.lease.map_or(0, |(version, _)| version) {
            member.lease = Some((report.lease_version, at));
        }
        member.environment = report.environment;
        member.registry = report.registry;
    }

    /// Returns the last reports of the other live instances of this data centre.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<mesh::Report> {
        let inner = self.inner.lock();
        let timeout = self.failure_timeout(&inner);
        inner
            .iter()
            .filter(|(_, member)| member.data_centre == self.data_centre)
            .filter(|(_, member)| member.is_live(now, timeout(member)))
            .map(|(instance, member)| member.report(instance, now))
            .collect()
    }

    /// Returns the other live instances of this data centre.
    #[must_use]
    pub fn live_local(&self, now: Duration) -> Vec<id::Instance> {
        let inner = self.inner.lock();
        let timeout = self.failure_timeout(&inner);
        inner
            .iter()
            .filter(|(_, member)| member.data_centre == self.data_centre)
            .filter(|(_, member)| member.is_live(now, timeout(member)))
            .map(|(instance, _)| instance.clone())
            .collect()
    }

    /// Whether the instance is in the same data centre.
    #[must_use]
    pub fn is_local(&self, instance: &str) -> bool {
        let inner = self.inner.lock();
        let member = inner.get(instance);
        member.is_some_and(|member| member.data_centre == self.data_centre)
    }

    /// Number of instances that exchange status messages with this one directly,
    /// including itself.
    #[must_use]
    pub fn group_size(&self) -> usize {
        let inner = self.inner.lock();
        self.local_group_size(&inner)
    }

    /// Selects the links of the instance at `own`, with those to the `owners` of quota slots.
    /// While it `is_settling`, instances that have not reported yet may be live.
    #[must_use]
    pub fn topology(
        &self,
        own: SocketAddr,
        owners: &BTreeSet<id::Instance>,
        is_settling: bool,
        now: Duration,
    ) -> Topology {
        let leader = self.leader(now).map(|(instance, _)| instance);
        let inner = self.inner.lock();
        let timeout = self.failure_timeout(&inner);
        let live = inner
            .iter()
            .filter(|(_, member)| member.is_live(now, timeout(member)))
            .map(|(instance, _)| instance.clone())
            .collect();
        topology::compute(&topology::View {
            own,
            data_centre: &self.data_centre,
            members: &inner,
            live: &live,
            leader: leader.as_ref(),
            owners,
            is_settling,
            now,
        })
    }

    fn local_group_size(&self, inner: &BTreeMap<id::Instance, Member>) -> usize {
        if !topology::is_hierarchical(inner.len() + 1) {
            return inner.len() + 1;
        }
        let local = inner
            .values()
            .filter(|member| member.data_centre == self.data_centre);
        local.count() + 1
    }

    // Time without a report after which a member is not live.
    fn failure_timeout(
        &self,
        inner: &BTreeMap<id::Instance, Member>,
    ) -> impl Fn(&Member) -> Duration {
        let local = report_timing::timeout(self.local_group_size(inner));
        let is_hierarchical = topology::is_hierarchical(inner.len() + 1);
        move |member| {
            if is_hierarchical && member.data_centre != self.data_centre {
                local + report_timing::SUMMARY_TIMEOUT
            } else {
                local
            }
        }
    }

    /// Returns a copy of the table.
    #[must_use]
    pub fn all(&self) -> BTreeMap<id::Instance, Member> {
        self.inner.lock().clone()
    }

    /// Returns the caller addresses of the live instances that accept requests.
    /// In a hierarchical topology, only those of this data centre if enough of
    /// them serve.
    #[must_use]
    pub fn caller_addresses(&self, now: Duration) -> Vec<SocketAddr> {
        let inner = self.inner.lock();
        let timeout = self.failure_timeout(&inner);
        let serving: Vec<_> = inner
            .values()
            .filter(|member| member.is_live(now, timeout(member)))
            .filter(|member| member.is_ready && !member.is_leaving)
            .collect();
        let local: Vec<_> = serving
            .iter()
            .filter(|member| member.data_centre == self.data_centre)
            .map(|member| member.callers)
            .collect();
        if topology::is_hierarchical(inner.len() + 1) && local.len() >= MIN_LOCAL_SERVING {
            return local;
        }
        serving.into_iter().map(|member| member.callers).collect()
    }

    /// Returns the live instances that accept requests.
    #[must_use]
    pub fn serving(&self, now: Duration) -> Vec<Peer> {
        let inner = self.inner.lock();
        let timeout = self.failure_timeout(&inner);
        inner
            .iter()
            .filter(|(_, member)| member.is_live(now, timeout(member)))
            .filter(|(_, member)| member.is_ready && !member.is_leaving)
            .map(|(instance, member)| Peer {
                instance: instance.clone(),
                callers: member.callers,
                is_local: member.data_centre == self.data_centre,
            })
            .collect()
    }

    /// Whether an instance with this incarnation is known.
    #[must_use]
    pub fn has_incarnation(&self, incarnation: &str) -> bool {
        let inner = self.inner.lock();
        inner
            .values()
            .any(|member| member.incarnation == incarnation)
    }

    /// Returns the live instance that reports to hold the lease with the highest
    /// fencing token, and the token.
    #[must_use]
    pub fn leader(&self, now: Duration) -> Option<(id::Instance, id::Fencing)> {
        let inner = self.inner.lock();
        let timeout = self.failure_timeout(&inner);
        inner
            .iter()
            .filter(|(_, member)| member.is_live(now, timeout(member)) && member.fencing > 0)
            .max_by_key(|(_, member)| member.fencing)
            .map(|(instance, member)| (instance.clone(), member.fencing))
    }

    /// Returns the highest fencing token that an instance has reported, also in the past.
    #[must_use]
    pub fn highest_fencing(&self) -> id::Fencing {
        self.highest_fencing.load(Ordering::Relaxed)
    }

    /// Returns the newest reported version of the lease row, and when it was
    /// reported.
    #[must_use]
    pub fn newest_lease(&self) -> Option<(u64, Duration)> {
        let inner = self.inner.lock();
        inner.values().filter_map(|member| member.lease).max()
    }

    /// Returns the newest reported version of the lease row, if its holder has reported
    /// that it sends no more orders under it.
    #[must_use]
    pub fn resigned_lease(&self) -> Option<u64> {
        let inner = self.inner.lock();
        let newest = inner.values().filter_map(|member| member.lease).max();
        let resigned = inner.values().map(|member| member.resigned).max();
        let (newest, _) = newest?;
        resigned.filter(|version| *version == newest)
    }

    /// Newest revision of the registrations at the instances that have reported within
    /// `window`; `None` if there are none, or if one of them has not reported after `since`.
    #[must_use]
    pub fn registry_of_all(&self, window: Duration, since: Duration, now: Duration) -> Option<u64> {
        let inner = self.inner.lock();
        let recent = inner
            .values()
            .filter(|member| member.is_live(now, window) && !member.is_leaving);
        let reported = recent.map(|member| {
            let is_new = member.last_report.is_some_and(|last| last > since);
            is_new.then_some(member.registry)
        });
        reported.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Returns the newest revision of the registrations that a live instance reports.
    #[must_use]
    pub fn newest_registry(&self, now: Duration) -> u64 {
        let inner = self.inner.lock();
        let timeout = self.failure_timeout(&inner);
        let live = inner
            .values()
            .filter(|member| member.is_live(now, timeout(member)));
        live.map(|member| member.registry).max().unwrap_or_default()
    }

    /// Returns the live instances, except the leader, that follow the store and
    /// report to this one directly.
    #[must_use]
    pub fn followers(&self, now: Duration) -> Vec<id::Instance> {
        let inner = self.inner.lock();
        let timeout = self.failure_timeout(&inner);
        let is_hierarchical = topology::is_hierarchical(inner.len() + 1);
        let following = inner
            .iter()
            .filter(|(_, member)| !is_hierarchical || member.data_centre == self.data_centre)
            .filter(|(_, member)| member.is_live(now, timeout(member)))
            .filter(|(_, member)| member.follows && member.fencing == 0);
        following.map(|(instance, _)| instance.clone()).collect()
    }

    /// Whether the instance reported that it follows the store.
    #[must_use]
    pub fn is_follower(&self, instance: &str) -> bool {
        let inner = self.inner.lock();
        inner.get(instance).is_some_and(|member| member.follows)
    }

    /// Returns the owners of the quota slots: instances that are live and not leaving, among
    /// them `own` if it is given. They need not be ready, which waits for the owners.
    #[must_use]
    pub fn quota_owners(
        &self,
        own: Option<&id::Instance>,
        now: Duration,
    ) -> [Option<id::Instance>; quota::SLOTS] {
        let inner = self.inner.lock();
        let timeout = self.failure_timeout(&inner);
        let candidates = inner
            .iter()
            .filter(|(_, member)| member.is_live(now, timeout(member)))
            .filter(|(_, member)| !member.is_leaving)
            .map(|(instance, _)| instance);
        quota::owners(candidates.chain(own)).map(Option::<&_>::cloned)
    }

    /// Whether the instance has reported that it is shutting down.
    #[must_use]
    pub fn is_leaving(&self, instance: &str) -> bool {
        let inner = self.inner.lock();
        inner.get(instance).is_some_and(|member| member.is_leaving)
    }

    /// Number of live instances, this one included.
    #[must_use]
    pub fn live_count(&self, now: Duration) -> usize {
        let inner = self.inner.lock();
        let timeout = self.failure_timeout(&inner);
        let is_live = |member: &&Member| member.is_live(now, timeout(member));
        1 + inner.values().filter(is_live).count()
    }

    /// Longest time until a change at one instance is known to all that are in touch.
    #[must_use]
    pub fn report_time(&self) -> Duration {
        let inner = self.inner.lock();
        let local = report_timing::max_interval(self.local_group_size(&inner)) + REPORT_SLACK;
        if topology::is_hierarchical(inner.len() + 1) {
            local + report_timing::SUMMARY_INTERVAL
        } else {
            local
        }
    }

    /// Time after which an instance that is out of reach counts as such here, wherever it is.
    #[must_use]
    pub fn detection_time(&self) -> Duration {
        let inner = self.inner.lock();
        let local = report_timing::timeout(self.local_group_size(&inner));
        if topology::is_hierarchical(inner.len() + 1) {
            local + report_timing::SUMMARY_TIMEOUT
        } else {
            local
        }
    }

    /// Whether all other known instances have reported.
    #[must_use]
    pub fn all_report(&self) -> bool {
        let inner = self.inner.lock();
        inner.values().all(|member| member.last_report.is_some())
    }

    /// Number of instances that shared limits are divided among: this one and all
    /// others, except those whose last report is older than `SHARE_TTL`.
    #[must_use]
    pub fn share_count(&self, now: Duration) -> usize {
        let inner = self.inner.lock();
        1 + sharers(&inner, now).count()
    }

    /// Position of the instance `own` among those that share the limit of `runner`. The
    /// order differs between runners and is the same at all instances.
    #[must_use]
    pub fn share_position(&self, own: &str, runner: &str, now: Duration) -> Position {
        let inner = self.inner.lock();
        let weight = |instance: &str| {
            let mut hasher = DefaultHasher::new();
            (runner, instance).hash(&mut hasher);
            hasher.finish()
        };
        let mut position = Position {
            rank: 0,
            instances: 1,
        };
        for instance in sharers(&inner, now) {
            position.instances += 1;
            position.rank += usize::from(weight(instance) > weight(own));
        }
        position
    }
}

// The other instances that shared limits are divided among.
fn sharers(
    members: &BTreeMap<id::Instance, Member>,
    now: Duration,
) -> impl Iterator<Item = &id::Instance> {
    members
        .iter()
        .filter(move |(_, member)| {
            member
                .last_report
                .is_none_or(|last| now.saturating_sub(last) < SHARE_TTL)
        })
        .map(|(instance, _)| instance)
}

impl Member {
    fn report(&self, instance: &str, now: Duration) -> mesh::Report {
        let age = self.last_report.map(|last| now.saturating_sub(last));
        mesh::Report {
            hello: mesh::Hello {
                instance: instance.to_owned(),
                incarnation: self.incarnation.clone(),
                peers: self.peers.to_string(),
                callers: self.callers.to_string(),
                data_centre: self.data_centre.clone(),
            },
            age_ms: age.map_or(u64::MAX, span::millis),
            ready: self.is_ready,
            leaving: self.is_leaving,
            environment: self.environment,
            registry: self.registry,
            keeper: self.fencing,
            lease_version: match (self.fencing, self.lease) {
                (0, _) | (_, None) => self.resigned,
                (_, Some((version, _))) => version,
            },
            follows: self.follows,
        }
    }

    /// Whether its last report is newer than `timeout`.
    #[must_use]
    pub fn is_live(&self, now: Duration, timeout: Duration) -> bool {
        self.last_report
            .is_some_and(|last| now.saturating_sub(last) < timeout)
    }
}
