//! What no client should send, on raw sockets, and what comes of it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

/// Endless headers end here, so that the test ends too.
const ENDLESS_BYTES: usize = 4 * 1024 * 1024;
const HEADER_LINE: &[u8] = b"X-Padding: 0123456789012345678901234567890123456789012345678901234567890123\r\n";
const VERSION: &[u8] = b"HTTP/1.1 ";
const STATUS_DIGITS: usize = 3;
/// Stated by a head whose body is not as long.
const STATED_BYTES: usize = 1000;
const BODY_PART: &[u8] = b"only a part of the body";
/// Bodies that are too long are written in pieces of so many bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// What no client should send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostileInput {
    /// Header after header, up to some megabytes.
    EndlessHeaders,
    /// A head that ends in the middle, with the connection left open.
    StalledHead,
    /// A body that ends before its stated length, with the connection ended.
    CutBody,
    /// A body that stops before its stated length, with the connection left open.
    StalledBody,
    /// A body of so many bytes, to go beyond a limit.
    LongBody {
        /// Bytes that are stated and written.
        bytes: usize,
    },
    /// A chunk whose size is no number.
    BrokenChunk,
    /// A body with a length and in chunks, by which another request might be smuggled in.
    TwoFramings,
    /// Bytes that are no HTTP.
    Garbage,
}

impl HostileInput {
    /// Every kind, with a body beyond the usual limit.
    pub const ALL: [HostileInput; 8] = [
        HostileInput::EndlessHeaders,
        HostileInput::StalledHead,
        HostileInput::CutBody,
        HostileInput::StalledBody,
        HostileInput::LongBody { bytes: 1024 * 1024 },
        HostileInput::BrokenChunk,
        HostileInput::TwoFramings,
        HostileInput::Garbage,
    ];
}

/// What came of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostileOutcome {
    /// An answer.
    Answered {
        /// Its status code.
        status: u16,
    },
    /// The connection was closed or reset without an answer.
    Closed,
    /// Nothing within the bound.
    StillOpen,
}

/// Sends hostile input to a path of a host, and tells what came of it within `bound`.
///
/// # Errors
/// If no connection could be made.
pub async fn attack(
    address: SocketAddr,
    host: &str,
    target: &str,
    input: HostileInput,
    bound: Duration,
) -> io::Result<HostileOutcome> {
    let stream = TcpStream::connect(address).await?;
    let (mut reader, mut writer) = stream.into_split();
    let head = format!("POST {target} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: hostile\r\n");
    let writing = async {
        // A peer that closes has seen enough; what it answered is what counts.
        let _ = write(&mut writer, head.as_bytes(), input).await;
        std::future::pending().await
    };
    tokio::select! {
        outcome = read_outcome(&mut reader) => Ok(outcome),
        () = writing => Ok(HostileOutcome::StillOpen),
        () = tokio::time::sleep(bound) => Ok(HostileOutcome::StillOpen),
    }
}

async fn write(writer: &mut (impl AsyncWrite + Unpin), head: &[u8], input: HostileInput) -> io::Result<()> {
    if input == HostileInput::Garbage {
        return writer
            .write_all(&[0xff, 0x00, 0x16, 0x03, b'\r', b'\n', 0x80, b'\r', b'\n', b'\r', b'\n'])
            .await;
    }
    writer.write_all(head).await?;
    match input {
        HostileInput::EndlessHeaders => write_often(writer, HEADER_LINE, ENDLESS_BYTES).await,
        HostileInput::StalledHead => writer.write_all(b"X-Unfinished: ").await,
        HostileInput::CutBody => {
            write_sized(writer, STATED_BYTES, BODY_PART).await?;
            writer.shutdown().await
        }
        HostileInput::StalledBody => write_sized(writer, STATED_BYTES, BODY_PART).await,
        HostileInput::LongBody { bytes } => {
            write_sized(writer, bytes, b"").await?;
            write_often(writer, &[b'x'; PIECE_BYTES], bytes).await
        }
        HostileInput::BrokenChunk => {
            writer.write_all(b"Transfer-Encoding: chunked\r\n\r\nno number\r\nabc\r\n0\r\n\r\n").await
        }
        HostileInput::TwoFramings => {
            let framings = b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n";
            writer.write_all(framings).await?;
            writer.write_all(b"0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: smuggled\r\n\r\n").await
        }
        HostileInput::Garbage => Ok(()),
    }
}

async fn write_sized(writer: &mut (impl AsyncWrite + Unpin), stated: usize, body: &[u8]) -> io::Result<()> {
    writer.write_all(format!("Content-Length: {stated}\r\n\r\n").as_bytes()).await?;
    writer.write_all(body).await
}

/// Writes `piece` again and again until `bytes` have gone out.
async fn write_often(writer: &mut (impl AsyncWrite + Unpin), piece: &[u8], bytes: usize) -> io::Result<()> {
    let mut left = bytes;
    while left > 0 {
        let now = left.min(piece.len());
        writer.write_all(&piece[..now]).await?;
        left -= now;
    }
    Ok(())
}

async fn read_outcome(reader: &mut (impl AsyncRead + Unpin)) -> HostileOutcome {
    let mut start = [0; VERSION.len() + STATUS_DIGITS];
    if reader.read_exact(&mut start).await.is_err() {
        return HostileOutcome::Closed;
    }
    match status_of(&start) {
        Some(status) => HostileOutcome::Answered { status },
        None => HostileOutcome::Closed,
    }
}

/// The status of an answer that begins so; `None` if it is no answer.
fn status_of(start: &[u8]) -> Option<u16> {
    let digits = start.strip_prefix(VERSION)?.get(..STATUS_DIGITS)?;
    std::str::from_utf8(digits).ok()?.parse().ok()
}

/// A connection on which a test writes and reads whatever bytes it likes.
#[derive(Debug)]
pub struct RawConnection {
    stream: TcpStream,
}

impl RawConnection {
    /// A new connection.
    ///
    /// # Errors
    /// If it could not be made.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self { stream: TcpStream::connect(address).await? })
    }

    /// Writes bytes as they are.
    ///
    /// # Errors
    /// If the peer has closed.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Says that nothing more comes; answers can still be read.
    ///
    /// # Errors
    /// If the peer has closed.
    pub async fn finish_writing(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Closes with a reset instead of an orderly end.
    ///
    /// # Errors
    /// If the socket refuses it.
    pub fn reset(self) -> io::Result<()> {
        self.stream.set_zero_linger()
    }

    /// Reads until what was read holds `pattern`, or the connection ends, at most for `bound`.
    ///
    /// # Errors
    /// If neither came in time, or the connection was reset.
    pub async fn read_until(&mut self, pattern: &[u8], bound: Duration) -> io::Result<Vec<u8>> {
        let mut seen = Vec::new();
        let reading = async {
            while !contains(&seen, pattern) && self.stream.read_buf(&mut seen).await? > 0 {}
            Ok(seen)
        };
        tokio::time::timeout(bound, reading).await?
    }

    /// Reads one whole answer, whose body has the length that its head gives, at most for `bound`.
    ///
    /// # Errors
    /// If it did not come in time, the connection ended within it or was reset, or what came is no such answer.
    pub async fn read_answer(&mut self, bound: Duration) -> io::Result<Vec<u8>> {
        let mut seen = Vec::new();
        let reading = async {
            while whole_length(&seen)?.is_none_or(|length| seen.len() < length) {
                if self.stream.read_buf(&mut seen).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            Ok(seen)
        };
        tokio::time::timeout(bound, reading).await?
    }

    /// Reads until the connection ends, at most for `bound`.
    ///
    /// # Errors
    /// If it did not end in time, or was reset.
    pub async fn read_to_end(&mut self, bound: Duration) -> io::Result<Vec<u8>> {
        let mut seen = Vec::new();
        tokio::time::timeout(bound, self.stream.read_to_end(&mut seen)).await??;
        Ok(seen)
    }
}

/// Length of the answer that begins with these bytes, head and body; `None` while its head is not complete.
fn whole_length(start: &[u8]) -> io::Result<Option<usize>> {
    const HEAD_END: &[u8] = b"\r\n\r\n";
    let Some(end) = start.windows(HEAD_END.len()).position(|window| window == HEAD_END) else {
        return Ok(None);
    };
    let head = std::str::from_utf8(&start[..end]).map_err(|_| io::ErrorKind::InvalidData)?;
    let lengths = head.lines().filter_map(|line| line.split_once(':'));
    let mut lengths = lengths.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = lengths.next().and_then(|(_, value)| value.trim().parse::<usize>().ok());
    match length {
        Some(length) if status_of(start).is_some() => Ok(Some(end + HEAD_END.len() + length)),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

fn contains(bytes: &[u8], pattern: &[u8]) -> bool {
    !pattern.is_empty() && bytes.windows(pattern.len()).any(|window| window == pattern)
}
