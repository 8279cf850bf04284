//! Encoding of a [`Message`] on the wire and on disk.
//!
//! Its durations are 32-bit fields, which end at 49.7 days. A longer one is written as the largest number of its field, and
//! in full as a further header with a reserved name behind the client's headers. A process that knows only the field reads
//! 49.7 days and keeps the header with the others, so that the duration survives each store and dispatcher it passes.

use super::{Header, Message};
use crate::frame::MAX_CONTENT_BYTES;
use speedy::{Context, LittleEndian, Readable, Reader, Writable, Writer};
use std::borrow::Cow;

/// Header with the whole [`Message::delay_ms`].
const DELAY_HEADER: &str = "x-millrudder-delay-ms";
/// Header with the whole [`Message::target_start_ms`].
const TARGET_START_HEADER: &str = "x-millrudder-target-start-ms";
/// Header with the whole [`Message::retention_ms`].
const RETENTION_HEADER: &str = "x-millrudder-retention-ms";

/// Whether the encoding reserves a header name (in lower case). A client's header of that name must not get into
/// [`Message::headers`].
pub fn is_reserved_header(name: &str) -> bool {
    [DELAY_HEADER, TARGET_START_HEADER, RETENTION_HEADER].contains(&name)
}

/// Bytes of a frame, and of a record on disk, that are left for what stands beside a message: its identifier, its state and
/// the worker's signature.
const RESERVED_BYTES: usize = 64 << 10;

impl Message {
    /// Greatest length of an encoded message, in bytes. A longer one fits in no frame and must not be accepted.
    pub const MAX_ENCODED_BYTES: usize = MAX_CONTENT_BYTES - RESERVED_BYTES;

    /// Length of its encoding, in bytes; `usize::MAX` where it cannot be encoded.
    pub fn encoded_bytes(&self) -> usize {
        Writable::<LittleEndian>::bytes_needed(self).unwrap_or(usize::MAX)
    }
}

/// The fields of an encoded message, in their order.
#[derive(Readable)]
struct EncodedMessage {
    request_id: String,
    method: String,
    path: String,
    host: String,
    headers: Vec<Header>,
    body: Vec<u8>,
    order_key: Option<String>,
    callback_url: Option<String>,
    service: String,
    priority: u32,
    delay_ms: u32,
    target_start_ms: u32,
    max_attempts: u32,
    retention_ms: u32,
}

/// An [`EncodedMessage`] that is to be written.
#[derive(Writable)]
struct EncodedMessageRef<'a> {
    request_id: &'a str,
    method: &'a str,
    path: &'a str,
    host: &'a str,
    headers: Cow<'a, [Header]>,
    body: &'a [u8],
    order_key: Option<&'a str>,
    callback_url: Option<&'a str>,
    service: &'a str,
    priority: u32,
    delay_ms: u32,
    target_start_ms: u32,
    max_attempts: u32,
    retention_ms: u32,
}

impl<C: Context> Writable<C> for Message {
    fn write_to<W: ?Sized + Writer<C>>(&self, writer: &mut W) -> Result<(), C::Error> {
        let mut headers = Cow::Borrowed(self.headers.as_slice());
        let encoded = EncodedMessageRef {
            request_id: &self.request_id,
            method: &self.method,
            path: &self.path,
            host: &self.host,
            delay_ms: encode_duration(self.delay_ms, DELAY_HEADER, &mut headers),
            target_start_ms: encode_duration(self.target_start_ms, TARGET_START_HEADER, &mut headers),
            retention_ms: encode_duration(self.retention_ms, RETENTION_HEADER, &mut headers),
            headers,
            body: &self.body,
            order_key: self.order_key.as_deref(),
            callback_url: self.callback_url.as_deref(),
            service: &self.service,
            priority: self.priority,
            max_attempts: self.max_attempts,
        };
        encoded.write_to(writer)
    }
}

impl<'a, C: Context> Readable<'a, C> for Message {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        let encoded = EncodedMessage::read_from(reader)?;
        let mut headers = encoded.headers;
        Ok(Message {
            delay_ms: decode_duration(encoded.delay_ms, DELAY_HEADER, &mut headers),
            target_start_ms: decode_duration(encoded.target_start_ms, TARGET_START_HEADER, &mut headers),
            retention_ms: decode_duration(encoded.retention_ms, RETENTION_HEADER, &mut headers),
            request_id: encoded.request_id,
            method: encoded.method,
            path: encoded.path,
            host: encoded.host,
            headers,
            body: encoded.body,
            order_key: encoded.order_key,
            callback_url: encoded.callback_url,
            service: encoded.service,
            priority: encoded.priority,
            max_attempts: encoded.max_attempts,
        })
    }

    fn minimum_bytes_needed() -> usize {
        <EncodedMessage as Readable<'a, C>>::minimum_bytes_needed()
    }
}

/// The field of a duration (ms). One that is too long for it is added to the headers as well.
fn encode_duration(duration_ms: u64, header: &str, headers: &mut Cow<'_, [Header]>) -> u32 {
    u32::try_from(duration_ms).unwrap_or_else(|_| {
        let value = duration_ms.to_string().into_bytes();
        headers.to_mut().push(Header { name: header.to_owned(), value });
        u32::MAX
    })
}

/// The duration (ms) of a field. Where the field has its largest number, the header with the whole duration is removed from
/// the headers, if there is one.
fn decode_duration(field: u32, header: &str, headers: &mut Vec<Header>) -> u64 {
    if field < u32::MAX {
        return u64::from(field);
    }
    let Some(position) = headers.iter().rposition(|known| known.name == header) else {
        return u64::from(field);
    };
    let whole = std::str::from_utf8(&headers[position].value).ok().and_then(|text| text.parse().ok());
    match whole {
        Some(duration_ms) if duration_ms > u64::from(u32::MAX) => {
            headers.remove(position);
            duration_ms
        }
        _ => u64::from(field),
    }
}
