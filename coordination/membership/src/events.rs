//! Inputs, outputs and events of the state machine.

use std::net::SocketAddr;

use crate::identity::{MemberId, ProcessStart};
use crate::member::Member;

/// Input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input<'a> {
    /// A datagram was received. Its content is not trusted.
    Datagram {
        /// Source address.
        from: SocketAddr,
        /// Content of the datagram.
        bytes: &'a [u8],
    },
    /// The time returned by [`next_deadline`](crate::Membership::next_deadline) has been reached.
    Tick,
    /// Replaces the seeds, the addresses at which other members may be found. The address of this process is ignored.
    Join {
        /// Addresses of members that may be running.
        seeds: Vec<SocketAddr>,
    },
    /// Probes a member immediately, because the embedder suspects a failure, for example after a broken connection.
    Probe(MemberId),
    /// Replaces and disseminates the metadata of this process.
    UpdateMetadata(Metadata),
    /// Leaves the group and disseminates the departure.
    Leave,
}

/// Metadata of a member, at most [`MAX_METADATA_BYTES`](crate::MAX_METADATA_BYTES) bytes long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Metadata(Vec<u8>);

impl Metadata {
    /// Checks and wraps the metadata of a member.
    ///
    /// # Errors
    /// Returns [`ConfigError::MetadataTooLong`](crate::ConfigError::MetadataTooLong) if it is too long.
    pub fn new(bytes: Vec<u8>) -> Result<Self, crate::ConfigError> {
        if bytes.len() > crate::member::MAX_METADATA_BYTES {
            return Err(crate::ConfigError::MetadataTooLong { length: bytes.len() });
        }
        Ok(Self(bytes))
    }

    pub(crate) fn into_bytes(self) -> Vec<u8> {
        self.0
    }
}

/// Action for the embedder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram. It may be lost.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// Content of the datagram.
        bytes: Vec<u8>,
    },
    /// Report a change of the membership.
    Event(Event),
}

/// A change in what this process knows about the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A process was seen for the first time, or again after it had been declared dead or had left.
    MemberUp(Member),
    /// The member does not answer probes and is suspected. It may still refute the suspicion.
    MemberSuspect(Member),
    /// The member has refuted the suspicion.
    MemberRefuted(Member),
    /// The member's process has crashed, is unreachable, or was replaced by a later one, whose `MemberUp` follows.
    MemberDown(Member),
    /// The member has left.
    MemberLeft(Member),
    /// The address, zone or metadata of a live member changed.
    MemberUpdated(Member),
    /// Several consecutive probes ended without a datagram from any member. What is known about the members becomes stale,
    /// and deaths reported from now on may be caused by the isolation of this process.
    ContactLost,
    /// A datagram was received for the first time since `ContactLost`.
    ContactRestored,
    /// The departure of this process has been disseminated as far as possible.
    LeaveCompleted,
    /// A later process with the same name is in the group. This process no longer participates, and does not disseminate a
    /// departure.
    Superseded {
        /// Start of the later process.
        by: ProcessStart,
    },
}
