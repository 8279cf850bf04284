//! Options of the TCP sockets.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Sends small segments at once, and fails the connection when written bytes stay unacknowledged for
/// `user_timeout`, as a machine without power or behind a network partition answers nothing.
///
/// # Errors
/// The operating system refuses an option.
pub(crate) fn tune(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(user_timeout))
}
