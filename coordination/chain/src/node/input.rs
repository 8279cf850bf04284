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
    /// A timer fired; due at [`CoreNode::next_deadline`](crate::CoreNode::next_deadline).
    Tick,
    /// A command is to be committed. The same request may be submitted again, here or elsewhere.
    Submit {
        /// Identity of the request.
        request_id: RequestId,
        /// The command.
        command: Command,
    },
    /// A linearizable read: it must observe every command committed before this input.
    Read {
        /// Identity of the request.
        request_id: RequestId,
    },
    /// The caller has stopped waiting for a command or read; the command may still be committed.
    Abandon {
        /// Identity of the request.
        request_id: RequestId,
    },
    /// Every record issued up to `token` is durable.
    Persisted {
        /// Token of the newest durable record.
        token: PersistToken,
    },
    /// This process is shutting down: the others replace this node immediately instead of waiting until it is
    /// suspected. It stays a member meanwhile; poll [`CoreNode::can_leave`](crate::CoreNode::can_leave) to learn when
    /// the process may exit.
    Leave,
    /// Sets the nodes to be removed permanently, replacing the previous set. The set is not durable: pass it again
    /// after a restart. Members among them are replaced first; see
    /// [`CoreNode::is_dispensable`](crate::CoreNode::is_dispensable).
    Decommission {
        /// The nodes.
        ids: BTreeSet<NodeId>,
    },
    /// The machine and its steady clock were suspended: leases and quorum contact may have expired unnoticed.
    ClockStalled,
    /// The address of a founder was found that was not among [`CoreConfig::bootstrap_addresses`](crate::CoreConfig).
    FounderFound {
        /// The address.
        address: String,
    },
    /// A node was reached at an address.
    PeerSeen {
        /// The node.
        id: NodeId,
        /// Its address.
        address: String,
    },
}
