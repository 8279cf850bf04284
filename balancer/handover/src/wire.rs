//! Encoding of messages: a big-endian length of 4 bytes, then CBOR (RFC 8949). CBOR is used rather than postcard
//! because its maps with named fields let an older version skip fields that a newer one adds. That costs a few more
//! bytes in a few messages per upgrade.

use crate::Message;
use std::fmt;

/// Largest message (bytes): holds the state of 10,000 workers of some 200 bytes each, with room to spare.
pub const FRAME_LIMIT: usize = 8 * 1024 * 1024;
/// Size of the length before each message (bytes).
const LENGTH_SIZE: usize = 4;
/// Deepest nesting of CBOR values that is accepted; no message of this protocol needs more.
const MAX_NESTING: usize = 16;

#[derive(Debug, PartialEq, Eq)]
pub enum WireError {
    /// A length over [`FRAME_LIMIT`].
    TooLarge(usize),
    /// Not a message that this version knows.
    Malformed(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::TooLarge(length) => write!(f, "{length} bytes are over the limit of {FRAME_LIMIT}"),
            WireError::Malformed(what) => write!(f, "no message: {what}"),
        }
    }
}

impl std::error::Error for WireError {}

/// Encodes a message with its length.
///
/// # Errors
/// The message is larger than [`FRAME_LIMIT`], which the other side would reject.
pub fn encode(message: &Message) -> Result<Vec<u8>, WireError> {
    let mut bytes = vec![0; LENGTH_SIZE];
    ciborium::into_writer(message, &mut bytes).map_err(|e| WireError::Malformed(e.to_string()))?;
    let length = bytes.len() - LENGTH_SIZE;
    if length > FRAME_LIMIT {
        return Err(WireError::TooLarge(length));
    }
    bytes[..LENGTH_SIZE].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(bytes)
}

/// Decodes messages from a stream of bytes that may be split anywhere.
#[derive(Default)]
pub struct Decoder {
    buffer: Vec<u8>,
}

impl Decoder {
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message, if there is one.
    ///
    /// # Errors
    /// The bytes are not a valid message; the connection cannot be used any further.
    pub fn next_message(&mut self) -> Result<Option<Message>, WireError> {
        let Some(head) = self.buffer.first_chunk::<LENGTH_SIZE>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if length > FRAME_LIMIT {
            return Err(WireError::TooLarge(length));
        }
        if self.buffer.len() < LENGTH_SIZE + length {
            return Ok(None);
        }
        let body: Vec<u8> = self.buffer.drain(..LENGTH_SIZE + length).skip(LENGTH_SIZE).collect();
        let read = ciborium::de::from_reader_with_recursion_limit(body.as_slice(), MAX_NESTING);
        read.map(Some).map_err(|e| WireError::Malformed(e.to_string()))
    }
}

#[cfg(test)]
mod tests;
