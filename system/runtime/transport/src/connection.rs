//! One connection: reading, writing, keep-alives, closing.

use crate::outbox::Outbox;
use millrudder_protocol::frame::{self, Content, FrameError};
use speedy::{LittleEndian, Readable};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// A connection on which nothing is sent carries a keep-alive this often.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// A peer of which nothing was received for this long, three keep-alives, is taken for lost.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1600);
/// Bytes that are read from the socket at a time.
const READ_BYTES: usize = 16 << 10;
/// A buffer that grew beyond this, in bytes, for one large message is freed.
const MAX_RETAINED_BYTES: usize = 64 << 10;

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum CloseReason {
    /// The peer closed it.
    #[error("the peer closed the connection")]
    ClosedByPeer,
    /// The outbox was closed at this end.
    #[error("this end closed the connection")]
    ClosedLocally,
    /// Nothing was received in time, not even a keep-alive.
    #[error("the peer was unresponsive")]
    PeerUnresponsive,
    /// What was received is not a frame with a message of the expected type.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// Reading, writing or a socket option failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
}

/// An event on a connection.
#[derive(Debug)]
pub enum LinkEvent<M> {
    /// It is open: the first event.
    Opened,
    /// A message was received.
    Message(M),
    /// It has ended: the last event.
    Closed(CloseReason),
}

/// Drives the connection on `stream` until it ends, and returns why it did. `deliver` gets each message; what is put into
/// `outbox` is sent. The outbox is closed at the end.
pub async fn run<M, F>(stream: TcpStream, outbox: &Outbox, mut deliver: F) -> CloseReason
where
    M: for<'a> Readable<'a, LittleEndian>,
    F: FnMut(M),
{
    if let Err(error) = crate::socket::prepare(&stream) {
        return CloseReason::Io(error);
    }
    let (reader, writer) = stream.into_split();
    let reason = tokio::select! {
        reason = read(reader, &mut deliver) => reason,
        reason = write(writer, outbox) => reason,
    };
    outbox.close();
    reason
}

async fn read<M, F>(mut reader: OwnedReadHalf, deliver: &mut F) -> CloseReason
where
    M: for<'a> Readable<'a, LittleEndian>,
    F: FnMut(M),
{
    let mut buffer: Vec<u8> = Vec::with_capacity(READ_BYTES);
    loop {
        buffer.reserve(READ_BYTES);
        match timeout(RECEIVE_TIMEOUT, reader.read_buf(&mut buffer)).await {
            Err(_) => return CloseReason::PeerUnresponsive,
            Ok(Ok(0)) => return CloseReason::ClosedByPeer,
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return CloseReason::Io(error),
        }
        if let Err(error) = drain(&mut buffer, deliver) {
            return CloseReason::Frame(error);
        }
    }
}

/// Delivers all complete frames and leaves the rest in the buffer.
fn drain<M, F>(buffer: &mut Vec<u8>, deliver: &mut F) -> Result<(), FrameError>
where
    M: for<'a> Readable<'a, LittleEndian>,
    F: FnMut(M),
{
    let mut start = 0;
    while let Some(decoded) = frame::decode::<M>(&buffer[start..])? {
        start += decoded.consumed;
        if let Content::Message(message) = decoded.content {
            deliver(message);
        }
    }
    buffer.drain(..start);
    if buffer.is_empty() && buffer.capacity() > MAX_RETAINED_BYTES {
        *buffer = Vec::with_capacity(READ_BYTES);
    }
    Ok(())
}

async fn write(mut writer: OwnedWriteHalf, outbox: &Outbox) -> CloseReason {
    let mut buffer = Vec::new();
    let mut keep_alive_at = Instant::now() + KEEP_ALIVE_INTERVAL;
    loop {
        outbox.take(&mut buffer);
        if buffer.is_empty() {
            if outbox.is_closed() {
                return CloseReason::ClosedLocally;
            }
            if tokio::time::timeout_at(keep_alive_at, outbox.changed()).await.is_ok() {
                continue;
            }
            buffer.extend_from_slice(&frame::KEEP_ALIVE);
        }
        if let Err(error) = writer.write_all(&buffer).await {
            return CloseReason::Io(error);
        }
        keep_alive_at = Instant::now() + KEEP_ALIVE_INTERVAL;
        if buffer.capacity() > MAX_RETAINED_BYTES {
            buffer = Vec::new();
        }
    }
}
