//! Messages that are forwarded to all instances.

use almondbank_wire::mesh::{self, Message};

use crate::topology::Topology;

/// Where this instance got a message from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// The message originates from this instance.
    Own,
    /// An instance of this data centre, which has sent it to all others there.
    Near,
    /// An instance of another data centre.
    Far,
}

/// A message that is forwarded, with its origin.
#[derive(Clone, Debug)]
pub(crate) struct Gossip {
    pub(crate) message: Message,
    pub(crate) origin: Origin,
}

impl Gossip {
    /// Whether the message is to be sent to a peer with this relation.
    pub(crate) fn is_for(&self, relation: Relation) -> bool {
        match relation {
            Relation::Near => self.origin != Origin::Near,
            Relation::Bridge => self.origin != Origin::Far,
            Relation::Other => false,
        }
    }
}

/// Relation of a linked instance to this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Relation {
    /// Receives everything directly from this instance.
    Near,
    /// Receives the messages for its data centre from this instance, the relay of
    /// its own.
    Bridge,
    /// Exchanges only requests and replies, for example as the leader.
    Other,
}

/// Relation to a peer; `is_open` returns whether a link to an instance is open.
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
