//! Listening sockets, which internal port a role has, and the connections that other processes open to it.

use crate::error::RoleError;
use crate::task::TaskGuard;
use millrudder_settings::Settings;
use millrudder_transport::{listener, LinkEvent, Outbox};
use speedy::{LittleEndian, Readable};
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc::UnboundedSender;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// Internal ports by role, as offsets from the first free port of the machine: two processes may run on one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InternalPort {
    /// Port of a storage machine.
    Storage = 1,
    /// Port of a core machine.
    Core = 2,
}

/// The address at which a role of this machine listens for other processes of the system.
pub fn internal_address(settings: &Settings, port: InternalPort) -> SocketAddr {
    let first = settings.ephemeral_ports.first();
    SocketAddr::new(settings.ip, first + port as u16)
}

/// Opens a listening socket.
///
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

/// An event on a connection that another process opened to this one.
pub struct InboundEvent<M> {
    /// Number of the connection, counted from 1 since the start of the process.
    pub connection: u64,
    /// Sending end of the connection.
    pub outbox: Outbox,
    /// What happened.
    pub event: LinkEvent<M>,
}

/// Accepts connections of other processes until the guard is dropped, and puts their events into the queue of the
/// state's owner.
///
/// The queue is unbounded. While the owner runs, a connection is read no faster than the one thread of the process works,
/// and the owner empties the queue in each turn. While a failed disk is reopened there is no owner:
/// [`reopen`](crate::reopening::reopen) closes the connections that other processes open meanwhile.
pub fn accept_internal<M, E>(
    listener: TcpListener,
    events: UnboundedSender<E>,
    wrap: fn(InboundEvent<M>) -> E,
) -> TaskGuard
where
    M: for<'a> Readable<'a, LittleEndian> + 'static,
    E: 'static,
{
    let mut next = 0;
    TaskGuard::spawn_local(listener::accept(listener, move |_peer| {
        next += 1;
        let connection = next;
        let events = events.clone();
        move |outbox: &Outbox, event: LinkEvent<M>| {
            let inbound = InboundEvent { connection, outbox: outbox.clone(), event };
            // The owner of the queue has ended only where the process ends.
            drop(events.send(wrap(inbound)));
        }
    }))
}
