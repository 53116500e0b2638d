//! Messages that are forwarded to all instances.

use almondbank_wire::mesh::{self, Message};

use crate::topology::Topology;

/// Where this instance got a message from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Origin {
    /// The message originates from this instance.
    Own,
    /// An instance of this data centre, which has sent it to all others there.
    Local,
    /// An instance of another data centre.
    Remote,
}

/// A message that is forwarded, with its origin.
#[derive(Clone, Debug)]
pub(crate) struct Envelope {
    pub(crate) message: Message,
    pub(crate) origin: Origin,
}

impl Envelope {
    /// Whether the message is to be sent to a peer with this relation.
    pub(crate) fn should_send_to(&self, relation: Relation) -> bool {
        match relation {
            Relation::Local => self.origin != Origin::Local,
            Relation::Remote => self.origin != Origin::Remote,
            Relation::Control => false,
        }
    }
}

/// Relation of a linked instance to this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Relation {
    /// Receives everything directly from this instance.
    Local,
    /// Receives the messages for its data centre from this instance, which is the
    /// delegate of another one.
    Remote,
    /// Exchanges only requests and replies, for example as the leader.
    Control,
}

/// Relation to a peer; `is_open` returns whether a link to an instance is open.
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
