//! Selection of the links between instances.
//!
//! Up to `MAX_FULL_MESH` instances form a full mesh, whose number of links and
//! reports grows quadratically. Larger deployments are hierarchical: an instance
//! is linked with the instances of its data centre, with the leader, and with the owners of
//! quota slots, if tenants have quotas. The delegate
//! of a data centre is the instance that sends messages to the other data centres on
//! behalf of its own, to one instance of each.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::id;
use crate::members::Member;

/// Largest number of instances that form a full mesh.
const MAX_FULL_MESH: usize = 20;
/// Instances of another data centre that are tried at the same time while none of
/// them is live.
const MAX_CANDIDATES: usize = 3;
/// Time after which the next candidates are tried.
const ROTATION_INTERVAL: Duration = Duration::from_secs(2);
/// Links to each other data centre; one carries messages, the rest are spares.
const LINKS_PER_DATA_CENTRE: usize = 2;
/// Time for each link of an instance over which the links to its data centre are first
/// opened, so that many instances that start at once are not busy with handshakes alone.
const FIRST_DIAL_SPREAD: Duration = Duration::from_millis(80);

/// Links of one instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Topology {
    /// Whether each data centre has a delegate; otherwise all instances form a full
    /// mesh.
    pub is_hierarchical: bool,
    /// Whether this instance is the delegate of its data centre.
    pub is_delegate: bool,
    /// Instances of other data centres that the delegate may send to, by data centre,
    /// in order of preference.
    pub remotes: BTreeMap<String, Vec<id::Instance>>,
    known: BTreeSet<SocketAddr>,
    links: BTreeSet<SocketAddr>,
    /// Links to the instances of the same data centre.
    local: BTreeSet<SocketAddr>,
}

/// Inputs to the link selection of one instance.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Peer address of this instance.
    pub own: SocketAddr,
    /// Data centre of this instance.
    pub data_centre: &'a str,
    /// All other instances.
    pub members: &'a BTreeMap<id::Instance, Member>,
    /// Other instances that are live.
    pub live: &'a BTreeSet<id::Instance>,
    /// Leader, if it is another instance.
    pub leader: Option<&'a id::Instance>,
    /// Owners of quota slots, if tenants have quotas.
    pub owners: &'a BTreeSet<id::Instance>,
    /// Whether this instance has started so lately that others may be live although
    /// they have not reported yet.
    pub is_settling: bool,
    /// Current time.
    pub now: Duration,
}

impl Topology {
    /// Whether to keep a link to `address`. An address that belongs to no known
    /// instance, such as a seed, is always linked.
    #[must_use]
    pub fn includes(&self, address: SocketAddr) -> bool {
        !self.is_hierarchical || self.links.contains(&address) || !self.known.contains(&address)
    }

    /// Longest delay before a link to `address` is opened for the first time.
    #[must_use]
    pub fn first_dial_spread(&self, address: SocketAddr) -> Duration {
        if !self.is_hierarchical || !self.local.contains(&address) {
            return Duration::ZERO;
        }
        FIRST_DIAL_SPREAD * u32::try_from(self.local.len()).unwrap_or(u32::MAX)
    }
}

/// Whether this number of instances is too large for a full mesh.
#[must_use]
pub fn is_hierarchical(instances: usize) -> bool {
    instances > MAX_FULL_MESH
}

/// Selects the links of one instance.
#[must_use]
pub fn compute(view: &View<'_>) -> Topology {
    if !is_hierarchical(view.members.len() + 1) {
        return Topology::default();
    }
    let local = || {
        let members = view.members.iter();
        members.filter(|(_, member)| member.data_centre == view.data_centre)
    };
    let may_be_live = |instance: &id::Instance, member: &Member| {
        view.live.contains(instance) || (view.is_settling && member.last_report.is_none())
    };
    let is_delegate = local()
        .filter(|(instance, member)| may_be_live(instance, member) && !member.is_leaving)
        .all(|(_, member)| view.own < member.peers);
    let remotes = if is_delegate {
        remotes(view)
    } else {
        BTreeMap::new()
    };
    let addresses = local().map(|(_, member)| member.peers);
    let local_addresses: BTreeSet<_> = addresses.collect();
    let remote = remotes.values().flatten();
    let remote = remote.chain(view.leader).chain(view.owners);
    let remote = remote.filter_map(|instance| view.members.get(instance));
    Topology {
        is_hierarchical: true,
        is_delegate,
        known: view.members.values().map(|member| member.peers).collect(),
        links: remote
            .map(|member| member.peers)
            .chain(local_addresses.iter().copied())
            .collect(),
        local: local_addresses,
        remotes,
    }
}

fn remotes(view: &View<'_>) -> BTreeMap<String, Vec<id::Instance>> {
    let mut by_data_centre: BTreeMap<&str, Vec<(&id::Instance, &Member)>> = BTreeMap::new();
    for (instance, member) in view.members {
        if member.data_centre != view.data_centre {
            let members = by_data_centre.entry(&member.data_centre).or_default();
            members.push((instance, member));
        }
    }
    by_data_centre
        .into_iter()
        .map(|(data_centre, mut members)| {
            members.sort_by_key(|(_, member)| member.peers);
            (data_centre.to_owned(), candidates(view, &members))
        })
        .collect()
}

fn candidates(view: &View<'_>, members: &[(&id::Instance, &Member)]) -> Vec<id::Instance> {
    let names = members.iter().map(|(instance, _)| *instance);
    let live: Vec<_> = names
        .clone()
        .filter(|instance| view.live.contains(*instance))
        .take(LINKS_PER_DATA_CENTRE)
        .cloned()
        .collect();
    if !live.is_empty() {
        return live;
    }
    let round =
        usize::try_from(view.now.as_secs() / ROTATION_INTERVAL.as_secs()).unwrap_or_default();
    let first = (round * MAX_CANDIDATES) % members.len().max(1);
    let count = MAX_CANDIDATES.min(members.len());
    names.cycle().skip(first).take(count).cloned().collect()
}
