//! Messages that are to reach all instances.

use almondbank_wire::mesh::{self, Message};

use crate::topology::Topology;

/// Where a message came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// This instance.
    Own,
    /// This data centre, whose instances all have it.
    Local,
    /// Another data centre.
    Remote,
}

/// A message that is passed on.
#[derive(Clone, Debug)]
pub(crate) struct Envelope {
    pub(crate) message: Message,
    pub(crate) origin: Origin,
}

impl Envelope {
    /// Whether it goes on to the peer, which is linked as `relation` says.
    pub(crate) fn should_send_to(&self, relation: Relation) -> bool {
        match relation {
            Relation::Local => self.origin != Origin::Local,
            Relation::Remote => self.origin != Origin::Remote,
            Relation::Control => false,
        }
    }
}

/// What a linked instance is to this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Relation {
    /// Hears everything from this instance itself.
    Local,
    /// Stands for its data centre, for which this instance speaks to it.
    Remote,
    /// Only asks and is asked, for example as the holder of the lease.
    Control,
}

/// The relation to a peer; `is_open` tells to which instances there are links.
pub(crate) fn relation(
    topology: &Topology,
    data_centre: &str,
    peer: &mesh::Hello,
    is_open: impl Fn(&str) -> bool,
) -> Relation {
    if !topology.is_hierarchical || peer.data_centre == data_centre {
        return Relation::Local;
    }
    let remotes = topology.remotes.get(&peer.data_centre);
    let remote = remotes.and_then(|remotes| remotes.iter().find(|remote| is_open(remote)));
    if remote == Some(&peer.instance) {
        Relation::Remote
    } else {
        Relation::Control
    }
}
