//! A stream that notifies an observer of each read, write and flush.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Is notified of what happens on a [`Watched`] stream.
pub(crate) trait Observer {
    /// These bytes were read; none is the end of the peer's bytes.
    fn on_read(&self, bytes: &[u8]);
    /// The operating system took `count` bytes to send.
    fn on_written(&self, count: usize);
    /// All bytes so far have been written.
    fn on_flushed(&self);
}

/// A stream with an observer.
pub(crate) struct Watched<S, O> {
    stream: S,
    observer: Rc<O>,
}

impl<S, O> Watched<S, O> {
    pub(crate) fn new(stream: S, observer: Rc<O>) -> Watched<S, O> {
        Watched { stream, observer }
    }
}

impl<S: AsyncRead + Unpin, O: Observer> AsyncRead for Watched<S, O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.observer.on_read(&buffer.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin, O: Observer> AsyncWrite for Watched<S, O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.observer.on_written(count);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices))?;
        self.observer.on_written(count);
        Poll::Ready(Ok(count))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.observer.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
