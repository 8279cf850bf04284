//! One connection: reading, writing, keep-alives, the end.

use crate::outbox::Outbox;
use millrudder_protocol::frame::{self, Content, FrameError};
use speedy::{LittleEndian, Readable};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// An idle end says that it lives this often.
const KEEP_ALIVE_EVERY: Duration = Duration::from_millis(500);
/// A peer that is silent for so long is taken for gone: three keep-alives.
const SILENCE: Duration = Duration::from_millis(1600);
/// Bytes asked of the socket at a time.
const READ_BYTES: usize = 16 << 10;
/// A buffer that grew beyond this for one large message is given back.
const KEPT_BYTES: usize = 64 << 10;

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
pub enum CloseReason {
    #[error("the peer closed the connection")]
    Peer,
    #[error("this end closed the connection")]
    Local,
    #[error("the peer was silent")]
    Silent,
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
}

/// What happens on a connection.
#[derive(Debug)]
pub enum LinkEvent<M> {
    Opened,
    Message(M),
    /// Nothing comes after it.
    Closed(CloseReason),
}

/// Carries `stream` until it ends, and says why it did. `deliver` gets each message.
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
        match timeout(SILENCE, reader.read_buf(&mut buffer)).await {
            Err(_) => return CloseReason::Silent,
            Ok(Ok(0)) => return CloseReason::Peer,
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return CloseReason::Io(error),
        }
        if let Err(error) = drain(&mut buffer, deliver) {
            return CloseReason::Frame(error);
        }
    }
}

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
    if buffer.is_empty() && buffer.capacity() > KEPT_BYTES {
        *buffer = Vec::with_capacity(READ_BYTES);
    }
    Ok(())
}

async fn write(mut writer: OwnedWriteHalf, outbox: &Outbox) -> CloseReason {
    let mut buffer = Vec::new();
    let mut keep_alive_at = Instant::now() + KEEP_ALIVE_EVERY;
    loop {
        outbox.take(&mut buffer);
        if buffer.is_empty() {
            if outbox.is_closed() {
                return CloseReason::Local;
            }
            if tokio::time::timeout_at(keep_alive_at, outbox.changed()).await.is_ok() {
                continue;
            }
            buffer.extend_from_slice(&frame::KEEP_ALIVE);
        }
        if let Err(error) = writer.write_all(&buffer).await {
            return CloseReason::Io(error);
        }
        keep_alive_at = Instant::now() + KEEP_ALIVE_EVERY;
        if buffer.capacity() > KEPT_BYTES {
            buffer = Vec::new();
        }
    }
}
