//! A client's socket with its meter: all bytes are counted, and reading fails once a limit is exceeded.

use crate::meter::{CloseCause, Meter};
use millrudder_exchange::clock::Clock;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The meter of one connection, shared by its socket and the task that checks all connections.
#[derive(Clone)]
pub struct SharedMeter {
    meter: Arc<Mutex<Meter>>,
    cause: Arc<Mutex<Option<CloseCause>>>,
}

impl SharedMeter {
    /// Shares a meter.
    pub fn new(meter: Meter) -> Self {
        SharedMeter { meter: Arc::new(Mutex::new(meter)), cause: Arc::default() }
    }

    /// Locks the meter.
    pub fn lock(&self) -> MutexGuard<'_, Meter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Why reading was made to fail, if it was.
    pub fn cause(&self) -> Option<CloseCause> {
        *self.cause.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A TCP stream whose traffic passes through a meter.
pub struct MeteredStream {
    stream: TcpStream,
    meter: SharedMeter,
    clock: Clock,
}

impl MeteredStream {
    pub fn new(stream: TcpStream, meter: SharedMeter, clock: Clock) -> Self {
        MeteredStream { stream, meter, clock }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let verdict = self.meter.lock().on_read(&buffer.filled()[before..], self.clock.now());
        Poll::Ready(verdict.map_err(|cause| {
            self.meter.cause.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert(cause);
            io::Error::other("more than a connection may cost")
        }))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        match &written {
            Poll::Pending => self.meter.lock().on_write_blocked(self.clock.now()),
            Poll::Ready(Ok(n)) => self.meter.lock().on_written(&bytes[..*n]),
            Poll::Ready(Err(_)) => {}
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
