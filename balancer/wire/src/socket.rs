//! A TCP connection whose coroutine can wait for the socket and for wake-ups by other coroutines at the same time.
//!
//! The `read` of the coroutine library `may` can only be woken by the socket. A coroutine that must also react
//! to an answer or a cancel reads without blocking and waits in [`Socket::wait`], which [`Socket::waker`] ends
//! as well. So one coroutine and one file descriptor serve a connection; a second coroutine that reads would
//! need a duplicate of each.

use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Cancels one round trip from another thread or coroutine, wherever the round trip stands.
#[derive(Default)]
pub struct CancelToken {
    done: AtomicBool,
    waker: Mutex<Option<WaitIoWaker>>,
}

impl CancelToken {
    /// Whether the round trip has been cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.done.load(Ordering::Acquire)
    }

    /// Cancels the round trip and wakes the coroutine that waits on its socket.
    pub fn cancel(&self) {
        self.done.store(true, Ordering::Release);
        if let Some(waker) = self.waker.lock().unwrap_or_else(PoisonError::into_inner).as_ref() {
            waker.wakeup();
        }
    }

    /// Sets the socket on which the round trip waits from now on.
    pub fn attach(&self, socket: &Socket) {
        *self.waker.lock().unwrap_or_else(PoisonError::into_inner) = Some(socket.waker());
    }
}

/// A non-blocking TCP connection.
pub struct Socket {
    stream: TcpStream,
}

/// Result of a read that does not block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// This many bytes were read.
    Bytes(usize),
    /// No bytes are available now.
    WouldBlock,
    /// The peer has closed its sending side.
    End,
}

impl Socket {
    /// Disables Nagle's algorithm, which would delay each small message by up to 40 ms.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Socket { stream })
    }

    pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Socket::new(TcpStream::connect_timeout(&to, timeout)?)
    }

    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<ReadOutcome> {
        match retry(|| self.stream.inner().read(buffer))? {
            None => Ok(ReadOutcome::WouldBlock),
            Some(0) => Ok(ReadOutcome::End),
            Some(n) => Ok(ReadOutcome::Bytes(n)),
        }
    }

    /// Writes as much as the socket accepts now, and returns how many bytes that was.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        Ok(retry(|| self.stream.inner().write(bytes))?.unwrap_or(0))
    }

    /// Writes all bytes. `stop` is checked before each write; once it returns true, the call fails with
    /// [`ErrorKind::Interrupted`].
    pub fn write_all(&self, mut bytes: &[u8], stop: impl Fn() -> bool) -> io::Result<()> {
        while !bytes.is_empty() {
            if stop() {
                return Err(ErrorKind::Interrupted.into());
            }
            match self.try_write(bytes)? {
                0 => self.wait(),
                n => bytes = &bytes[n..],
            }
        }
        Ok(())
    }

    /// Waits until the socket is ready or the waker is used; may also return early.
    pub fn wait(&self) {
        self.stream.wait_io();
    }

    /// Duplicates the connection's file descriptor, to pass it to another process.
    pub fn try_clone_stream(&self) -> io::Result<std::net::TcpStream> {
        self.stream.inner().try_clone()
    }

    pub fn waker(&self) -> WaitIoWaker {
        self.stream.waker()
    }

    /// Shuts down the sending side; the peer can still read what was sent.
    pub fn end(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Whether the connection is open and idle as far as is known. A close, an error or unexpected bytes make a
    /// keep-alive connection unusable.
    pub fn is_quiet(&self) -> bool {
        self.check_quiet().is_ok()
    }

    /// Like [`Socket::is_quiet`], with the reason as an error.
    pub fn check_quiet(&self) -> io::Result<()> {
        match self.try_read(&mut [0; 16])? {
            ReadOutcome::WouldBlock => Ok(()),
            ReadOutcome::End => Err(ErrorKind::UnexpectedEof.into()),
            ReadOutcome::Bytes(_) => Err(ErrorKind::InvalidData.into()),
        }
    }
}

/// Repeats an interrupted operation; `None` if it would block.
fn retry(mut operation: impl FnMut() -> io::Result<usize>) -> io::Result<Option<usize>> {
    loop {
        match operation() {
            Ok(n) => return Ok(Some(n)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}
