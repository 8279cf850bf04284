//! Descriptors from outside this process's own calls: one inherited from the platform, those that another process
//! passed on. The only unsafe code of the workspace; each call below says why it is sound.
#![allow(unsafe_code)]

use may::net::{TcpListener, TcpStream};
use rustix::net::sockopt::{socket_acceptconn, socket_type};
use rustix::net::SocketType;
use std::io;
use std::os::fd::{BorrowedFd, FromRawFd, IntoRawFd};
use std::panic::catch_unwind;

/// Standard streams are no sockets of anybody's.
const FIRST: i32 = 3;

/// The listening socket that the platform has left open under this number.
///
/// # Errors
/// The number is out of range, nothing is open under it, or it is not a listening TCP socket.
pub fn inherited_listener(number: &str) -> io::Result<std::net::TcpListener> {
    let wrong = |what: &str| io::Error::new(io::ErrorKind::InvalidInput, format!("{number:?}: {what}"));
    let fd = number.parse::<i32>().ok().filter(|fd| *fd >= FIRST).ok_or_else(|| wrong("no descriptor"))?;
    // SAFETY: the number is only asked about; whether it is open is what `fcntl` finds out. Nothing else of this
    // process closes or opens descriptors yet: the platform's promise is that this one is ours.
    let borrowed = unsafe { BorrowedFd::borrow_raw(fd) };
    rustix::io::fcntl_getfd(borrowed).map_err(|e| wrong(&io::Error::from(e).to_string()))?;
    let listens = socket_type(borrowed) == Ok(SocketType::STREAM) && socket_acceptconn(borrowed) == Ok(true);
    if !listens {
        return Err(wrong("not a listening socket"));
    }
    rustix::io::fcntl_setfd(borrowed, rustix::io::FdFlags::CLOEXEC)?;
    // SAFETY: it is open, and inherited for this use alone; from here on the listener owns it.
    Ok(unsafe { std::net::TcpListener::from_raw_fd(fd) })
}

/// may gives no other way to a listener that is already bound.
///
/// # Errors
/// It cannot be watched for events.
pub fn listener(listener: std::net::TcpListener) -> io::Result<TcpListener> {
    // SAFETY: the descriptor was owned by `listener` and passes whole. may panics if it cannot be watched.
    let fd = listener.into_raw_fd();
    catch_unwind(|| unsafe { TcpListener::from_raw_fd(fd) })
        .map_err(|_| io::Error::other("cannot be watched"))
}

/// As [`listener`], for a connection.
///
/// # Errors
/// It cannot be watched for events.
pub fn stream(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    // SAFETY: the descriptor was owned by `stream` and passes whole. may panics if it cannot be watched.
    let fd = stream.into_raw_fd();
    catch_unwind(|| unsafe { TcpStream::from_raw_fd(fd) }).map_err(|_| io::Error::other("cannot be watched"))
}

#[cfg(test)]
mod tests;
