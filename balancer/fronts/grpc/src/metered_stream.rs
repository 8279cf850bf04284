//! A client's socket under its meter: what passes is counted, and what costs too much ends it.

use crate::meter::{Cause, Meter};
use millrudder_exchange::clock::Clock;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The meter of one connection, for its socket and for whoever looks after it.
#[derive(Clone)]
pub struct Watch {
    meter: Arc<Mutex<Meter>>,
    cause: Arc<Mutex<Option<Cause>>>,
}

impl Watch {
    pub fn new(meter: Meter) -> Self {
        Watch { meter: Arc::new(Mutex::new(meter)), cause: Arc::default() }
    }

    pub fn meter(&self) -> MutexGuard<'_, Meter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Why the socket has ended itself.
    pub fn cause(&self) -> Option<Cause> {
        *self.cause.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

pub struct Watched {
    stream: TcpStream,
    watch: Watch,
    clock: Clock,
}

impl Watched {
    pub fn new(stream: TcpStream, watch: Watch, clock: Clock) -> Self {
        Watched { stream, watch, clock }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let verdict = self.watch.meter().read(&buffer.filled()[before..], self.clock.now());
        Poll::Ready(verdict.map_err(|cause| {
            self.watch.cause.lock().unwrap_or_else(PoisonError::into_inner).get_or_insert(cause);
            io::Error::other("more than a connection may cost")
        }))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        match &written {
            Poll::Pending => self.watch.meter().write_blocked(self.clock.now()),
            Poll::Ready(Ok(n)) => self.watch.meter().wrote(&bytes[..*n]),
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
