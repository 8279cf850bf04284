//! Datagrams: their types, encoding, and decoding with bounds.

use std::net::{IpAddr, SocketAddr};

use speedy::{LittleEndian, Readable, Writable};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::digest::BUCKETS;
use crate::identity::{GroupId, Incarnation, MemberId, NameError, Zone};
use crate::member::{Member, Status, MAX_METADATA_BYTES};

/// First bytes of every datagram: two letters and the version of the format.
const MAGIC: [u8; 3] = [b'm', b'b', 1];

/// Bytes of the checksum at the end of a datagram, which reveals garbage and truncation.
const CHECKSUM_BYTES: usize = 4;

/// Datagrams above this size are not decoded; nothing that follows the format is longer.
const MAX_DECODED_BYTES: usize = crate::config::MAX_DATAGRAM_BYTES;

/// Records that one datagram carries at most; their number is encoded in a byte.
const MAX_RECORDS: usize = u8::MAX as usize;

/// Sequence number that ties an answer to its probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub(crate) struct Sequence(pub u32);

/// An IP address and a port as they are encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub(crate) struct Endpoint {
    ip: IpAddr,
    port: u16,
}

impl From<SocketAddr> for Endpoint {
    fn from(address: SocketAddr) -> Self {
        Self { ip: address.ip(), port: address.port() }
    }
}

impl From<Endpoint> for SocketAddr {
    fn from(endpoint: Endpoint) -> Self {
        Self::new(endpoint.ip, endpoint.port)
    }
}

/// Details of a member that is alive.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub(crate) struct Details {
    pub address: Endpoint,
    pub zone: Zone,
    #[speedy(length_type = u16)]
    pub metadata: Vec<u8>,
}

/// The record of a member. Records of dead and left members, and of suspicion, are sent without details.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub(crate) struct Record {
    pub id: MemberId,
    pub incarnation: Incarnation,
    pub status: Status,
    pub details: Option<Details>,
}

impl Record {
    /// The record as gossip carries it: with details only where they may be new.
    pub fn update(member: &Member) -> Self {
        let details = (member.status == Status::Alive).then(|| details_of(member));
        Self { id: member.id.clone(), incarnation: member.incarnation, status: member.status, details }
    }

    /// The record for a member that may know nothing of the subject.
    pub fn full(member: &Member) -> Self {
        let details = member.is_live().then(|| details_of(member));
        Self { id: member.id.clone(), incarnation: member.incarnation, status: member.status, details }
    }

    pub fn encoded_bytes(&self) -> usize {
        encoded_bytes_of(self)
    }

    fn check(&self) -> Result<(), DecodeError> {
        self.id.name.check()?;
        if self.incarnation > Incarnation::LIMIT {
            return Err(DecodeError::IncarnationTooLarge);
        }
        if let Some(details) = &self.details {
            details.zone.check()?;
            if details.metadata.len() > MAX_METADATA_BYTES {
                return Err(DecodeError::MetadataTooLong);
            }
        }
        Ok(())
    }
}

fn details_of(member: &Member) -> Details {
    Details { address: member.address.into(), zone: member.zone.clone(), metadata: member.metadata.clone() }
}

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub(crate) enum Message {
    /// Asks `target` for an `Ack`.
    Ping { sequence: Sequence, target: MemberId },
    /// Answers a `Ping`, directly or through the member that was asked to probe.
    Ack { sequence: Sequence },
    /// Answers a `Ping` that was meant for another process than the one at this address.
    WrongTarget { sequence: Sequence },
    /// Asks the receiver to ping `target` and to pass on its answer.
    IndirectPing { sequence: Sequence, target: MemberId, address: Endpoint },
    /// Answers an `IndirectPing` whose target has not answered yet.
    Nack { sequence: Sequence },
    /// Asks for the records of the buckets whose digests differ; the receiver asks back unless `answer` is set.
    SyncRequest {
        answer: bool,
        #[speedy(length_type = u8)]
        digests: Vec<u64>,
    },
    /// Carries records of buckets that differ; `more` says that not all of them were sent.
    SyncRecords { more: bool },
    /// Carries records only.
    Gossip,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub(crate) struct Packet {
    pub group: GroupId,
    pub sender: MemberId,
    /// Digest of the sender's entire list.
    pub digest: u64,
    pub message: Message,
    #[speedy(length_type = u8)]
    pub records: Vec<Record>,
}

/// Why a datagram was ignored.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// It is longer than any datagram of this protocol.
    #[error("the datagram is too long")]
    TooLong,
    /// It does not begin as datagrams of this protocol and version do.
    #[error("the datagram is of another protocol or version")]
    OtherProtocol,
    /// It was truncated or corrupted.
    #[error("the checksum does not match")]
    Checksum,
    /// Its checksum matches, but its content cannot be read.
    #[error("the content cannot be read")]
    Content,
    /// It names a member or zone with an empty or long name.
    #[error("a name cannot be used: {0}")]
    Name(#[from] NameError),
    /// It carries more metadata than a member may have.
    #[error("the metadata is too long")]
    MetadataTooLong,
    /// It carries an incarnation beyond the limit.
    #[error("an incarnation is too large")]
    IncarnationTooLarge,
    /// It carries another number of digests than there are buckets.
    #[error("the number of digests is wrong")]
    DigestCount,
}

impl Packet {
    /// The datagram's bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        // Writing to memory cannot fail; a packet that did would be ignored by its checksum.
        bytes.extend(self.write_to_vec().unwrap_or_default());
        let checksum = checksum_of(&bytes);
        bytes.extend_from_slice(&checksum);
        bytes
    }

    /// Size of the datagram in bytes.
    pub fn encoded_bytes(&self) -> usize {
        let content = encoded_bytes_of(self);
        content.saturating_add(MAGIC.len() + CHECKSUM_BYTES)
    }

    /// Whether one more record may be added, apart from its size.
    pub fn has_capacity_for_record(&self) -> bool {
        self.records.len() < MAX_RECORDS
    }

    /// Decodes a datagram, which may contain anything.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let content = checked_content(bytes)?;
        let packet = Self::read_from_buffer(content).map_err(|_| DecodeError::Content)?;
        packet.check()?;
        Ok(packet)
    }

    fn check(&self) -> Result<(), DecodeError> {
        self.sender.name.check()?;
        match &self.message {
            Message::Ping { target, .. } | Message::IndirectPing { target, .. } => target.name.check()?,
            Message::SyncRequest { digests, .. } if digests.len() != BUCKETS => {
                return Err(DecodeError::DigestCount);
            }
            _ => {}
        }
        self.records.iter().try_for_each(Record::check)
    }
}

fn encoded_bytes_of(value: &impl Writable<LittleEndian>) -> usize {
    value.bytes_needed().unwrap_or(usize::MAX)
}

fn checked_content(bytes: &[u8]) -> Result<&[u8], DecodeError> {
    if bytes.len() > MAX_DECODED_BYTES {
        return Err(DecodeError::TooLong);
    }
    if !bytes.starts_with(&MAGIC) || bytes.len() < MAGIC.len() + CHECKSUM_BYTES {
        return Err(DecodeError::OtherProtocol);
    }
    let (covered, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
    if checksum != checksum_of(covered) {
        return Err(DecodeError::Checksum);
    }
    Ok(&covered[MAGIC.len()..])
}

fn checksum_of(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let hash = xxh3_64(bytes).to_le_bytes();
    [hash[0], hash[1], hash[2], hash[3]]
}

#[cfg(test)]
mod golden_tests;
