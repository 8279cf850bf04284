//! A connection whose answers can be cut short or recorded for a second sending.

use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// What happens to bytes on their way out.
#[derive(Default)]
enum WriteMode {
    #[default]
    Plain,
    /// Writing fails once so many bytes of the body have gone out.
    CutBody { kept: usize },
    /// Writing fails once so many bytes have gone out.
    CutAfter { bytes: usize },
    /// The whole answer is also given to the recorder.
    Record { body: usize, seen: Vec<u8>, recorder: oneshot::Sender<Vec<u8>> },
}

/// Control over one connection. Clones control the same connection.
#[derive(Clone)]
pub(crate) struct ConnectionControl {
    stream: Arc<TcpStream>,
    mode: Arc<Mutex<WriteMode>>,
}

impl ConnectionControl {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream: Arc::new(stream), mode: Arc::default() }
    }

    /// The connection is reset when it closes, instead of ended in order.
    pub(crate) fn reset_on_close(&self) {
        // A connection that is gone already needs no reset.
        let _ = self.stream.set_zero_linger();
    }

    /// The answer breaks off after `kept` bytes of its body.
    pub(crate) fn cut_answer(&self, kept: usize) {
        *self.lock() = WriteMode::CutBody { kept };
    }

    /// Gives the bytes of the answer, whose body has `body` bytes, once they have gone out.
    pub(crate) fn record_answer(&self, body: usize) -> oneshot::Receiver<Vec<u8>> {
        let (recorder, answer) = oneshot::channel();
        *self.lock() = WriteMode::Record { body, seen: Vec::new(), recorder };
        answer
    }

    /// Writes bytes past the HTTP library.
    pub(crate) async fn write(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.stream.writable().await?;
            match self.stream.try_write(bytes) {
                Ok(written) => bytes = &bytes[written..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// The connection as the HTTP library reads and writes it.
    pub(crate) fn stream(&self) -> ControlledStream {
        ControlledStream { control: self.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, WriteMode> {
        self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The connection as the HTTP library reads and writes it.
pub(crate) struct ControlledStream {
    control: ConnectionControl,
}

impl AsyncRead for ControlledStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.control.stream.poll_read_ready(context))?;
            match self.control.stream.try_read(buffer.initialize_unfilled()) {
                Ok(read) => {
                    buffer.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for ControlledStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.control.stream.poll_write_ready(context))?;
            let mut mode = self.control.lock();
            let allowed = mode.allowed(bytes);
            if allowed == 0 && !bytes.is_empty() {
                return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
            }
            match self.control.stream.try_write(&bytes[..allowed]) {
                Ok(written) => {
                    mode.written(&bytes[..written]);
                    return Poll::Ready(Ok(written));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = socket2::SockRef::from(&*self.control.stream);
        Poll::Ready(socket.shutdown(Shutdown::Write))
    }
}

impl WriteMode {
    /// How many of `bytes` may go out now.
    fn allowed(&mut self, bytes: &[u8]) -> usize {
        if let WriteMode::CutBody { kept } = self {
            match end_of_head(bytes) {
                Some(head) => *self = WriteMode::CutAfter { bytes: head + *kept },
                None => return bytes.len(),
            }
        }
        match self {
            WriteMode::CutAfter { bytes: left } => bytes.len().min(*left),
            _ => bytes.len(),
        }
    }

    fn written(&mut self, bytes: &[u8]) {
        match self {
            WriteMode::CutAfter { bytes: left } => *left -= bytes.len(),
            WriteMode::Record { seen, .. } => {
                seen.extend_from_slice(bytes);
                self.hand_over();
            }
            _ => {}
        }
    }

    /// Gives the recorded answer away once it is whole.
    fn hand_over(&mut self) {
        let WriteMode::Record { body, seen, .. } = &*self else { return };
        let whole = end_of_head(seen).is_some_and(|head| seen.len() >= head + body);
        if !whole {
            return;
        }
        if let WriteMode::Record { seen, recorder, .. } = std::mem::take(self) {
            // Nobody listens any more if the worker has stopped.
            let _ = recorder.send(seen);
        }
    }
}

fn end_of_head(bytes: &[u8]) -> Option<usize> {
    let position = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
    Some(position + HEAD_END.len())
}

/// Sends the recorded answer once more when `when` comes.
pub(crate) async fn send_again(
    control: ConnectionControl,
    answer: oneshot::Receiver<Vec<u8>>,
    when: impl Future<Output = ()>,
) {
    let Ok(answer) = answer.await else { return };
    when.await;
    // The caller may have closed the connection meanwhile; there is nobody to tell.
    let _ = control.write(&answer).await;
}
