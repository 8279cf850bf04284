//! Inputs of the node.

use std::collections::BTreeSet;

use millrudder_view::NodeId;

use super::PersistToken;
use crate::{CoreMessage, RequestId};

/// Inputs of a [`CoreNode`](crate::CoreNode).
#[derive(Clone, Debug)]
pub enum Input<Command> {
    /// A message from another node.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        message: CoreMessage,
    },
    /// Time has passed; due at [`CoreNode::next_deadline`](crate::CoreNode::next_deadline).
    Tick,
    /// A command is to be committed. The same request may be submitted again, here or elsewhere.
    Submit {
        /// Identity of the request.
        request_id: RequestId,
        /// The command.
        command: Command,
    },
    /// A linearizable read: it has to see every command that was committed before now.
    Read {
        /// Identity of the request.
        request_id: RequestId,
    },
    /// The caller no longer waits for a command or read; the command may still be committed.
    Abandon {
        /// Identity of the request.
        request_id: RequestId,
    },
    /// Every record issued up to `token` is durable.
    Persisted {
        /// The newest of them.
        token: PersistToken,
    },
    /// This process shuts down: the others replace this node at once instead of waiting until it is suspected. It stays a
    /// member meanwhile; [`CoreNode::can_leave`](crate::CoreNode::can_leave) tells when the process may end.
    Leave,
    /// These nodes, and no others, are to be removed for good; to be given again after a restart. Members among them are
    /// replaced first; see [`CoreNode::is_dispensable`](crate::CoreNode::is_dispensable).
    Decommission {
        /// The nodes.
        ids: BTreeSet<NodeId>,
    },
    /// The machine was suspended, its steady clock with it: leases and contact have expired meanwhile.
    ClockStalled,
    /// A node answers at an address.
    PeerSeen {
        /// The node.
        id: NodeId,
        /// Its address.
        address: String,
    },
}
