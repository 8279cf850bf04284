//! Outputs of the node.

use millrudder_lease::{FencingToken, Role};
use millrudder_view::{NodeId, View};

use crate::{CoreMessage, DurableState, Record, RequestId, Sequence};

/// Number of an issued record; numbers increase in the order of issue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersistToken(pub u64);

/// An action or notification for the embedder of a [`CoreNode`](crate::CoreNode).
#[derive(Clone, Debug)]
pub enum Output<Command, Reply> {
    /// Send a message; it may be lost, delayed or duplicated.
    Send {
        /// The recipient.
        to: NodeId,
        /// The message.
        message: CoreMessage,
    },
    /// Append a record to the journal, then report [`Input::Persisted`](crate::Input::Persisted). One report may cover
    /// several records.
    Persist {
        /// Number of the record.
        token: PersistToken,
        /// The record.
        record: Record,
    },
    /// Replace the journal, up to and including the record of `token`, with this state.
    Checkpoint {
        /// The newest record contained in `state`.
        token: PersistToken,
        /// The state.
        state: Box<DurableState>,
    },
    /// A command was committed; delivered in order at every node that replicates the state.
    Committed {
        /// Index in the replicated order.
        sequence: Sequence,
        /// Identity of the request.
        request_id: RequestId,
        /// The command.
        command: Command,
        /// Its result.
        reply: Reply,
    },
    /// The whole state was replaced with a snapshot from a peer.
    SnapshotInstalled {
        /// The last command contained in the snapshot.
        sequence: Sequence,
    },
    /// The reply to a command submitted here.
    Reply {
        /// Identity of the request.
        request_id: RequestId,
        /// The reply.
        reply: Reply,
    },
    /// A read may now be served from [`CoreNode::machine`](crate::CoreNode::machine).
    ReadReady {
        /// Identity of the request.
        request_id: RequestId,
    },
    /// A newer view has become active.
    ViewChanged(View),
    /// This node holds a role from now on.
    LeaseGranted {
        /// The role.
        role: Role,
        /// Token of the lease.
        fencing_token: FencingToken,
    },
    /// This node no longer holds a role and must not act in it.
    LeaseLost {
        /// The role.
        role: Role,
        /// Token of the lease.
        fencing_token: FencingToken,
    },
    /// [`CoreNode::has_quorum_contact`](crate::CoreNode::has_quorum_contact) has become true.
    QuorumContactGained,
    /// [`CoreNode::has_quorum_contact`](crate::CoreNode::has_quorum_contact) has become false.
    QuorumContactLost,
}
