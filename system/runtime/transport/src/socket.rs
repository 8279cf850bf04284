//! Options of the sockets between processes.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Sent bytes that are not acknowledged for this long fail the connection: a machine without power answers nothing.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Has small frames sent at once, and a peer noticed that has vanished without closing the connection.
///
/// # Errors
/// The operating system refuses an option.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(ACKNOWLEDGE_TIMEOUT))?;
    let probes = TcpKeepalive::new().with_time(ACKNOWLEDGE_TIMEOUT).with_interval(ACKNOWLEDGE_TIMEOUT);
    socket.set_tcp_keepalive(&probes)
}
