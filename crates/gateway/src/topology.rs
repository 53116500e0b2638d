//! Which instances keep links with which.
//!
//! Answers the number of instances: links between all of them, and reports on
//! each, grow with the square of their number. Beyond a few, an instance is
//! linked with those of its data centre and with the holder of the lease, and
//! one instance of each data centre speaks for it to one of each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::id;
use crate::members::Member;

/// Instances up to which all are linked with all.
const FEW: usize = 20;
/// Instances of another data centre that are tried at once while none of them
/// has been heard.
const CANDIDATES: usize = 3;
/// Time after which others are tried.
const ROTATION: Duration = Duration::from_secs(2);
/// Links kept to another data centre, of which one is used.
const SPARE_LINKS: usize = 2;

/// The links of one instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Topology {
    /// Whether each data centre has one instance that speaks for it.
    pub is_hierarchical: bool,
    /// Whether this instance does.
    pub is_relay: bool,
    /// Instances of other data centres that may hear from the speaker, by data
    /// centre, the preferred one first.
    pub remotes: BTreeMap<String, Vec<id::Instance>>,
    known: BTreeSet<SocketAddr>,
    links: BTreeSet<SocketAddr>,
}

/// What the links of one instance depend on.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Address of the instance for its peers.
    pub own: SocketAddr,
    /// Its data centre.
    pub data_centre: &'a str,
    /// All other instances.
    pub members: &'a BTreeMap<id::Instance, Member>,
    /// Those of them that are live.
    pub live: &'a BTreeSet<id::Instance>,
    /// The holder of the lease.
    pub leader: Option<&'a id::Instance>,
    /// Time now.
    pub now: Duration,
}

impl Topology {
    /// Whether a link to `address` is to be kept. An address of which nothing is
    /// known is tried.
    #[must_use]
    pub fn includes(&self, address: SocketAddr) -> bool {
        !self.is_hierarchical || self.links.contains(&address) || !self.known.contains(&address)
    }
}

/// Whether so many instances need speakers.
#[must_use]
pub fn is_hierarchical(instances: usize) -> bool {
    instances > FEW
}

/// Decides the links of one instance.
#[must_use]
pub fn compute(view: &View<'_>) -> Topology {
    if !is_hierarchical(view.members.len() + 1) {
        return Topology::default();
    }
    let near = || {
        let members = view.members.iter();
        members.filter(|(_, member)| member.data_centre == view.data_centre)
    };
    let is_relay = near()
        .filter(|(instance, member)| view.live.contains(*instance) && !member.is_leaving)
        .all(|(_, member)| view.own < member.peers);
    let remotes = if is_relay {
        remotes(view)
    } else {
        BTreeMap::new()
    };
    let far = remotes.values().flatten().chain(view.leader);
    let far = far.filter_map(|instance| view.members.get(instance));
    Topology {
        is_hierarchical: true,
        is_relay,
        known: view.members.values().map(|member| member.peers).collect(),
        links: near()
            .map(|(_, member)| member)
            .chain(far)
            .map(|member| member.peers)
            .collect(),
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
        .take(SPARE_LINKS)
        .cloned()
        .collect();
    if !live.is_empty() {
        return live;
    }
    let turn = usize::try_from(view.now.as_secs() / ROTATION.as_secs()).unwrap_or_default();
    let first = (turn * CANDIDATES) % members.len().max(1);
    let count = CANDIDATES.min(members.len());
    names.cycle().skip(first).take(count).cloned().collect()
}
