//! A TCP connection of one coroutine that waits for the socket and for other coroutines at the same time.
//!
//! may's own `read` can only be woken by the socket. A coroutine that must also see an answer or a call-off
//! reads without blocking and waits in `wait`, which its `waker` ends too. So one coroutine and one descriptor
//! serve a connection; a second reader would need a duplicate of each.

use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Ends a wait on a socket from outside, wherever its coroutine is; one is for one conversation.
#[derive(Default)]
pub struct CancelToken {
    done: AtomicBool,
    waker: Mutex<Option<WaitIoWaker>>,
}

impl CancelToken {
    pub fn is_cancelled(&self) -> bool {
        self.done.load(Ordering::Acquire)
    }

    pub fn cancel(&self) {
        self.done.store(true, Ordering::Release);
        if let Some(waker) = self.waker.lock().unwrap_or_else(PoisonError::into_inner).as_ref() {
            waker.wakeup();
        }
    }

    /// The conversation has its socket from here on.
    pub fn attach(&self, socket: &Socket) {
        *self.waker.lock().unwrap_or_else(PoisonError::into_inner) = Some(socket.waker());
    }
}

pub struct Socket {
    stream: TcpStream,
}

/// What a read without blocking found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Got {
    Bytes(usize),
    Nothing,
    End,
}

impl Socket {
    /// Small messages wait for nothing: Nagle's delay would add up to 40 ms to each.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Socket { stream })
    }

    pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Socket::new(TcpStream::connect_timeout(&to, timeout)?)
    }

    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<Got> {
        match retry(|| self.stream.inner().read(buffer))? {
            None => Ok(Got::Nothing),
            Some(0) => Ok(Got::End),
            Some(n) => Ok(Got::Bytes(n)),
        }
    }

    /// Writes what the socket takes now.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        Ok(retry(|| self.stream.inner().write(bytes))?.unwrap_or(0))
    }

    /// Writes all of it, unless `stop` says so on a wake-up.
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

    /// Waits until the socket has changed or the waker was used; may return early.
    pub fn wait(&self) {
        self.stream.wait_io();
    }

    /// A second descriptor of the connection, to be passed on.
    pub fn try_clone_stream(&self) -> io::Result<std::net::TcpStream> {
        self.stream.inner().try_clone()
    }

    pub fn waker(&self) -> WaitIoWaker {
        self.stream.waker()
    }

    /// Says that nothing more comes; the peer can still read what was sent.
    pub fn end(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Idle and open as far as is known: an end, an error or stray bytes make a kept connection useless.
    pub fn is_quiet(&self) -> bool {
        self.check_quiet().is_ok()
    }

    pub fn check_quiet(&self) -> io::Result<()> {
        match self.try_read(&mut [0; 16])? {
            Got::Nothing => Ok(()),
            Got::End => Err(ErrorKind::UnexpectedEof.into()),
            Got::Bytes(_) => Err(ErrorKind::InvalidData.into()),
        }
    }
}

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
