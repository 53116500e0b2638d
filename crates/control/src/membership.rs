//! The other instances, as known from their rows, their messages and the roster.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use almondbank_port::roster::{State, Vms};
use almondbank_wire::{id, peer, row};
use parking_lot::Mutex;

/// Time without a message after which an instance counts as down.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time missing from the roster after which an instance that was never listed
/// counts as gone.
const UNLISTED_TIMEOUT: Duration = Duration::from_mins(2);
const INCARNATION_SEPARATOR: char = '-';

/// Another instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Id of the current run of its process.
    pub incarnation: id::Incarnation,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Time of the last message from it; `None` if only its row is known.
    pub last_contact: Option<Duration>,
    /// Last heartbeat received from it.
    pub heartbeat: Option<peer::Heartbeat>,
}

impl Member {
    fn is_live(&self, now: Duration) -> bool {
        self.last_contact
            .is_some_and(|at| now.saturating_sub(at) < HEARTBEAT_TIMEOUT)
    }

    fn is_leaving(&self) -> bool {
        self.heartbeat
            .as_ref()
            .is_some_and(|heartbeat| heartbeat.leaving)
    }
}

/// All other instances that this one knows.
#[derive(Debug, Default)]
pub struct Members {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    members: BTreeMap<id::Instance, Member>,
    listed: BTreeMap<id::Instance, Listing>,
    vms: Option<Vms>,
}

#[derive(Clone, Copy, Debug)]
struct Listing {
    missing_since: Option<Duration>,
    ever_listed: bool,
}

/// Creates a random incarnation id for `instance`.
#[must_use]
pub fn incarnation(instance: &str) -> id::Incarnation {
    let run: u64 = rand::random();
    format!("{instance}{INCARNATION_SEPARATOR}{run:016x}")
}

/// The instance that an incarnation id belongs to.
#[must_use]
pub fn instance_of(incarnation: &str) -> &str {
    incarnation
        .rsplit_once(INCARNATION_SEPARATOR)
        .map_or(incarnation, |(instance, _)| instance)
}

impl Members {
    /// Adds an instance from its row, unless a message from it was received.
    pub fn add_from_row(&self, member: &row::Member) {
        let (Ok(peers), Ok(callers)) = (member.peers.parse(), member.callers.parse()) else {
            return;
        };
        let mut inner = self.inner.lock();
        if inner
            .members
            .get(&member.instance)
            .is_some_and(|known| known.last_contact.is_some())
        {
            return;
        }
        inner.members.insert(
            member.instance.clone(),
            Member {
                incarnation: member.incarnation.clone(),
                peers,
                callers,
                data_centre: member.data_centre.clone(),
                last_contact: None,
                heartbeat: None,
            },
        );
    }

    /// Adds an instance from its hello message.
    pub fn record_hello(&self, hello: &peer::Hello, now: Duration) {
        let (Ok(peers), Ok(callers)) = (hello.peers.parse(), hello.callers.parse()) else {
            return;
        };
        let member = Member {
            incarnation: hello.incarnation.clone(),
            peers,
            callers,
            data_centre: hello.data_centre.clone(),
            last_contact: Some(now),
            heartbeat: None,
        };
        self.inner
            .lock()
            .members
            .insert(hello.instance.clone(), member);
    }

    /// Records a heartbeat of `incarnation`; ignored if that is not the current run.
    pub fn record_heartbeat(&self, incarnation: &str, heartbeat: peer::Heartbeat, now: Duration) {
        let mut inner = self.inner.lock();
        let Some(member) = inner.members.get_mut(instance_of(incarnation)) else {
            return;
        };
        if member.incarnation == incarnation {
            member.last_contact = Some(now);
            member.heartbeat = Some(heartbeat);
        }
    }

    /// Records the VMs that the roster lists.
    pub fn record_roster(&self, vms: Vms, now: Duration) {
        let mut inner = self.inner.lock();
        for instance in vms.keys() {
            let listing = Listing {
                missing_since: None,
                ever_listed: true,
            };
            inner.listed.insert(instance.clone(), listing);
        }
        let unlisted: Vec<_> = inner
            .members
            .keys()
            .chain(inner.listed.keys())
            .filter(|instance| !vms.contains_key(*instance))
            .cloned()
            .collect();
        for instance in unlisted {
            let listing = inner.listed.entry(instance).or_insert(Listing {
                missing_since: None,
                ever_listed: false,
            });
            listing.missing_since.get_or_insert(now);
        }
        inner.vms = Some(vms);
        inner.remove_gone(now);
    }

    /// All known instances.
    #[must_use]
    pub fn all(&self) -> BTreeMap<id::Instance, Member> {
        self.inner.lock().members.clone()
    }

    /// Instances with a recent message, including those that are leaving.
    #[must_use]
    pub fn live(&self, now: Duration) -> BTreeMap<id::Instance, Member> {
        let inner = self.inner.lock();
        inner
            .members
            .iter()
            .filter(|(_, member)| member.is_live(now))
            .map(|(instance, member)| (instance.clone(), member.clone()))
            .collect()
    }

    /// Live instances that are not leaving; callers may be directed to them.
    #[must_use]
    pub fn serving(&self, now: Duration) -> BTreeMap<id::Instance, Member> {
        let vms = self.inner.lock().vms.clone();
        let mut live = self.live(now);
        live.retain(|instance, member| {
            let listed_leaving = vms
                .as_ref()
                .is_some_and(|vms| vms.get(instance) == Some(&State::Leaving));
            !member.is_leaving() && !listed_leaving
        });
        live
    }

    /// The live member with this incarnation id.
    #[must_use]
    pub fn find(&self, incarnation: &str, now: Duration) -> Option<Member> {
        let inner = self.inner.lock();
        inner
            .members
            .get(instance_of(incarnation))
            .filter(|member| member.incarnation == incarnation && member.is_live(now))
            .cloned()
    }

    /// Whether `incarnation` can send no more orders under `fencing`: a later run
    /// has replaced it, its VM is gone, or its heartbeat reports that it has
    /// stepped down.
    #[must_use]
    pub fn is_gone(&self, incarnation: &str, fencing: id::Fencing, now: Duration) -> bool {
        let instance = instance_of(incarnation);
        let inner = self.inner.lock();
        if inner.is_unlisted(instance, now) {
            return true;
        }
        let Some(member) = inner.members.get(instance) else {
            return false;
        };
        if member.incarnation != incarnation {
            return member.last_contact.is_some();
        }
        member
            .heartbeat
            .as_ref()
            .is_some_and(|heartbeat| heartbeat.stepped_down >= fencing)
    }

    /// Whether the VM of `instance` is no longer on the roster; if it was never
    /// listed, whether it has been missing for `UNLISTED_TIMEOUT`.
    #[must_use]
    pub fn is_unlisted(&self, instance: &str, now: Duration) -> bool {
        self.inner.lock().is_unlisted(instance, now)
    }

    /// Whether the roster lists the VM of `instance` as leaving.
    #[must_use]
    pub fn is_listed_leaving(&self, instance: &str) -> bool {
        let inner = self.inner.lock();
        inner
            .vms
            .as_ref()
            .is_some_and(|vms| vms.get(instance) == Some(&State::Leaving))
    }
}

impl Inner {
    fn is_unlisted(&self, instance: &str, now: Duration) -> bool {
        let Some(listing) = self.listed.get(instance) else {
            return false;
        };
        let Some(missing_since) = listing.missing_since else {
            return false;
        };
        listing.ever_listed || now.saturating_sub(missing_since) >= UNLISTED_TIMEOUT
    }

    fn remove_gone(&mut self, now: Duration) {
        let gone: Vec<_> = self
            .members
            .iter()
            .filter(|(instance, member)| !member.is_live(now) && self.is_unlisted(instance, now))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in gone {
            self.members.remove(&instance);
        }
    }
}
