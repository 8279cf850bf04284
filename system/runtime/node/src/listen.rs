//! Listening sockets, and which internal port a role has.

use crate::error::RoleError;
use millrudder_settings::Settings;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Internal ports by role, counted from the first free one: two processes may run on one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InternalPort {
    Storage = 1,
    Core = 2,
}

/// Where a role of this machine listens for other processes of the system.
pub fn internal_address(settings: &Settings, port: InternalPort) -> SocketAddr {
    let first = settings.ephemeral_ports.first();
    SocketAddr::new(settings.ip, first + port as u16)
}

/// # Errors
/// The address cannot be used.
pub fn listen(address: SocketAddr) -> Result<TcpListener, RoleError> {
    let open = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|source| RoleError::Listen { address, source })
}
