//! The other gateways, as this one last heard of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use almondbank_wire::mesh;
use parking_lot::Mutex;

use crate::{id, pace};

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
    pub heard: Option<Duration>,
    /// Whether callers may be sent to it.
    pub is_ready: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Fencing number of the lease that it says it holds, or 0.
    pub keeper: id::Fencing,
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
#[derive(Debug, Default)]
pub struct Members {
    inner: Mutex<BTreeMap<id::Instance, Member>>,
}

impl Members {
    /// Learns of an instance by its greeting or its row; returns whether it is new.
    pub fn learn(&self, hello: &mesh::Hello) -> bool {
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
            heard: None,
            is_ready: false,
            is_leaving: false,
            keeper: 0,
            lease: None,
            follows: false,
            environment: 0,
            registry: 0,
        };
        inner.insert(hello.instance.clone(), member);
        true
    }

    /// Records a report of a run of `instance`.
    pub fn hear(&self, hello: &mesh::Hello, status: &mesh::Status, now: Duration) {
        let mut inner = self.inner.lock();
        let Some(member) = inner.get_mut(&hello.instance) else {
            return;
        };
        if member.incarnation != hello.incarnation {
            return;
        }
        member.heard = Some(now);
        member.is_ready = status.ready;
        member.is_leaving = status.leaving;
        member.keeper = status.keeper;
        member.follows = status.follows;
        if status.lease_version > member.lease.map_or(0, |(version, _)| version) {
            member.lease = Some((status.lease_version, now));
        }
        member.environment = status.environment;
        member.registry = status.registry;
    }

    /// All known instances.
    #[must_use]
    pub fn all(&self) -> BTreeMap<id::Instance, Member> {
        self.inner.lock().clone()
    }

    /// Addresses for callers of the instances that take requests.
    #[must_use]
    pub fn serving(&self, now: Duration) -> Vec<SocketAddr> {
        let inner = self.inner.lock();
        let silence = pace::silence(inner.len() + 1);
        inner
            .values()
            .filter(|member| member.is_live(now, silence) && member.is_ready && !member.is_leaving)
            .map(|member| member.callers)
            .collect()
    }

    /// The live instance that holds the lease with the highest fencing number.
    #[must_use]
    pub fn keeper(&self, now: Duration) -> Option<(id::Instance, id::Fencing)> {
        let inner = self.inner.lock();
        let silence = pace::silence(inner.len() + 1);
        inner
            .iter()
            .filter(|(_, member)| member.is_live(now, silence) && member.keeper > 0)
            .max_by_key(|(_, member)| member.keeper)
            .map(|(instance, member)| (instance.clone(), member.keeper))
    }

    /// Newest version of the lease row that any instance told of, and when.
    #[must_use]
    pub fn lease(&self) -> Option<(u64, Duration)> {
        let inner = self.inner.lock();
        inner.values().filter_map(|member| member.lease).max()
    }

    /// Live instances that follow the store.
    #[must_use]
    pub fn followers(&self, now: Duration) -> Vec<id::Instance> {
        let inner = self.inner.lock();
        let silence = pace::silence(inner.len() + 1);
        let following = inner
            .iter()
            .filter(|(_, member)| member.is_live(now, silence) && member.follows);
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
                .heard
                .is_none_or(|heard| now.saturating_sub(heard) < SHARE_TTL)
        });
        1 + others.count()
    }
}

impl Member {
    /// Whether it was heard within `silence`.
    #[must_use]
    pub fn is_live(&self, now: Duration, silence: Duration) -> bool {
        self.heard
            .is_some_and(|heard| now.saturating_sub(heard) < silence)
    }
}
