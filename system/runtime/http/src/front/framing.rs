//! Follows the requests on a connection byte by byte and finds those that can be read in two ways.
//!
//! Hyper settles some doubts by itself (`Transfer-Encoding` beside `Content-Length`, a line that ends in a bare line
//! feed, a fragment behind the target) and hides them from the service. A neighbour that settles them otherwise sees other requests in the same
//! bytes, so such a request is refused (RFC 9112, sections 2.2 and 6.3). What hyper refuses by itself is not looked
//! for here: it closes the connection.

/// Bytes of a line that are looked at: enough for each header that frames a body, and for the size of a chunk.
const LOOKED_AT_BYTES: usize = 64;
/// Hexadecimal digits of the largest chunk size that is read.
const CHUNK_DIGITS: usize = 16;
/// The line end after the data of a chunk.
const LINE_END_BYTES: u64 = 2;
/// Begins what hyper cuts off a target. No target of a request may have it.
const FRAGMENT: u8 = b'#';
const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";
const CHUNKED: &[u8] = b"chunked";

/// The framing of a request or of a chunk can be read in two ways, or in none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Ambiguous;

/// How the body of a request is framed, as far as its headers have been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Body {
    None,
    Sized(u64),
    Chunked,
}

/// What the next bytes belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// The request line, or empty lines before it.
    RequestLine,
    Headers(Body),
    /// So many bytes of a body with a length are left.
    Sized(u64),
    ChunkSize,
    /// So many bytes of a chunk and its line end are left.
    Chunk(u64),
    Trailers,
}

/// The start of a line, collected over several reads.
#[derive(Debug)]
struct Line {
    start: [u8; LOOKED_AT_BYTES],
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
    place: Place,
    line: Line,
    /// Requests that were read to their end.
    whole: u64,
    /// Nothing is read after an ambiguous request, which is the one after the `whole` ones.
    is_ambiguous: bool,
}

impl Framing {
    pub(super) fn new() -> Framing {
        Framing { place: Place::RequestLine, line: Line::new(), whole: 0, is_ambiguous: false }
    }

    /// Takes the next bytes of the connection.
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
        self.is_ambiguous && number >= self.whole
    }

    /// Takes bytes up to the end of a line or of a stretch of data, and returns the others.
    fn step<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], Ambiguous> {
        match self.place {
            Place::Sized(left) => Ok(self.skip(bytes, left, Place::Sized)),
            Place::Chunk(left) => Ok(self.skip(bytes, left, Place::Chunk)),
            Place::RequestLine | Place::Headers(_) | Place::ChunkSize | Place::Trailers => {
                let (is_whole, rest) = self.line.take(bytes);
                if is_whole {
                    self.end_line()?;
                }
                Ok(rest)
            }
        }
    }

    /// Passes over data of which `left` bytes are left; `place` makes the place of what then is left.
    fn skip<'a>(&mut self, bytes: &'a [u8], left: u64, place: fn(u64) -> Place) -> &'a [u8] {
        let count = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
        let left = left - count as u64;
        match (left, self.place) {
            (0, Place::Chunk(_)) => self.place = Place::ChunkSize,
            (0, _) => self.end_request(),
            _ => self.place = place(left),
        }
        &bytes[count..]
    }

    /// Reads the line that has just ended.
    fn end_line(&mut self) -> Result<(), Ambiguous> {
        let line = std::mem::replace(&mut self.line, Line::new());
        let is_empty = line.content()?.is_empty();
        match self.place {
            Place::RequestLine if is_empty => {}
            Place::RequestLine if line.has_fragment => return Err(Ambiguous),
            Place::RequestLine => self.place = Place::Headers(Body::None),
            Place::Headers(body) if is_empty => self.end_head(body),
            Place::Headers(body) => self.place = Place::Headers(with_header(body, &line)?),
            Place::ChunkSize => self.place = after_chunk_size(&line)?,
            Place::Trailers if is_empty => self.end_request(),
            Place::Trailers | Place::Sized(_) | Place::Chunk(_) => {}
        }
        Ok(())
    }

    fn end_head(&mut self, body: Body) {
        match body {
            Body::None | Body::Sized(0) => self.end_request(),
            Body::Sized(length) => self.place = Place::Sized(length),
            Body::Chunked => self.place = Place::ChunkSize,
        }
    }

    fn end_request(&mut self) {
        self.place = Place::RequestLine;
        self.whole += 1;
    }
}

impl Line {
    fn new() -> Line {
        Line { start: [0; LOOKED_AT_BYTES], length: 0, ends_in_return: false, has_fragment: false }
    }

    /// Takes bytes up to the line feed; whether the line is whole, and the bytes after it.
    fn take<'a>(&mut self, bytes: &'a [u8]) -> (bool, &'a [u8]) {
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
        let from = self.length.min(LOOKED_AT_BYTES);
        let count = bytes.len().min(LOOKED_AT_BYTES - from);
        self.start[from..from + count].copy_from_slice(&bytes[..count]);
        self.length += bytes.len();
        self.has_fragment |= bytes.contains(&FRAGMENT);
        self.ends_in_return = bytes.last().map_or(self.ends_in_return, |last| *last == b'\r');
    }

    /// What is looked at of the line, without its end. The line must end in a carriage return and a line feed.
    fn content(&self) -> Result<&[u8], Ambiguous> {
        if !self.ends_in_return {
            return Err(Ambiguous);
        }
        Ok(&self.start[..LOOKED_AT_BYTES.min(self.length - 1)])
    }

    /// Whether all of the line is looked at.
    fn is_looked_at_in_full(&self) -> bool {
        self.length <= LOOKED_AT_BYTES
    }
}

/// How the body is framed once this header line has been read too.
fn with_header(body: Body, line: &Line) -> Result<Body, Ambiguous> {
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
    // Also the same length twice, which a neighbour might refuse or join.
    match body {
        Body::None if line.is_looked_at_in_full() => Ok(framing),
        _ => Err(Ambiguous),
    }
}

fn length(value: &[u8]) -> Result<u64, Ambiguous> {
    let is_number = value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_number);
    text.and_then(|text| text.parse().ok()).ok_or(Ambiguous)
}

/// Any other coding, also beside `chunked`, would be lost when the body is passed on.
fn chunked(value: &[u8]) -> Result<Body, Ambiguous> {
    match value.eq_ignore_ascii_case(CHUNKED) {
        true => Ok(Body::Chunked),
        false => Err(Ambiguous),
    }
}

/// What follows the line with a chunk's size and perhaps extensions.
fn after_chunk_size(line: &Line) -> Result<Place, Ambiguous> {
    let content = line.content()?;
    let digits = content.iter().position(|byte| !byte.is_ascii_hexdigit()).unwrap_or(content.len());
    if digits > CHUNK_DIGITS {
        return Err(Ambiguous);
    }
    let text = std::str::from_utf8(&content[..digits]).map_err(|_| Ambiguous)?;
    match u64::from_str_radix(text, 16).map_err(|_| Ambiguous)? {
        0 => Ok(Place::Trailers),
        size => Ok(Place::Chunk(size.checked_add(LINE_END_BYTES).ok_or(Ambiguous)?)),
    }
}
