//! Messages that are to reach all instances.

use almondbank_wire::mesh::{self, Message};

use crate::topology::Topology;

/// Where a message came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// This instance.
    Own,
    /// This data centre, whose instances all have it.
    Near,
    /// Another data centre.
    Far,
}

/// A message that is passed on.
#[derive(Clone, Debug)]
pub(crate) struct Gossip {
    pub(crate) message: Message,
    pub(crate) origin: Origin,
}

impl Gossip {
    /// Whether it goes on to the peer, which is linked as `relation` says.
    pub(crate) fn is_for(&self, relation: Relation) -> bool {
        match relation {
            Relation::Near => self.origin != Origin::Near,
            Relation::Bridge => self.origin != Origin::Far,
            Relation::Other => false,
        }
    }
}

/// What a linked instance is to this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Relation {
    /// Hears everything from this instance itself.
    Near,
    /// Stands for its data centre, for which this instance speaks to it.
    Bridge,
    /// Only asks and is asked, for example as the holder of the lease.
    Other,
}

/// The relation to a peer; `is_open` tells to which instances there are links.
pub(crate) fn relation(
    topology: &Topology,
    data_centre: &str,
    peer: &mesh::Hello,
    is_open: impl Fn(&str) -> bool,
) -> Relation {
    if !topology.is_tiered || peer.data_centre == data_centre {
        return Relation::Near;
    }
    let bridges = topology.bridges.get(&peer.data_centre);
    let bridge = bridges.and_then(|bridges| bridges.iter().find(|bridge| is_open(bridge)));
    if bridge == Some(&peer.instance) {
        Relation::Bridge
    } else {
        Relation::Other
    }
}
