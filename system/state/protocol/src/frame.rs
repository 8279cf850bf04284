//! Frames on a connection between two processes: length, checksum, encoded message.
//!
//! A frame is its content's length and checksum (four bytes each, little-endian) and the content: the `speedy` encoding of
//! one message. The checksum is the low half of the content's XXH3 hash.
//!
//! A long message is compressed (DEFLATE, RFC 1951) where that makes it shorter: lists and configurations are sent to every
//! process of a deployment and repeat the same names many times. The highest bit of the length marks such a frame; its
//! content is the length of the encoded message (four bytes) and its compressed form.

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use speedy::{LittleEndian, Readable, Writable};
use xxhash_rust::xxh3::xxh3_64;

/// Bytes before a frame's content: length and checksum, four bytes each.
pub const HEADER_BYTES: usize = 8;
/// Maximum length of one frame's content, in bytes. Larger data is sent in chunks.
pub const MAX_CONTENT_BYTES: usize = 8 << 20;

/// Shorter messages are not compressed: little is saved, and compression takes time (bytes).
const MIN_COMPRESSED_BYTES: usize = 2 << 10;
/// The fastest level of DEFLATE.
const COMPRESSION_LEVEL: u8 = 1;
/// In the length of a frame: its content is compressed.
const COMPRESSED_FLAG: u32 = 1 << 31;
/// Bytes before the compressed form of a message: its length.
const RAW_LENGTH_BYTES: usize = 4;

/// The bytes on a connection are not frames of this protocol, or a message cannot be framed. After a failed
/// [`decode`] the connection must be closed: where the next frame begins is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The content has this many bytes, which is over [`MAX_CONTENT_BYTES`].
    #[error("frame of {0} bytes is over the limit")]
    TooLong(usize),
    /// The checksum does not match the content.
    #[error("checksum of a frame does not match")]
    Checksum,
    /// The content is not the encoding of a message of the expected type.
    #[error("content of a frame cannot be decoded")]
    Content,
}

fn checksum(content: &[u8]) -> u32 {
    // The low half of the hash is as good as any 32 bits of it.
    (xxh3_64(content) & u64::from(u32::MAX)) as u32
}

/// A frame without content: a keep-alive, which shows only that the sender is alive.
pub const KEEP_ALIVE: [u8; HEADER_BYTES] = [0; HEADER_BYTES];

/// Appends the frame of `message` to `buffer`.
///
/// # Errors
/// [`FrameError::TooLong`] if the encoded message is over [`MAX_CONTENT_BYTES`], and [`FrameError::Content`] if it cannot
/// be encoded; `buffer` is unchanged then.
pub fn encode<M: Writable<LittleEndian>>(message: &M, buffer: &mut Vec<u8>) -> Result<(), FrameError> {
    let raw = message.write_to_vec().map_err(|_| FrameError::Content)?;
    if raw.len() > MAX_CONTENT_BYTES {
        return Err(FrameError::TooLong(raw.len()));
    }
    match compress(&raw) {
        Some(content) => append(&content, COMPRESSED_FLAG, buffer),
        None => append(&raw, 0, buffer),
    }
}

fn append(content: &[u8], flag: u32, buffer: &mut Vec<u8>) -> Result<(), FrameError> {
    let length = u32::try_from(content.len()).map_err(|_| FrameError::TooLong(content.len()))?;
    buffer.extend_from_slice(&(length | flag).to_le_bytes());
    buffer.extend_from_slice(&checksum(content).to_le_bytes());
    buffer.extend_from_slice(content);
    Ok(())
}

/// The content of a compressed frame, where that is shorter than the message.
fn compress(raw: &[u8]) -> Option<Vec<u8>> {
    if raw.len() < MIN_COMPRESSED_BYTES {
        return None;
    }
    let length = u32::try_from(raw.len()).ok()?;
    let mut content = length.to_le_bytes().to_vec();
    content.extend(compress_to_vec(raw, COMPRESSION_LEVEL));
    (content.len() < raw.len()).then_some(content)
}

/// The encoded message in a compressed frame's content.
fn decompress(content: &[u8]) -> Result<Vec<u8>, FrameError> {
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

/// Content of a frame.
#[derive(Debug, PartialEq)]
pub enum Content<M> {
    /// None: a keep-alive.
    KeepAlive,
    /// A message.
    Message(M),
}

/// A decoded frame.
#[derive(Debug, PartialEq)]
pub struct Decoded<M> {
    /// Its content.
    pub content: Content<M>,
    /// Length of the frame with its header, in bytes.
    pub consumed: usize,
}

/// Decodes the first frame of `bytes`; `None` if it is incomplete.
///
/// # Errors
/// The bytes are not a frame, whatever follows them: it is too long, its checksum does not match, or its content cannot be
/// decoded.
pub fn decode<'a, M: Readable<'a, LittleEndian>>(bytes: &'a [u8]) -> Result<Option<Decoded<M>>, FrameError> {
    let Some((header, rest)) = bytes.split_at_checked(HEADER_BYTES) else { return Ok(None) };
    let word = |offset: usize| {
        u32::from_le_bytes([header[offset], header[offset + 1], header[offset + 2], header[offset + 3]])
    };
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
        true => M::read_from_buffer_copying_data(&decompress(content)?),
        false => M::read_from_buffer(content),
    }
    .map_err(|_| FrameError::Content)?;
    Ok(Some(Decoded { content: Content::Message(message), consumed: HEADER_BYTES + length }))
}
