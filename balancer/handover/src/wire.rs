//! Messages as bytes: a length of 4 bytes, big endian, then CBOR (RFC 8949). CBOR and not postcard, because a map
//! by names lets an older side pass over what a newer one adds; it costs some bytes, a few times an upgrade.

use crate::Message;
use std::fmt;

/// The largest message: the state of 10,000 workers at some 200 bytes each, with room.
pub const FRAME_LIMIT: usize = 8 * 1024 * 1024;
const LENGTH_SIZE: usize = 4;
/// CBOR may nest; nothing of ours does so deeper than this.
const MAX_NESTING: usize = 16;

#[derive(Debug, PartialEq, Eq)]
pub enum WireError {
    /// A length over [`FRAME_LIMIT`].
    TooLarge(usize),
    /// No message that this version knows.
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

/// # Errors
/// The message is larger than the other side would take.
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

/// Messages out of bytes as they come.
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
    /// What has come is none; the connection is of no further use.
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
