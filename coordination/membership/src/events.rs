//! Inputs and outputs of the state machine.

use std::net::SocketAddr;

use crate::identity::{MemberId, ProcessStart};
use crate::member::Member;

/// Inputs of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input<'a> {
    /// A datagram was received; it may contain anything.
    Datagram {
        /// Address that it came from.
        from: SocketAddr,
        /// Its bytes.
        bytes: &'a [u8],
    },
    /// The time given by [`next_deadline`](crate::Membership::next_deadline) has come.
    Tick,
    /// Replaces the addresses at which other members may be found; this process' own among them is ignored.
    Join {
        /// Addresses of members that may be up.
        seeds: Vec<SocketAddr>,
    },
    /// The embedder suspects a fault, for example because a connection broke: the member is probed at once.
    Probe(MemberId),
    /// Announces new metadata of this process.
    UpdateMetadata(Metadata),
    /// Leaves the group, and disseminates that.
    Leave,
}

/// Metadata of a permitted length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Metadata(Vec<u8>);

impl Metadata {
    /// Checks the length of a member's metadata.
    ///
    /// # Errors
    /// [`ConfigError::MetadataTooLong`](crate::ConfigError::MetadataTooLong).
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

/// What the embedder has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram; it may be lost.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The datagram's bytes.
        bytes: Vec<u8>,
    },
    /// Report a change.
    Event(Event),
}

/// A change in what this process knows of the other members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A process was seen for the first time, or again after it was dead or had left.
    MemberUp(Member),
    /// The member does not answer; it may still refute that.
    MemberSuspect(Member),
    /// The member has refuted the suspicion against it.
    MemberRefuted(Member),
    /// The member's process is dead, unreachable, or replaced by a later one (whose `MemberUp` follows).
    MemberDown(Member),
    /// The member has left.
    MemberLeft(Member),
    /// Address, zone or metadata of a live member changed.
    MemberUpdated(Member),
    /// Nothing was heard from any member over several probes in succession: what is known of them becomes stale, and
    /// deaths reported from now on may as well be this process's own isolation.
    ContactLost,
    /// The first datagram after `ContactLost`.
    ContactRestored,
    /// The leaving of this process has been disseminated as far as possible.
    LeaveCompleted,
    /// A later process of the same name is in the group; this one takes no part any more, and has disseminated nothing.
    Superseded {
        /// The other process.
        by: ProcessStart,
    },
}
