//! What is known about one member.

use std::net::SocketAddr;

use speedy::{Readable, Writable};

use crate::identity::{Incarnation, MemberId, MemberName, Zone};

/// Longest metadata of a member in bytes, so that any record fits into one datagram.
pub const MAX_METADATA_BYTES: usize = 256;

/// Status of a member. The order is the precedence among records of equal incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
#[speedy(tag_type = u8)]
pub enum Status {
    /// Answers probes, or has not missed one yet.
    Alive,
    /// Did not answer a probe and has not refuted that yet.
    Suspect,
    /// Did not refute suspicion in time.
    Dead,
    /// Has left the group.
    Left,
}

impl Status {
    /// Whether the member still counts as part of the group.
    #[must_use]
    pub const fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// One member as this process knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name and process of the member.
    pub id: MemberId,
    /// Where its datagrams are received.
    pub address: SocketAddr,
    /// Zone that it runs in.
    pub zone: Zone,
    /// Opaque bytes of the embedder, at most [`MAX_METADATA_BYTES`].
    pub metadata: Vec<u8>,
    /// Number of the record.
    pub incarnation: Incarnation,
    /// Status of the member.
    pub status: Status,
}

impl Member {
    /// The member's name.
    #[must_use]
    pub const fn name(&self) -> &MemberName {
        &self.id.name
    }

    /// Whether the member counts as part of the group.
    #[must_use]
    pub const fn is_live(&self) -> bool {
        self.status.is_live()
    }

    /// What decides before the status does.
    pub(crate) const fn version(&self) -> Version {
        Version { incarnation: self.incarnation, start: self.id.start }
    }

    /// What decides between two records about one name.
    pub(crate) const fn rank(&self) -> (Version, Status) {
        (self.version(), self.status)
    }

    pub(crate) fn has_details_of(&self, other: &Self) -> bool {
        self.address == other.address && self.zone == other.zone && self.metadata == other.metadata
    }
}

/// Order of the records about one name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Version {
    pub incarnation: Incarnation,
    pub start: crate::identity::ProcessStart,
}

/// This process as it presents itself to the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalMember {
    /// Name and process; the start's number is also the first incarnation.
    pub id: MemberId,
    /// Where this process receives datagrams; it must send them from there too.
    pub address: SocketAddr,
    /// Zone that this process runs in.
    pub zone: Zone,
    /// Bytes for the other members' programs, at most [`MAX_METADATA_BYTES`].
    pub metadata: Vec<u8>,
}
