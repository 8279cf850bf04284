//! Datagrams: their types, their encoding, and bounded decoding of untrusted bytes.

use std::net::{IpAddr, SocketAddr};

use speedy::{LittleEndian, Readable, Writable};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::digest::BUCKETS;
use crate::identity::{GroupId, Incarnation, MemberId, NameError, Zone};
use crate::member::{Member, Status, MAX_METADATA_BYTES};

/// First bytes of every datagram: two letters that identify the protocol, and the version of the format.
const MAGIC: [u8; 3] = [b'm', b'b', 1];

/// Length in bytes of the checksum at the end of a datagram, which detects corruption and truncation.
const CHECKSUM_BYTES: usize = 4;

/// Maximum size in bytes of datagrams that are decoded. No valid datagram is larger.
const MAX_DECODED_BYTES: usize = crate::config::MAX_DATAGRAM_BYTES;

/// Maximum number of records in one datagram. Their number is encoded in one byte.
const MAX_RECORDS: usize = u8::MAX as usize;

/// Sequence number that matches an answer to its probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub(crate) struct Sequence(pub u32);

/// Encoded form of an IP address and a port.
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

/// Address, zone and metadata of a live member.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub(crate) struct Details {
    pub address: Endpoint,
    pub zone: Zone,
    #[speedy(length_type = u16)]
    pub metadata: Vec<u8>,
}

/// Encoded record of a member. Records of dead and left members carry no details; for suspected members see
/// [`Record::update`] and [`Record::full`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub(crate) struct Record {
    pub id: MemberId,
    pub incarnation: Incarnation,
    pub status: Status,
    pub details: Option<Details>,
}

impl Record {
    /// Creates the record that is disseminated as an update. Only members that are alive get details, since a suspicion does
    /// not change them.
    pub fn update(member: &Member) -> Self {
        let details = (member.status == Status::Alive).then(|| details_of(member));
        Self { id: member.id.clone(), incarnation: member.incarnation, status: member.status, details }
    }

    /// Creates the record for a receiver that may not know the member: with the details of any live member.
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

/// Request or answer in a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
#[speedy(tag_type = u8)]
pub(crate) enum Message {
    /// Probe of `target`, which answers with an `Ack`.
    Ping { sequence: Sequence, target: MemberId },
    /// Answer to a `Ping`, sent directly or forwarded by the member that relayed the probe.
    Ack { sequence: Sequence },
    /// Answer to a `Ping` for another process than the one at this address.
    WrongTarget { sequence: Sequence },
    /// Request to the receiver to ping `target` at `address` and to forward the answer.
    IndirectPing { sequence: Sequence, target: MemberId, address: Endpoint },
    /// Answer to an `IndirectPing` whose target has not answered yet.
    Nack { sequence: Sequence },
    /// Request for the records of the buckets whose digests differ. The receiver sends the same request in return unless
    /// `answer` is set, which marks such a returned request.
    SyncRequest {
        answer: bool,
        #[speedy(length_type = u8)]
        digests: Vec<u64>,
    },
    /// Records of buckets that differ; `more` states that not all of them were sent.
    SyncRecords { more: bool },
    /// A datagram that only carries records.
    Gossip,
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub(crate) struct Packet {
    pub group: GroupId,
    pub sender: MemberId,
    /// Digest of the sender's entire member list.
    pub digest: u64,
    pub message: Message,
    #[speedy(length_type = u8)]
    pub records: Vec<Record>,
}

/// Why a datagram could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The datagram is longer than any datagram of this protocol.
    #[error("the datagram is too long")]
    TooLong,
    /// The datagram does not begin with the bytes that identify this protocol and version, or is too short.
    #[error("the datagram is of another protocol or version")]
    OtherProtocol,
    /// The datagram was truncated or corrupted.
    #[error("the checksum does not match")]
    Checksum,
    /// The checksum matches, but the content cannot be decoded.
    #[error("the content cannot be read")]
    Content,
    /// The name of a member or zone is empty or too long.
    #[error("a name cannot be used: {0}")]
    Name(#[from] NameError),
    /// A record carries more metadata than a member may have.
    #[error("the metadata is too long")]
    MetadataTooLong,
    /// A record carries an incarnation above [`Incarnation::LIMIT`].
    #[error("an incarnation is too large")]
    IncarnationTooLarge,
    /// The number of digests differs from the number of buckets.
    #[error("the number of digests is wrong")]
    DigestCount,
}

impl Packet {
    /// Encodes the packet as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        // Writing to memory does not fail. If it did, receivers would reject the truncated datagram, since its content
        // cannot be decoded.
        bytes.extend(self.write_to_vec().unwrap_or_default());
        let checksum = checksum_of(&bytes);
        bytes.extend_from_slice(&checksum);
        bytes
    }

    /// Returns the size of the datagram in bytes.
    pub fn encoded_bytes(&self) -> usize {
        let content = encoded_bytes_of(self);
        content.saturating_add(MAGIC.len() + CHECKSUM_BYTES)
    }

    /// Returns whether the number of records permits one more. The size of the datagram is not checked.
    pub fn has_capacity_for_record(&self) -> bool {
        self.records.len() < MAX_RECORDS
    }

    /// Decodes a datagram, which may contain arbitrary bytes.
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
