//! The record of a member.

use std::net::SocketAddr;

use speedy::{Readable, Writable};

use crate::identity::{Incarnation, MemberId, MemberName, Zone};

/// Maximum length of a member's metadata in bytes. The limit ensures that any record fits into one datagram.
pub const MAX_METADATA_BYTES: usize = 256;

/// Status of a member. Among records with the same version, a later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum Status {
    /// The member answers probes, or has not missed one yet.
    Alive,
    /// The member did not answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member has left the group.
    Left,
}

impl Status {
    /// Returns whether a member with this status counts as part of the group.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// Record of one member, as this process knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name and process of the member.
    pub id: MemberId,
    /// Address at which the member receives datagrams.
    pub address: SocketAddr,
    /// Zone that the member runs in.
    pub zone: Zone,
    /// Opaque bytes of the embedder, at most [`MAX_METADATA_BYTES`].
    pub metadata: Vec<u8>,
    /// Incarnation of the record.
    pub incarnation: Incarnation,
    /// Status of the member.
    pub status: Status,
}

impl Member {
    /// Returns the member's name.
    #[must_use]
    pub const fn name(&self) -> &MemberName {
        &self.id.name
    }

    /// Returns whether the member counts as part of the group.
    #[must_use]
    pub const fn is_live(&self) -> bool {
        self.status.is_live()
    }

    /// Returns the version of the record, which takes precedence over the status when two records are compared.
    pub(crate) const fn version(&self) -> Version {
        Version { incarnation: self.incarnation, start: self.id.start }
    }

    /// Returns the key by which two records with one name are compared; the larger one wins.
    pub(crate) const fn rank(&self) -> (Version, Status) {
        (self.version(), self.status)
    }

    pub(crate) fn has_details_of(&self, other: &Self) -> bool {
        self.address == other.address && self.zone == other.zone && self.metadata == other.metadata
    }
}

/// Version of a record, ordered by incarnation and then by process start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Version {
    pub incarnation: Incarnation,
    pub start: crate::identity::ProcessStart,
}

/// What this process announces about itself to the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalMember {
    /// Name and process. The number of the process start is also the first incarnation.
    pub id: MemberId,
    /// Address at which this process receives datagrams. It must also send them from this address.
    pub address: SocketAddr,
    /// Zone that this process runs in.
    pub zone: Zone,
    /// Opaque bytes for the embedders of the other members, at most [`MAX_METADATA_BYTES`].
    pub metadata: Vec<u8>,
}
