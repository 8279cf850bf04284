//! Follows the requests on a connection byte by byte and finds those that can be framed in two ways.
//!
//! Hyper resolves some ambiguities by itself (`Transfer-Encoding` beside `Content-Length`, a line that ends in a bare line
//! feed, a fragment behind the target) and hides them from the service. An HTTP implementation that resolves them otherwise
//! sees other requests in the same bytes (request smuggling), so such a request is rejected (RFC 9112, sections 2.2 and
//! 6.3). What hyper rejects by itself is not looked for here: it closes the connection.

/// Bytes of a line that are inspected: enough for each header that frames a body, and for the size of a chunk.
const INSPECTED_BYTES: usize = 64;
/// Hexadecimal digits of the largest chunk size that is read.
const CHUNK_DIGITS: usize = 16;
/// The line end after the data of a chunk.
const LINE_END_BYTES: u64 = 2;
/// Begins the fragment, which hyper removes from a target. No target of a request may have one.
const FRAGMENT: u8 = b'#';
const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";
const CHUNKED: &[u8] = b"chunked";

/// The framing of a request or of a chunk can be read in two ways, or not at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Ambiguous;

/// How the body of a request is framed, as far as its headers have been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Body {
    None,
    Sized(u64),
    Chunked,
}

/// Position of the parser: what the next bytes belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// The request line, or empty lines before it.
    RequestLine,
    Headers(Body),
    /// This many bytes of a body with a length are left.
    Sized(u64),
    ChunkSize,
    /// This many bytes of a chunk and its line end are left.
    Chunk(u64),
    Trailers,
}

/// The beginning of a line, collected over several reads.
#[derive(Debug)]
struct LineBuffer {
    start: [u8; INSPECTED_BYTES],
    /// Bytes of the line so far; those beyond `start` are only counted.
    length: usize,
    /// The last byte was a carriage return.
    ends_in_return: bool,
    /// A number sign was among the bytes.
    has_fragment: bool,
}

/// Follows the requests on one connection.
#[derive(Debug)]
pub(super) struct Framing {
    position: Position,
    line: LineBuffer,
    /// Requests that were read to their end.
    completed: u64,
    /// Nothing is read after an ambiguous request, which is the one after the `completed` ones.
    is_ambiguous: bool,
}

impl Framing {
    pub(super) fn new() -> Framing {
        Framing {
            position: Position::RequestLine,
            line: LineBuffer::new(),
            completed: 0,
            is_ambiguous: false,
        }
    }

    /// Reads the next bytes of the connection.
    pub(super) fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && !self.is_ambiguous {
            match self.step(bytes) {
                Ok(rest) => bytes = rest,
                Err(Ambiguous) => self.is_ambiguous = true,
            }
        }
    }

    /// Whether the request with this number, counted from 0, is ambiguous as far as it has been read.
    pub(super) fn is_ambiguous(&self, number: u64) -> bool {
        self.is_ambiguous && number >= self.completed
    }

    /// Reads bytes up to the end of a line or of a stretch of data, and returns the others.
    fn step<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], Ambiguous> {
        match self.position {
            Position::Sized(left) => Ok(self.skip(bytes, left, Position::Sized)),
            Position::Chunk(left) => Ok(self.skip(bytes, left, Position::Chunk)),
            Position::RequestLine | Position::Headers(_) | Position::ChunkSize | Position::Trailers => {
                let (is_complete, rest) = self.line.fill(bytes);
                if is_complete {
                    self.finish_line()?;
                }
                Ok(rest)
            }
        }
    }

    /// Passes over data of which `left` bytes are left; `position` makes the new position of what then is left.
    fn skip<'a>(&mut self, bytes: &'a [u8], left: u64, position: fn(u64) -> Position) -> &'a [u8] {
        let count = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
        let left = left - count as u64;
        match (left, self.position) {
            (0, Position::Chunk(_)) => self.position = Position::ChunkSize,
            (0, _) => self.finish_request(),
            _ => self.position = position(left),
        }
        &bytes[count..]
    }

    /// Interprets the line that has just ended.
    fn finish_line(&mut self) -> Result<(), Ambiguous> {
        let line = std::mem::replace(&mut self.line, LineBuffer::new());
        let is_empty = line.content()?.is_empty();
        match self.position {
            Position::RequestLine if is_empty => {}
            Position::RequestLine if line.has_fragment => return Err(Ambiguous),
            Position::RequestLine => self.position = Position::Headers(Body::None),
            Position::Headers(body) if is_empty => self.finish_head(body),
            Position::Headers(body) => self.position = Position::Headers(with_header(body, &line)?),
            Position::ChunkSize => self.position = after_chunk_size(&line)?,
            Position::Trailers if is_empty => self.finish_request(),
            Position::Trailers | Position::Sized(_) | Position::Chunk(_) => {}
        }
        Ok(())
    }

    fn finish_head(&mut self, body: Body) {
        match body {
            Body::None | Body::Sized(0) => self.finish_request(),
            Body::Sized(length) => self.position = Position::Sized(length),
            Body::Chunked => self.position = Position::ChunkSize,
        }
    }

    fn finish_request(&mut self) {
        self.position = Position::RequestLine;
        self.completed += 1;
    }
}

impl LineBuffer {
    fn new() -> LineBuffer {
        LineBuffer { start: [0; INSPECTED_BYTES], length: 0, ends_in_return: false, has_fragment: false }
    }

    /// Adds bytes up to the line feed; whether the line is complete, and the bytes after it.
    fn fill<'a>(&mut self, bytes: &'a [u8]) -> (bool, &'a [u8]) {
        match bytes.iter().position(|byte| *byte == b'\n') {
            Some(end) => {
                self.add(&bytes[..end]);
                (true, &bytes[end + 1..])
            }
            None => {
                self.add(bytes);
                (false, &[])
            }
        }
    }

    fn add(&mut self, bytes: &[u8]) {
        let from = self.length.min(INSPECTED_BYTES);
        let count = bytes.len().min(INSPECTED_BYTES - from);
        self.start[from..from + count].copy_from_slice(&bytes[..count]);
        self.length += bytes.len();
        self.has_fragment |= bytes.contains(&FRAGMENT);
        self.ends_in_return = bytes.last().map_or(self.ends_in_return, |last| *last == b'\r');
    }

    /// What is inspected of the line, without its end. The line must end in a carriage return and a line feed.
    fn content(&self) -> Result<&[u8], Ambiguous> {
        if !self.ends_in_return {
            return Err(Ambiguous);
        }
        Ok(&self.start[..INSPECTED_BYTES.min(self.length - 1)])
    }

    /// Whether all of the line is inspected.
    fn is_inspected_completely(&self) -> bool {
        self.length <= INSPECTED_BYTES
    }
}

/// How the body is framed once this header line has been read too.
fn with_header(body: Body, line: &LineBuffer) -> Result<Body, Ambiguous> {
    let content = line.content()?;
    if content.starts_with(b" ") || content.starts_with(b"\t") {
        return Err(Ambiguous);
    }
    let Some(colon) = content.iter().position(|byte| *byte == b':') else { return Ok(body) };
    let (name, value) = (content[..colon].trim_ascii_end(), content[colon + 1..].trim_ascii());
    let framing = if name.eq_ignore_ascii_case(CONTENT_LENGTH) {
        Body::Sized(length(value)?)
    } else if name.eq_ignore_ascii_case(TRANSFER_ENCODING) {
        chunked(value)?
    } else {
        return Ok(body);
    };
    // Also the same length twice, which another implementation might reject or join.
    match body {
        Body::None if line.is_inspected_completely() => Ok(framing),
        _ => Err(Ambiguous),
    }
}

fn length(value: &[u8]) -> Result<u64, Ambiguous> {
    let is_number = value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_number);
    text.and_then(|text| text.parse().ok()).ok_or(Ambiguous)
}

/// Any other coding, also beside `chunked`, would be lost when the body is forwarded.
fn chunked(value: &[u8]) -> Result<Body, Ambiguous> {
    match value.eq_ignore_ascii_case(CHUNKED) {
        true => Ok(Body::Chunked),
        false => Err(Ambiguous),
    }
}

/// What follows the line with a chunk's size and perhaps extensions.
fn after_chunk_size(line: &LineBuffer) -> Result<Position, Ambiguous> {
    let content = line.content()?;
    let digits = content.iter().position(|byte| !byte.is_ascii_hexdigit()).unwrap_or(content.len());
    if digits > CHUNK_DIGITS {
        return Err(Ambiguous);
    }
    let text = std::str::from_utf8(&content[..digits]).map_err(|_| Ambiguous)?;
    match u64::from_str_radix(text, 16).map_err(|_| Ambiguous)? {
        0 => Ok(Position::Trailers),
        size => Ok(Position::Chunk(size.checked_add(LINE_END_BYTES).ok_or(Ambiguous)?)),
    }
}
