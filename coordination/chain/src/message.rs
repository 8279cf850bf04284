//! Messages between core nodes.

use millrudder_lease::{LeaseAnswer, LeaseRelease, LeaseRequest};
use millrudder_view::{Epoch, ViewMessage};
use speedy::{Readable, Writable};
use thiserror::Error;

use crate::{
    Entry, Position, ProcessTimestamp, RequestId, Sequence, SnapshotChunk, SnapshotId, TimestampEcho,
};

/// Sent to every peer at a fixed interval. Its fields repeat information from messages that may have been lost.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Heartbeat {
    /// Epoch of the sender's view.
    pub epoch: Epoch,
    /// Address of the sender.
    pub address: String,
    /// The sender's clock when it created this heartbeat.
    pub timestamp: ProcessTimestamp,
    /// Peers from which the sender receives heartbeats, each with its newest timestamp.
    pub timestamp_echoes: Vec<TimestampEcho>,
    /// End of the sender's durable log.
    pub log_end: Position,
    /// The last command that the sender knows to be committed.
    pub committed: Sequence,
    /// Whether the sender has caught up with its predecessor in this view.
    pub is_caught_up: bool,
    /// Whether the sender holds every command that was committed before this view.
    pub is_complete: bool,
    /// Whether the sender votes in its view and has accepted no later one.
    pub confirms_epoch: bool,
    /// Whether the sender is shutting down.
    pub is_leaving: bool,
    /// Whether the sender's disk is too slow for a member.
    pub is_disk_lagging: bool,
}

/// Log entries for a receiver: the successor in the chain, a learner, or a node that catches up before the next view.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct AppendBatch {
    /// Epoch of the chain.
    pub epoch: Epoch,
    /// The position before the first entry.
    pub previous: Position,
    /// The commands.
    pub entries: Vec<Entry>,
    /// The last command that the sender knows to be committed.
    pub committed: Sequence,
    /// A receiver whose log reaches this command holds every committed command.
    pub complete_at: Sequence,
    /// Whether the sender has sealed the epoch, so that the receiver catches up before the next view.
    pub sealed: bool,
}

/// A chunk of a snapshot of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct InstallSnapshotChunk {
    /// Epoch of the chain.
    pub epoch: Epoch,
    /// The chunk.
    pub chunk: SnapshotChunk,
    /// A receiver whose log reaches this command holds every committed command.
    pub complete_at: Sequence,
    /// Whether the sender has sealed the epoch, so that the receiver catches up before the next view.
    pub sealed: bool,
    /// The end of the receiver's log, if the sender's log has a different command there or none.
    pub conflict_at: Option<Position>,
}

/// A message between two core nodes. The order of the variants and of their fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum CoreMessage {
    /// The sender is alive; includes its status.
    Heartbeat(Heartbeat),
    /// Agreement on views.
    View(ViewMessage),
    /// Log entries, from a member to its successor, from the tail to a learner, or in a catch-up before a view change.
    Append(AppendBatch),
    /// A chunk of a snapshot, for a node that is too far behind.
    InstallSnapshot(InstallSnapshotChunk),
    /// How much of a snapshot the sender has received.
    SnapshotReceived {
        /// Epoch of the chain.
        epoch: Epoch,
        /// The snapshot.
        id: SnapshotId,
        /// Bytes received from the start without a gap.
        received: u64,
    },
    /// The sender's log is durable up to `end`.
    Appended {
        /// Epoch of the chain.
        epoch: Epoch,
        /// End of the log.
        end: Position,
        /// The last command that the sender knows to be committed.
        committed: Sequence,
    },
    /// The sender lacks entries before those that it was sent.
    Gap {
        /// Epoch of the chain.
        epoch: Epoch,
        /// End of the sender's log.
        end: Position,
    },
    /// A command submitted to the head.
    Submit {
        /// The request.
        request_id: RequestId,
        /// The encoded command.
        command: Vec<u8>,
    },
    /// The reply to a command.
    Reply {
        /// The request.
        request_id: RequestId,
        /// The encoded reply.
        reply: Vec<u8>,
    },
    /// Asks the tail for the read index of a linearizable read.
    ReadIndex {
        /// Epoch of the chain.
        epoch: Epoch,
        /// The request.
        request_id: RequestId,
    },
    /// The read index: the reader must have applied the commands up to `sequence`.
    ReadIndexed {
        /// The request.
        request_id: RequestId,
        /// The read index.
        sequence: Sequence,
    },
    /// The tail asks whether its epoch is current.
    ConfirmEpoch {
        /// The epoch.
        epoch: Epoch,
        /// Number of the confirmation attempt.
        attempt: u64,
    },
    /// The sender confirms that it votes in this epoch and has accepted no later view.
    EpochConfirmed {
        /// The epoch.
        epoch: Epoch,
        /// Number of the confirmation attempt.
        attempt: u64,
    },
    /// Requests a lease from a voter of the current view.
    LeaseRequest {
        /// The epoch.
        epoch: Epoch,
        /// The request.
        request: LeaseRequest,
    },
    /// A voter's answer to a lease request.
    LeaseAnswer {
        /// The epoch.
        epoch: Epoch,
        /// The answer.
        answer: LeaseAnswer,
    },
    /// The holder of a lease releases it.
    LeaseReleased {
        /// The release.
        release: LeaseRelease,
    },
}

/// Why bytes cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The bytes do not match the format, or extend beyond one message.
    #[error("the bytes are not a message between core nodes")]
    Unreadable,
}

impl CoreMessage {
    /// The only epoch in which the message is valid; `None` if it is valid in any epoch.
    pub(crate) fn epoch(&self) -> Option<Epoch> {
        match self {
            CoreMessage::Append(batch) => Some(batch.epoch),
            CoreMessage::InstallSnapshot(install) => Some(install.epoch),
            CoreMessage::SnapshotReceived { epoch, .. }
            | CoreMessage::Appended { epoch, .. }
            | CoreMessage::Gap { epoch, .. }
            | CoreMessage::ReadIndex { epoch, .. }
            | CoreMessage::ConfirmEpoch { epoch, .. }
            | CoreMessage::EpochConfirmed { epoch, .. }
            | CoreMessage::LeaseRequest { epoch, .. }
            | CoreMessage::LeaseAnswer { epoch, .. } => Some(*epoch),
            _ => None,
        }
    }

    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        self.write_to_vec().unwrap_or_default()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// [`MessageError::Unreadable`] if the bytes are not exactly one message.
    pub fn decode(bytes: &[u8]) -> Result<CoreMessage, MessageError> {
        let message = CoreMessage::read_from_buffer(bytes).map_err(|_| MessageError::Unreadable)?;
        // Encoding is canonical, so a different length means that there are trailing bytes.
        match Writable::<speedy::LittleEndian>::bytes_needed(&message) {
            Ok(length) if length == bytes.len() => Ok(message),
            _ => Err(MessageError::Unreadable),
        }
    }
}
