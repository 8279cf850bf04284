//! The frame around each record: its length, sequence number and checksums.

use speedy::{Readable, Writable};
use std::ops::Range;

/// Magic number at the start of a frame.
const MAGIC: u32 = 0x656d_7266;
/// Bytes of a frame beside its payload.
pub const FRAME_HEADER_BYTES: usize = 32;
/// Bytes of the frame header before its checksum.
const CHECKED_BYTES: usize = FRAME_HEADER_BYTES - 4;
/// Greatest payload of a frame in bytes; bounds the memory that reading one may take.
pub const MAX_PAYLOAD_BYTES: usize = 64 << 20;

/// The header of a frame in its form on disk (little endian).
#[derive(Clone, Copy, Debug, Readable, Writable)]
struct FrameHeader {
    magic: u32,
    length: u32,
    /// Sequence number of the record among all records.
    sequence: u64,
    /// Bytes of the file, from its start, that were synced when the frame was made.
    synced_length: u64,
    payload_checksum: u32,
    header_checksum: u32,
}

/// A complete frame.
pub(crate) struct Frame {
    pub sequence: u64,
    /// The payload, as a range of the bytes that were read.
    pub payload: Range<usize>,
}

/// Appends the frame of `payload` to `target`. The payload is at most [`MAX_PAYLOAD_BYTES`] long.
pub(crate) fn encode(target: &mut Vec<u8>, payload: &[u8], sequence: u64, synced_length: u64, key: u32) {
    let header = FrameHeader {
        magic: MAGIC,
        length: u32::try_from(payload.len()).expect("the payload's length was checked"),
        sequence,
        synced_length,
        payload_checksum: crc32fast::hash(payload),
        header_checksum: 0,
    };
    let mut bytes = [0; FRAME_HEADER_BYTES];
    header.write_to_buffer(&mut bytes).expect("the buffer has the header's size");
    let checksum = header_checksum(&bytes, key);
    bytes[CHECKED_BYTES..].copy_from_slice(&checksum.to_le_bytes());
    target.extend_from_slice(&bytes);
    target.extend_from_slice(payload);
}

/// The frame that starts at `offset`, if it is complete.
pub(crate) fn decode(bytes: &[u8], offset: usize, key: u32) -> Option<Frame> {
    let header = decode_header(bytes, offset, key)?;
    let start = offset + FRAME_HEADER_BYTES;
    let payload = start..start + header.length as usize;
    let is_complete = crc32fast::hash(bytes.get(payload.clone())?) == header.payload_checksum;
    is_complete.then_some(Frame { sequence: header.sequence, payload })
}

/// The frame header that starts at `offset`, if its checksum holds; the payload may still be damaged.
fn decode_header(bytes: &[u8], offset: usize, key: u32) -> Option<FrameHeader> {
    let bytes = bytes.get(offset..)?.get(..FRAME_HEADER_BYTES)?;
    let header = FrameHeader::read_from_buffer(bytes).ok()?;
    let is_plausible = header.magic == MAGIC && header.length as usize <= MAX_PAYLOAD_BYTES;
    (is_plausible && header.header_checksum == header_checksum(bytes, key)).then_some(header)
}

/// Whether a later frame header states that the byte at `offset` had been synced.
pub(crate) fn proves_synced(bytes: &[u8], offset: usize, key: u32) -> bool {
    let magic = MAGIC.to_le_bytes();
    let later = bytes.get(offset + 1..).unwrap_or_default().windows(magic.len());
    let candidates = later.enumerate().filter(|(_, window)| *window == magic);
    candidates
        .filter_map(|(distance, _)| decode_header(bytes, offset + 1 + distance, key))
        .any(|header| header.synced_length > offset as u64)
}

fn header_checksum(header: &[u8], key: u32) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(key);
    hasher.update(&header[..CHECKED_BYTES]);
    hasher.finalize()
}
