//! Decoding of messages. A [`Decoder`] buffers the bytes received on one connection and returns each message
//! once it is complete.

use super::{Headers, Request, Response, BODY_LIMIT, HEAD_LIMIT, MAX_HEADERS};
use std::fmt;

/// Longest size line of a chunk, with its extensions (bytes).
const CHUNK_LINE_LIMIT: usize = 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    Malformed(&'static str),
    HeadTooLarge,
    BodyTooLarge,
    UnknownCoding,
    CutShort,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Malformed(what) => write!(f, "malformed {what}"),
            FrameError::HeadTooLarge => write!(f, "head over {HEAD_LIMIT} bytes or {MAX_HEADERS} lines"),
            FrameError::BodyTooLarge => write!(f, "body over {BODY_LIMIT} bytes"),
            FrameError::UnknownCoding => f.write_str("unknown transfer coding"),
            FrameError::CutShort => f.write_str("connection ended inside a message"),
        }
    }
}

impl std::error::Error for FrameError {}

type Framed<T> = Result<T, FrameError>;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// What differs between requests and responses in framing.
pub trait Message: Sized {
    /// Parses the head at the front of `bytes`; returns the message with an empty body and the length of the
    /// head, once the head is complete.
    fn head(bytes: &[u8]) -> Framed<Option<(Self, usize)>>;
    /// Whether this is an interim response (1xx), which the final one follows.
    fn is_interim(&self) -> bool;
    /// Whether the message has no body whatever its headers say.
    fn has_no_body(&self) -> bool;
    /// Whether a body for which the headers give neither a length nor a transfer coding extends to the end of
    /// the connection; otherwise there is no body.
    fn is_close_delimited() -> bool;
    fn headers(&self) -> &Headers;
    fn set_body(&mut self, body: Vec<u8>);
}

fn head_error(error: httparse::Error) -> FrameError {
    match error {
        httparse::Error::TooManyHeaders => FrameError::HeadTooLarge,
        httparse::Error::HeaderName | httparse::Error::HeaderValue => FrameError::Malformed("header"),
        _ => FrameError::Malformed("start line"),
    }
}

fn owned_headers(parsed: &[httparse::Header]) -> Framed<Headers> {
    let line = |h: &httparse::Header| {
        let value = std::str::from_utf8(h.value).map_err(|_| FrameError::Malformed("header"))?;
        Ok((h.name.to_owned(), value.trim().to_owned()))
    };
    parsed.iter().map(line).collect::<Framed<Vec<_>>>().map(Headers)
}

/// Whether the connection stays open: by default yes in HTTP/1.1 and no in HTTP/1.0.
fn is_keep_alive(version: Option<u8>, headers: &Headers) -> bool {
    match version {
        Some(0) => headers.lists("connection", "keep-alive"),
        _ => !headers.lists("connection", "close"),
    }
}

impl Message for Request {
    fn head(bytes: &[u8]) -> Framed<Option<(Self, usize)>> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut lines);
        let httparse::Status::Complete(length) = parsed.parse(bytes).map_err(head_error)? else {
            return Ok(None);
        };
        let headers = owned_headers(parsed.headers)?;
        let request = Request {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            keep_alive: is_keep_alive(parsed.version, &headers),
            headers,
            body: Vec::new(),
        };
        Ok(Some((request, length)))
    }
    fn is_interim(&self) -> bool {
        false
    }
    fn has_no_body(&self) -> bool {
        false
    }
    fn is_close_delimited() -> bool {
        false
    }
    fn headers(&self) -> &Headers {
        &self.headers
    }
    fn set_body(&mut self, body: Vec<u8>) {
        self.body = body;
    }
}

impl Message for Response {
    fn head(bytes: &[u8]) -> Framed<Option<(Self, usize)>> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut lines);
        let httparse::Status::Complete(length) = parsed.parse(bytes).map_err(head_error)? else {
            return Ok(None);
        };
        let headers = owned_headers(parsed.headers)?;
        let response = Response {
            status: parsed.code.unwrap_or_default(),
            keep_alive: is_keep_alive(parsed.version, &headers),
            headers,
            body: Vec::new(),
        };
        Ok(Some((response, length)))
    }
    fn is_interim(&self) -> bool {
        matches!(self.status, 100..=199)
    }
    fn has_no_body(&self) -> bool {
        self.is_interim() || matches!(self.status, 204 | 304)
    }
    fn is_close_delimited() -> bool {
        true
    }
    fn headers(&self) -> &Headers {
        &self.headers
    }
    fn set_body(&mut self, body: Vec<u8>) {
        self.body = body;
    }
}

/// Determines the framing from the headers. Two different lengths, or a length beside a transfer coding, are
/// refused: two readers could disagree on where the message ends (request smuggling).
fn framing<M: Message>(message: &M) -> Framed<Framing> {
    let headers = message.headers();
    let mut lengths = headers.all("content-length").flat_map(|v| v.split(',')).map(str::trim);
    let length = lengths.next();
    if lengths.any(|other| Some(other) != length) {
        return Err(FrameError::Malformed("Content-Length: two that differ"));
    }
    let coding = headers.get("transfer-encoding");
    match (length, coding) {
        _ if message.has_no_body() => Ok(Framing::Length(0)),
        (Some(_), Some(_)) => Err(FrameError::Malformed("Content-Length beside Transfer-Encoding")),
        (None, Some(c))
            if c.eq_ignore_ascii_case("chunked") && headers.all("transfer-encoding").count() == 1 =>
        {
            Ok(Framing::Chunked)
        }
        (None, Some(_)) => Err(FrameError::UnknownCoding),
        (Some(digits), None) => read_length(digits).map(Framing::Length),
        (None, None) if M::is_close_delimited() => Ok(Framing::UntilClose),
        (None, None) => Ok(Framing::Length(0)),
    }
}

fn read_length(digits: &str) -> Framed<usize> {
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return Err(FrameError::Malformed("Content-Length"));
    }
    // Digits that overflow `usize` are a valid length, but too large.
    match digits.parse::<usize>() {
        Ok(n) if n <= BODY_LIMIT => Ok(n),
        _ => Err(FrameError::BodyTooLarge),
    }
}

#[derive(Debug)]
struct PartialMessage<M> {
    message: M,
    framing: Framing,
    /// The decoded part of a chunked body.
    chunks: Vec<u8>,
    /// The peer waits for `100 Continue` before it sends the body, and has not been told yet.
    expects_continue: bool,
}

/// Incremental decoder of the messages on one connection.
#[derive(Debug)]
pub struct Decoder<M> {
    buffer: Vec<u8>,
    open: Option<PartialMessage<M>>,
}

impl<M> Default for Decoder<M> {
    fn default() -> Self {
        Decoder { buffer: Vec::new(), open: None }
    }
}

impl<M: Message> Decoder<M> {
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether nothing has been received since the last complete message.
    pub fn is_idle(&self) -> bool {
        self.buffer.is_empty() && self.open.is_none()
    }

    /// Bytes buffered for a message that is not complete yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() + self.open.as_ref().map_or(0, |open| open.chunks.len())
    }

    /// Whether the peer waits for `100 Continue`; true only once for each message.
    pub fn take_expectation(&mut self) -> bool {
        self.open.as_mut().is_some_and(|open| std::mem::take(&mut open.expects_continue))
    }

    /// Returns the next message once it is complete. After an error nothing more can be decoded on the connection.
    pub fn next_message(&mut self) -> Framed<Option<M>> {
        while self.open.is_none() {
            match self.read_head()? {
                Some(open) if open.message.is_interim() => {}
                Some(open) => self.open = Some(open),
                None => return Ok(None),
            }
        }
        let Some(open) = self.open.as_mut() else { return Ok(None) };
        let body = match open.framing {
            Framing::Length(n) if self.buffer.len() < n => None,
            Framing::Length(n) => Some(self.buffer.drain(..n).collect()),
            Framing::Chunked => read_chunks(&mut self.buffer, &mut open.chunks)?,
            Framing::UntilClose if self.buffer.len() > BODY_LIMIT => return Err(FrameError::BodyTooLarge),
            Framing::UntilClose => None,
        };
        Ok(body.and_then(|body| self.complete(body)))
    }

    /// Handles the end of the connection, which completes a body that is delimited by it.
    pub fn finish(&mut self) -> Framed<Option<M>> {
        match &self.open {
            Some(open) if open.framing == Framing::UntilClose => {
                let body = std::mem::take(&mut self.buffer);
                Ok(self.complete(body))
            }
            _ if self.is_idle() => Ok(None),
            _ => Err(FrameError::CutShort),
        }
    }

    /// Completes the open message with its body.
    fn complete(&mut self, body: Vec<u8>) -> Option<M> {
        let mut message = self.open.take()?.message;
        message.set_body(body);
        if self.buffer.is_empty() {
            // A keep-alive connection is idle most of the time and should not keep the memory of its largest
            // message.
            self.buffer = Vec::new();
        }
        Some(message)
    }

    fn read_head(&mut self) -> Framed<Option<PartialMessage<M>>> {
        // httparse skips blank lines before a head; the limit below keeps them from filling the buffer without
        // bound.
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let Some((message, length)) = M::head(&self.buffer[..self.buffer.len().min(HEAD_LIMIT)])? else {
            return if self.buffer.len() >= HEAD_LIMIT { Err(FrameError::HeadTooLarge) } else { Ok(None) };
        };
        let framing = framing(&message)?;
        let expects_continue =
            message.headers().lists("expect", "100-continue") && framing != Framing::Length(0);
        self.buffer.drain(..length);
        Ok(Some(PartialMessage { message, framing, chunks: Vec::new(), expects_continue }))
    }
}

/// Moves complete chunks from the front of `buffer` to `body`; returns the body after the last chunk and its
/// trailers.
fn read_chunks(buffer: &mut Vec<u8>, body: &mut Vec<u8>) -> Framed<Option<Vec<u8>>> {
    loop {
        let bad = |_| FrameError::Malformed("chunk size");
        let (start, size) = match httparse::parse_chunk_size(buffer).map_err(bad)? {
            httparse::Status::Complete(found) => found,
            httparse::Status::Partial if buffer.len() > CHUNK_LINE_LIMIT => {
                return Err(FrameError::Malformed("chunk size"))
            }
            httparse::Status::Partial => return Ok(None),
        };
        if size == 0 {
            return Ok(read_trailers(&buffer[start..])?.map(|length| {
                buffer.drain(..start + length);
                std::mem::take(body)
            }));
        }
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > BODY_LIMIT - body.len() {
            return Err(FrameError::BodyTooLarge);
        }
        let end = start + size;
        let Some(tail) = buffer.get(end..end + 2) else { return Ok(None) };
        if tail != b"\r\n" {
            return Err(FrameError::Malformed("chunk end"));
        }
        body.extend_from_slice(&buffer[start..end]);
        buffer.drain(..end + 2);
    }
}

/// Length of the trailer section, once it is complete. The trailers themselves are ignored.
fn read_trailers(bytes: &[u8]) -> Framed<Option<usize>> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(bytes, &mut lines).map_err(head_error)? {
        httparse::Status::Complete((length, _)) => Ok(Some(length)),
        httparse::Status::Partial if bytes.len() > HEAD_LIMIT => Err(FrameError::HeadTooLarge),
        httparse::Status::Partial => Ok(None),
    }
}
