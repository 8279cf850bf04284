//! Messages between core nodes.

use millrudder_lease::{LeaseAnswer, LeaseRelease, LeaseRequest};
use millrudder_view::{Epoch, ViewMessage};
use speedy::{Readable, Writable};
use thiserror::Error;

use crate::{
    Entry, Position, ProcessTimestamp, RequestId, Sequence, SnapshotChunk, SnapshotId, TimestampEcho,
};

/// Sent to every peer at a fixed pace. Its fields repeat what a lost message may have said.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Heartbeat {
    /// Epoch of the sender's view.
    pub epoch: Epoch,
    /// Address of the sender.
    pub address: String,
    /// The moment at which this was made.
    pub stamp: ProcessTimestamp,
    /// Peers that the sender hears, each with its newest stamp.
    pub heard: Vec<TimestampEcho>,
    /// End of the sender's durable log.
    pub end: Position,
    /// The last command that the sender knows to be committed.
    pub committed: Sequence,
    /// Whether the sender has caught up with its predecessor in this view.
    pub synced: bool,
    /// Whether the sender holds every command that was committed before this view.
    pub complete: bool,
    /// Whether the sender votes in its view and has accepted no later one.
    pub vouches: bool,
    /// Whether the sender is about to end.
    pub leaving: bool,
    /// Whether the sender's disk is too slow for a member.
    pub lagging: bool,
}

/// Commands for the next node of the chain.
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
    /// Once the receiver holds the commands up to here, it holds every committed command.
    pub complete_at: Sequence,
    /// Whether the sender has sealed the epoch, and feeds the receiver ahead of the next view.
    pub sealed: bool,
}

/// A part of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct InstallSnapshotChunk {
    /// Epoch of the chain.
    pub epoch: Epoch,
    /// The part.
    pub part: SnapshotChunk,
    /// Once the receiver holds the commands up to here, it holds every committed command.
    pub complete_at: Sequence,
    /// Whether the sender has sealed the epoch, and feeds the receiver ahead of the next view.
    pub sealed: bool,
    /// The end of the receiver's log, where the sender's log has another command or none.
    pub differs_at: Option<Position>,
}

/// A message between two core nodes.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum CoreMessage {
    /// Sign of life and of progress.
    Heartbeat(Heartbeat),
    /// Agreement on views.
    View(ViewMessage),
    /// Commands, from a member to the next one or from the tail to a learner.
    Append(AppendBatch),
    /// A part of the replicated state, for a node that is too far behind.
    Install(InstallSnapshotChunk),
    /// The sender holds this many bytes from the start of a snapshot that is being sent to it.
    InstallReceived { epoch: Epoch, id: SnapshotId, received: u64 },
    /// The sender holds commands up to `end` durably, and those up to `committed` are committed.
    Appended { epoch: Epoch, end: Position, committed: Sequence },
    /// The sender's log ends at `end`, before the commands that it was sent.
    Gap { epoch: Epoch, end: Position },
    /// A command for the head.
    Submit { request_id: RequestId, command: Vec<u8> },
    /// The reply to a command.
    Answer { request_id: RequestId, reply: Vec<u8> },
    /// Asks the tail how far a linearizable read must look.
    ReadIndex { epoch: Epoch, request_id: RequestId },
    /// A read sees everything it must once the reader has applied commands up to `sequence`.
    ReadIndexed { request_id: RequestId, sequence: Sequence },
    /// The tail asks whether its epoch is current.
    ConfirmEpoch { epoch: Epoch, round: u64 },
    /// The epoch was current at the sender.
    EpochConfirmed { epoch: Epoch, round: u64 },
    /// Asks a voter of the present view for a lease.
    LeaseRequest { epoch: Epoch, request: LeaseRequest },
    /// A voter's answer.
    LeaseAnswer { epoch: Epoch, answer: LeaseAnswer },
    /// The holder of a lease gives it back.
    LeaseReleased { release: LeaseRelease },
}

/// Why bytes are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// They do not follow the format.
    #[error("the bytes are not a message between core nodes")]
    Unreadable,
}

impl CoreMessage {
    /// Epoch within which alone the message counts, if there is one.
    pub(crate) fn epoch(&self) -> Option<Epoch> {
        match self {
            CoreMessage::Append(batch) => Some(batch.epoch),
            CoreMessage::Install(install) => Some(install.epoch),
            CoreMessage::InstallReceived { epoch, .. }
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

    /// The message as bytes.
    pub fn encode(&self) -> Vec<u8> {
        self.write_to_vec().unwrap_or_default()
    }

    /// Reads a message; bytes beyond it are an error.
    pub fn decode(bytes: &[u8]) -> Result<CoreMessage, MessageError> {
        let message = CoreMessage::read_from_buffer(bytes).map_err(|_| MessageError::Unreadable)?;
        // Encoding is canonical, so a different length shows bytes beyond the message.
        match Writable::<speedy::LittleEndian>::bytes_needed(&message) {
            Ok(length) if length == bytes.len() => Ok(message),
            _ => Err(MessageError::Unreadable),
        }
    }
}
