//! Frames on a connection between two processes: length, checksum, encoded message.
//!
//! A long message is compressed (DEFLATE) where that makes it shorter: lists and configurations are sent to every
//! process of a deployment, and repeat the same names over and over. The highest bit of the length tells so; the content
//! is then the length of the encoded message (four bytes) and its compressed form.

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use speedy::{LittleEndian, Readable, Writable};
use xxhash_rust::xxh3::xxh3_64;

/// Bytes before a frame's content: length and checksum, four bytes each.
pub const HEADER_BYTES: usize = 8;
/// Content of one frame at the most, in bytes. Larger things are sent in pieces.
pub const MAX_CONTENT_BYTES: usize = 8 << 20;

/// Shorter messages are sent as they are: little is saved, and compression takes time (bytes).
const COMPRESSED_FROM_BYTES: usize = 2 << 10;
/// The fastest level of DEFLATE.
const COMPRESSION_LEVEL: u8 = 1;
/// In the length of a frame: its content is compressed.
const COMPRESSED_FLAG: u32 = 1 << 31;
/// Bytes before the compressed form of a message: its length.
const RAW_LENGTH_BYTES: usize = 4;

/// Bytes on a connection are no frames of this protocol; the connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("frame of {0} bytes is over the limit")]
    TooLong(usize),
    #[error("checksum of a frame does not match")]
    Checksum,
    #[error("content of a frame cannot be decoded")]
    Content,
}

fn checksum(content: &[u8]) -> u32 {
    // The low half of the hash is as good as any 32 bits of it.
    (xxh3_64(content) & u64::from(u32::MAX)) as u32
}

/// A frame without content: says only that the sender lives.
pub const KEEP_ALIVE: [u8; HEADER_BYTES] = [0; HEADER_BYTES];

/// Appends the frame of `message` to `out`.
///
/// # Errors
/// The message is over [`MAX_CONTENT_BYTES`]; `out` is as before.
pub fn encode<M: Writable<LittleEndian>>(message: &M, out: &mut Vec<u8>) -> Result<(), FrameError> {
    let raw = message.write_to_vec().map_err(|_| FrameError::Content)?;
    if raw.len() > MAX_CONTENT_BYTES {
        return Err(FrameError::TooLong(raw.len()));
    }
    match compressed(&raw) {
        Some(content) => append(&content, COMPRESSED_FLAG, out),
        None => append(&raw, 0, out),
    }
}

fn append(content: &[u8], flag: u32, out: &mut Vec<u8>) -> Result<(), FrameError> {
    let length = u32::try_from(content.len()).map_err(|_| FrameError::TooLong(content.len()))?;
    out.extend_from_slice(&(length | flag).to_le_bytes());
    out.extend_from_slice(&checksum(content).to_le_bytes());
    out.extend_from_slice(content);
    Ok(())
}

/// The content of a compressed frame, where it is shorter than the message.
fn compressed(raw: &[u8]) -> Option<Vec<u8>> {
    if raw.len() < COMPRESSED_FROM_BYTES {
        return None;
    }
    let length = u32::try_from(raw.len()).ok()?;
    let mut content = length.to_le_bytes().to_vec();
    content.extend(compress_to_vec(raw, COMPRESSION_LEVEL));
    (content.len() < raw.len()).then_some(content)
}

/// The message that a compressed frame holds.
fn decompressed(content: &[u8]) -> Result<Vec<u8>, FrameError> {
    let (length, packed) = content.split_first_chunk::<RAW_LENGTH_BYTES>().ok_or(FrameError::Content)?;
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_CONTENT_BYTES {
        return Err(FrameError::TooLong(length));
    }
    let raw = decompress_to_vec_with_limit(packed, length).map_err(|_| FrameError::Content)?;
    if raw.len() != length {
        return Err(FrameError::Content);
    }
    Ok(raw)
}

/// What a frame holds.
#[derive(Debug, PartialEq)]
pub enum Content<M> {
    KeepAlive,
    Message(M),
}

/// A decoded frame and the bytes it took.
#[derive(Debug, PartialEq)]
pub struct Decoded<M> {
    pub content: Content<M>,
    pub consumed: usize,
}

/// Decodes the first frame of `bytes`; `None` where it is not whole yet.
///
/// # Errors
/// These bytes are no frame, whatever follows.
pub fn decode<'a, M: Readable<'a, LittleEndian>>(bytes: &'a [u8]) -> Result<Option<Decoded<M>>, FrameError> {
    let Some((header, rest)) = bytes.split_at_checked(HEADER_BYTES) else { return Ok(None) };
    let word = |at: usize| u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    let is_compressed = word(0) & COMPRESSED_FLAG != 0;
    let length = (word(0) & !COMPRESSED_FLAG) as usize;
    if length > MAX_CONTENT_BYTES {
        return Err(FrameError::TooLong(length));
    }
    if length == 0 {
        return Ok(Some(Decoded { content: Content::KeepAlive, consumed: HEADER_BYTES }));
    }
    let Some(content) = rest.get(..length) else { return Ok(None) };
    if checksum(content) != word(4) {
        return Err(FrameError::Checksum);
    }
    let message = match is_compressed {
        true => M::read_from_buffer_copying_data(&decompressed(content)?),
        false => M::read_from_buffer(content),
    }
    .map_err(|_| FrameError::Content)?;
    Ok(Some(Decoded { content: Content::Message(message), consumed: HEADER_BYTES + length }))
}
