//! File descriptors that this process has not opened itself: the listening socket inherited from the platform,
//! and those passed by another process. This is the only unsafe code of the workspace; each unsafe call states
//! why it is sound.
#![allow(unsafe_code)]

use may::net::{TcpListener, TcpStream};
use rustix::net::sockopt::{socket_acceptconn, socket_type};
use rustix::net::SocketType;
use std::io;
use std::os::fd::{BorrowedFd, FromRawFd, IntoRawFd};
use std::panic::catch_unwind;

/// Lowest number that an inherited socket can have; 0 to 2 are the standard streams.
const MIN_FD: i32 = 3;

/// Takes over the listening socket that the platform has left open under this descriptor number.
///
/// # Errors
/// The number is out of range, nothing is open under it, or it is not a listening TCP socket.
pub fn inherited_listener(number: &str) -> io::Result<std::net::TcpListener> {
    let wrong = |what: &str| io::Error::new(io::ErrorKind::InvalidInput, format!("{number:?}: {what}"));
    let fd = number.parse::<i32>().ok().filter(|fd| *fd >= MIN_FD).ok_or_else(|| wrong("no descriptor"))?;
    // SAFETY: the descriptor is only queried, and `fcntl` reports whether it is open at all. Nothing else in
    // this process opens or closes descriptors yet, and the platform guarantees that this one is for this
    // process.
    let borrowed = unsafe { BorrowedFd::borrow_raw(fd) };
    rustix::io::fcntl_getfd(borrowed).map_err(|e| wrong(&io::Error::from(e).to_string()))?;
    let listens = socket_type(borrowed) == Ok(SocketType::STREAM) && socket_acceptconn(borrowed) == Ok(true);
    if !listens {
        return Err(wrong("not a listening socket"));
    }
    rustix::io::fcntl_setfd(borrowed, rustix::io::FdFlags::CLOEXEC)?;
    // SAFETY: the descriptor is open and was inherited for this use only; from here on the listener owns it.
    Ok(unsafe { std::net::TcpListener::from_raw_fd(fd) })
}

/// Converts a bound listener to one of the coroutine library `may`, which has no safe way to do so.
///
/// # Errors
/// The descriptor cannot be registered for events.
pub fn listener(listener: std::net::TcpListener) -> io::Result<TcpListener> {
    // SAFETY: `listener` owned the descriptor, and its ownership passes to the new one. `may` panics if it
    // cannot register the descriptor for events.
    let fd = listener.into_raw_fd();
    catch_unwind(|| unsafe { TcpListener::from_raw_fd(fd) })
        .map_err(|_| io::Error::other("cannot be watched"))
}

/// Like [`listener`], for a connection.
///
/// # Errors
/// The descriptor cannot be registered for events.
pub fn stream(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    // SAFETY: `stream` owned the descriptor, and its ownership passes to the new one. `may` panics if it cannot
    // register the descriptor for events.
    let fd = stream.into_raw_fd();
    catch_unwind(|| unsafe { TcpStream::from_raw_fd(fd) }).map_err(|_| io::Error::other("cannot be watched"))
}

#[cfg(test)]
mod tests;
