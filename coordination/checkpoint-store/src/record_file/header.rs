//! The header at the start of each record file.

use crate::{Damage, FileName, StorageError};
use speedy::{Readable, Writable};

/// Magic number of files of this format.
const MAGIC: u32 = 0x6c72_646d;
/// The version of the format that this library reads and writes.
pub(crate) const FORMAT_VERSION: u32 = 1;
/// Bytes of a file header.
pub const FILE_HEADER_BYTES: usize = 40;
/// Bytes of the header before its checksum.
const CHECKED_BYTES: usize = FILE_HEADER_BYTES - 4;

/// The purpose of a record file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// A slot: holds one checkpoint.
    Slot,
    /// The records since a checkpoint.
    Log,
    /// A segment of an append-only log.
    Segment,
}

impl FileKind {
    const fn code(self) -> u32 {
        match self {
            Self::Slot => 1,
            Self::Log => 2,
            Self::Segment => 3,
        }
    }
}

/// The header of a record file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileHeader {
    /// The purpose of the file.
    pub kind: FileKind,
    /// The generation of a slot or log, the id of a segment.
    pub number: u64,
    /// The sequence number of the first record in the file.
    pub first_sequence: u64,
    /// Mixed into the checksums of the frames, so that the author of a record's payload cannot forge a frame in it.
    pub salt: u64,
}

/// A header in its form on disk (little endian).
#[derive(Readable, Writable)]
struct DiskHeader {
    magic: u32,
    version: u32,
    kind: u32,
    number: u64,
    first_sequence: u64,
    salt: u64,
    checksum: u32,
}

/// The result of decoding a header.
pub(crate) enum HeaderState {
    /// A complete header.
    Valid(FileHeader),
    /// The file ends within its header: it was being created when power was lost.
    Unfinished,
}

impl FileHeader {
    /// The header as bytes.
    pub(crate) fn encode(&self) -> [u8; FILE_HEADER_BYTES] {
        let header = DiskHeader {
            magic: MAGIC,
            version: FORMAT_VERSION,
            kind: self.kind.code(),
            number: self.number,
            first_sequence: self.first_sequence,
            salt: self.salt,
            checksum: 0,
        };
        let mut bytes = [0; FILE_HEADER_BYTES];
        header.write_to_buffer(&mut bytes).expect("the buffer has the header's size");
        let checksum = crc32fast::hash(&bytes[..CHECKED_BYTES]);
        bytes[CHECKED_BYTES..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes the header of file `name`, which must be of this kind, and of this number if one is given.
    pub(crate) fn decode(
        bytes: &[u8],
        name: &FileName,
        kind: FileKind,
        number: Option<u64>,
    ) -> Result<HeaderState, StorageError> {
        let damaged = || StorageError::Corrupt { file: name.clone(), offset: 0, damage: Damage::Header };
        let Some(header) = checked(bytes) else {
            // Records are written only after the header was synced.
            return if bytes.len() <= FILE_HEADER_BYTES {
                Ok(HeaderState::Unfinished)
            } else {
                Err(damaged())
            };
        };
        if header.version != FORMAT_VERSION {
            let (found, expected) = (header.version, FORMAT_VERSION);
            return Err(StorageError::UnknownVersion { file: name.clone(), found, expected });
        }
        let DiskHeader { number: found, first_sequence, salt, .. } = header;
        if header.kind != kind.code() || number.is_some_and(|number| number != found) {
            return Err(damaged());
        }
        let number = found;
        Ok(HeaderState::Valid(Self { kind, number, first_sequence, salt }))
    }

    /// The key of the checksums of all frames in this file.
    pub(crate) fn frame_key(&self) -> u32 {
        // Without the header's own checksum: a CRC over data and its CRC is the same for all data.
        crc32fast::hash(&self.encode()[..CHECKED_BYTES])
    }
}

/// The header at the start of `bytes` if its checksum holds.
fn checked(bytes: &[u8]) -> Option<DiskHeader> {
    let bytes = bytes.get(..FILE_HEADER_BYTES)?;
    let header = DiskHeader::read_from_buffer(bytes).ok()?;
    let checksum = crc32fast::hash(&bytes[..CHECKED_BYTES]);
    (header.magic == MAGIC && header.checksum == checksum).then_some(header)
}
