//! The other gateways, as this one last heard of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;

use crate::topology::{self, Topology};
use crate::{forward, id, report_timing};

/// Instances of a data centre that are enough for its callers.
const ENOUGH_NEAR: usize = 4;
/// Time for which an instance counts in the shares of common limits.
const SHARE_TTL: Duration = Duration::from_secs(30);

/// One instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Run of its process.
    pub incarnation: id::Incarnation,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// When it was heard last; `None` if only its row is known.
    pub last_report: Option<Duration>,
    /// Whether callers may be sent to it.
    pub is_ready: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Fencing number of the lease that it says it holds, or 0.
    pub fencing: id::Fencing,
    /// Version of the lease row that it wrote last, and when that was heard first.
    pub lease: Option<(u64, Duration)>,
    /// Whether it reads the store's feed, and the store answers.
    pub follows: bool,
    /// Version of its environment.
    pub environment: u64,
    /// Newest registration that it knows.
    pub registry: u64,
}

/// All other instances.
#[derive(Debug)]
pub struct Members {
    data_centre: String,
    inner: Mutex<BTreeMap<id::Instance, Member>>,
}

impl Members {
    /// Starts without any, for an instance in `data_centre`.
    #[must_use]
    pub fn new(data_centre: &str) -> Self {
        Self {
            data_centre: data_centre.to_owned(),
            inner: Mutex::default(),
        }
    }

    /// Learns of an instance by its greeting or its row; returns whether it is new.
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
            follows: false,
            environment: 0,
            registry: 0,
        };
        inner.insert(hello.instance.clone(), member);
        true
    }

    /// Records a report of a run of an instance, unless a newer one is known.
    pub fn update(&self, report: &mesh::Report, now: Duration) {
        let mut inner = self.inner.lock();
        let Some(member) = inner.get_mut(&report.hello.instance) else {
            return;
        };
        let at = now.saturating_sub(Duration::from_millis(report.age_ms));
        let is_older = member.last_report.is_some_and(|heard| at < heard);
        if member.incarnation != report.hello.incarnation || is_older {
            return;
        }
        member.last_report = Some(at);
        member.is_ready = report.ready;
        member.is_leaving = report.leaving;
        member.fencing = report.keeper;
        member.follows = report.follows;
        if report.lease_version > member.lease.map_or(0, |(version, _)| version) {
            member.lease = Some((report.lease_version, at));
        }
        member.environment = report.environment;
        member.registry = report.registry;
    }

    /// Last reports of the live instances of this data centre.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<mesh::Report> {
        let inner = self.inner.lock();
        let silence = self.silence(&inner);
        inner
            .iter()
            .filter(|(_, member)| member.data_centre == self.data_centre)
            .filter(|(_, member)| member.is_live(now, silence(member)))
            .map(|(instance, member)| member.report(instance, now))
            .collect()
    }

    /// Live instances of this data centre.
    #[must_use]
    pub fn live_local(&self, now: Duration) -> Vec<id::Instance> {
        let inner = self.inner.lock();
        let silence = self.silence(&inner);
        inner
            .iter()
            .filter(|(_, member)| member.data_centre == self.data_centre)
            .filter(|(_, member)| member.is_live(now, silence(member)))
            .map(|(instance, _)| instance.clone())
            .collect()
    }

    /// Whether the instance is in this data centre.
    #[must_use]
    pub fn is_local(&self, instance: &str) -> bool {
        let inner = self.inner.lock();
        let member = inner.get(instance);
        member.is_some_and(|member| member.data_centre == self.data_centre)
    }

    /// Instances that this one reports to, itself included.
    #[must_use]
    pub fn audience(&self) -> usize {
        let inner = self.inner.lock();
        self.near_count(&inner)
    }

    /// The links that the instance at `own` keeps.
    #[must_use]
    pub fn topology(&self, own: SocketAddr, now: Duration) -> Topology {
        let leader = self.leader(now).map(|(instance, _)| instance);
        let inner = self.inner.lock();
        let silence = self.silence(&inner);
        let live = inner
            .iter()
            .filter(|(_, member)| member.is_live(now, silence(member)))
            .map(|(instance, _)| instance.clone())
            .collect();
        topology::compute(&topology::View {
            own,
            data_centre: &self.data_centre,
            members: &inner,
            live: &live,
            leader: leader.as_ref(),
            now,
        })
    }

    fn near_count(&self, inner: &BTreeMap<id::Instance, Member>) -> usize {
        if !topology::is_hierarchical(inner.len() + 1) {
            return inner.len() + 1;
        }
        let near = inner
            .values()
            .filter(|member| member.data_centre == self.data_centre);
        near.count() + 1
    }

    // Time without a report after which a member counts as silent.
    fn silence(&self, inner: &BTreeMap<id::Instance, Member>) -> impl Fn(&Member) -> Duration {
        let near = report_timing::timeout(self.near_count(inner));
        let is_hierarchical = topology::is_hierarchical(inner.len() + 1);
        move |member| {
            if is_hierarchical && member.data_centre != self.data_centre {
                near + report_timing::SUMMARY_TIMEOUT
            } else {
                near
            }
        }
    }

    /// All known instances.
    #[must_use]
    pub fn all(&self) -> BTreeMap<id::Instance, Member> {
        self.inner.lock().clone()
    }

    /// Addresses for callers of the instances that take requests. Where there are
    /// many, only those of this data centre are named if enough of them serve.
    #[must_use]
    pub fn caller_addresses(&self, now: Duration) -> Vec<SocketAddr> {
        let inner = self.inner.lock();
        let silence = self.silence(&inner);
        let serving: Vec<_> = inner
            .values()
            .filter(|member| member.is_live(now, silence(member)))
            .filter(|member| member.is_ready && !member.is_leaving)
            .collect();
        let near: Vec<_> = serving
            .iter()
            .filter(|member| member.data_centre == self.data_centre)
            .map(|member| member.callers)
            .collect();
        if topology::is_hierarchical(inner.len() + 1) && near.len() >= ENOUGH_NEAR {
            return near;
        }
        serving.into_iter().map(|member| member.callers).collect()
    }

    /// The live instance that holds the lease with the highest fencing number.
    #[must_use]
    pub fn leader(&self, now: Duration) -> Option<(id::Instance, id::Fencing)> {
        let inner = self.inner.lock();
        let silence = self.silence(&inner);
        inner
            .iter()
            .filter(|(_, member)| member.is_live(now, silence(member)) && member.fencing > 0)
            .max_by_key(|(_, member)| member.fencing)
            .map(|(instance, member)| (instance.clone(), member.fencing))
    }

    /// Newest version of the lease row that any instance told of, and when.
    #[must_use]
    pub fn newest_lease(&self) -> Option<(u64, Duration)> {
        let inner = self.inner.lock();
        inner.values().filter_map(|member| member.lease).max()
    }

    /// Live instances that follow the store beside the leader and that this one
    /// hears from directly.
    #[must_use]
    pub fn followers(&self, now: Duration) -> Vec<id::Instance> {
        let inner = self.inner.lock();
        let silence = self.silence(&inner);
        let is_hierarchical = topology::is_hierarchical(inner.len() + 1);
        let following = inner
            .iter()
            .filter(|(_, member)| !is_hierarchical || member.data_centre == self.data_centre)
            .filter(|(_, member)| member.is_live(now, silence(member)))
            .filter(|(_, member)| member.follows && member.fencing == 0);
        following.map(|(instance, _)| instance.clone()).collect()
    }

    /// Whether the instance follows the store itself.
    #[must_use]
    pub fn is_follower(&self, instance: &str) -> bool {
        let inner = self.inner.lock();
        inner.get(instance).is_some_and(|member| member.follows)
    }

    /// Instances that may be sending retries, this one included.
    #[must_use]
    pub fn share_count(&self, now: Duration) -> usize {
        let inner = self.inner.lock();
        let others = inner.values().filter(|member| {
            member
                .last_report
                .is_none_or(|heard| now.saturating_sub(heard) < SHARE_TTL)
        });
        1 + others.count()
    }
}

impl Member {
    fn report(&self, instance: &str, now: Duration) -> mesh::Report {
        let age = self.last_report.map(|heard| now.saturating_sub(heard));
        mesh::Report {
            hello: mesh::Hello {
                instance: instance.to_owned(),
                incarnation: self.incarnation.clone(),
                peers: self.peers.to_string(),
                callers: self.callers.to_string(),
                data_centre: self.data_centre.clone(),
            },
            age_ms: age.map_or(u64::MAX, forward::millis),
            ready: self.is_ready,
            leaving: self.is_leaving,
            environment: self.environment,
            registry: self.registry,
            keeper: self.fencing,
            lease_version: self.lease.map_or(0, |(version, _)| version),
            follows: self.follows,
        }
    }

    /// Whether it was heard within `silence`.
    #[must_use]
    pub fn is_live(&self, now: Duration, silence: Duration) -> bool {
        self.last_report
            .is_some_and(|heard| now.saturating_sub(heard) < silence)
    }
}
