//! Options of the sockets between processes.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Sent bytes that nobody acknowledges for so long end the connection: a machine without power is silent.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);

/// Sends small frames at once, and notices a peer that is gone without a word.
///
/// # Errors
/// The socket does not take an option.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let probes = TcpKeepalive::new().with_time(UNACKNOWLEDGED).with_interval(UNACKNOWLEDGED);
    socket.set_tcp_keepalive(&probes)
}
