//! The open connections, by address.
//!
//! A peer that has sent unsolicited bytes, or no valid answer, may do so again, and a second answer that crosses the next
//! request on its connection spoils that one too. So the address is quarantined for a while: each connection to it carries
//! one request only.
//!
//! The id in an answer distinguishes it from answers to other requests, but not from a second answer to an earlier attempt of the
//! same request. So a request that is sent again goes over a connection that has not carried it lately.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderValue;
use tokio::time::{sleep, Instant};

use super::connection::Connection;
use super::error::SendError;
use super::limits::ClientLimits;
use super::request::Target;

/// How often idle connections that have expired are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The part of the peer's idle time-out, in percent, after which a connection is closed: a request must not cross the peer's close.
const IDLE_PERCENT: u32 = 60;
/// How long connections to an address that sent unsolicited or garbled bytes are used for one request only. It outlasts
/// the time-outs of requests, within which a faulty worker sends its second answers.
const QUARANTINE: Duration = Duration::from_secs(10);

/// The connections to one address.
#[derive(Default)]
struct Connections {
    /// In the order of their last use.
    idle: Vec<Idle>,
    busy: usize,
    /// Until when no connection goes back to the pool.
    quarantined_until: Option<Instant>,
}

struct Idle {
    connection: Connection,
    until: Instant,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        now < self.until && self.connection.is_ready()
    }
}

/// The connections to all addresses.
pub(super) struct Pool {
    limits: ClientLimits,
    connections: RefCell<BTreeMap<SocketAddr, Connections>>,
    is_sweeping: Cell<bool>,
}

/// A connection in use, or the permission to open one.
pub(super) struct Lease {
    pool: Rc<Pool>,
    address: SocketAddr,
    connection: Option<Connection>,
    is_reused: bool,
    /// The connection that goes back to the pool when the lease is dropped.
    released: Option<Idle>,
}

impl Pool {
    pub(super) fn new(limits: ClientLimits) -> Pool {
        Pool { limits, connections: RefCell::default(), is_sweeping: Cell::new(false) }
    }

    /// Leases the idle connection that was used last, else the permission to open one if the target allows one more. A
    /// connection that has carried the request of this id lately is not taken.
    pub(super) fn lease(
        self: &Rc<Self>,
        target: Target,
        request_id: Option<&HeaderValue>,
    ) -> Result<Lease, SendError> {
        let now = Instant::now();
        let mut all = self.connections.borrow_mut();
        let connections = all.entry(target.address).or_default();
        let connection = connections.take_idle(now, request_id);
        if connection.is_none() && connections.busy >= target.max_connections {
            return Err(SendError::NoConnectionLeft);
        }
        if connection.is_none() {
            connections.evict_idle(target.max_connections);
        }
        connections.busy += 1;
        let is_reused = connection.is_some();
        Ok(Lease { pool: Rc::clone(self), address: target.address, connection, is_reused, released: None })
    }

    /// Closes the idle connections to an address.
    pub(super) fn close_idle(&self, address: SocketAddr) {
        let mut all = self.connections.borrow_mut();
        let Some(connections) = all.get_mut(&address) else { return };
        connections.idle.clear();
        if connections.is_empty() {
            all.remove(&address);
        }
    }

    /// Open connections to an address, busy and idle.
    pub(super) fn connections(&self, address: SocketAddr) -> usize {
        self.connections.borrow().get(&address).map_or(0, Connections::open)
    }

    /// Ends a lease, with the connection that goes back to the pool.
    fn put_back(self: &Rc<Self>, address: SocketAddr, released: Option<Idle>) {
        let mut all = self.connections.borrow_mut();
        let Some(connections) = all.get_mut(&address) else { return };
        connections.busy -= 1;
        if connections.quarantined_until.is_none() {
            connections.idle.extend(released);
        }
        if connections.is_empty() {
            all.remove(&address);
        } else if !self.is_sweeping.replace(true) {
            self.start_sweeping();
        }
    }

    /// Has no connection to the address go back to the pool for a while.
    fn quarantine(&self, address: SocketAddr) {
        if let Some(connections) = self.connections.borrow_mut().get_mut(&address) {
            connections.quarantine(Instant::now());
        }
    }

    /// Closes idle connections in time, for as long as there are connections.
    fn start_sweeping(self: &Rc<Self>) {
        let pool = Rc::downgrade(self);
        tokio::task::spawn_local(async move {
            loop {
                sleep(SWEEP_INTERVAL).await;
                let Some(pool) = pool.upgrade() else { return };
                if pool.sweep(Instant::now()) {
                    pool.is_sweeping.set(false);
                    return;
                }
            }
        });
    }

    /// Closes the idle connections that have expired; whether there are no connections at all.
    fn sweep(&self, now: Instant) -> bool {
        let mut all = self.connections.borrow_mut();
        all.retain(|_, connections| {
            connections.sweep(now);
            !connections.is_empty()
        });
        all.is_empty()
    }
}

impl Connections {
    fn open(&self) -> usize {
        self.busy + self.idle.iter().filter(|idle| !idle.connection.is_closed()).count()
    }

    fn is_empty(&self) -> bool {
        self.busy == 0 && self.idle.is_empty() && self.quarantined_until.is_none()
    }

    /// The most recent idle connection that is usable for this request; those that are not usable at all are closed.
    fn take_idle(&mut self, now: Instant, request_id: Option<&HeaderValue>) -> Option<Connection> {
        if self.idle.iter().any(|idle| idle.connection.has_unsolicited_bytes()) {
            self.quarantine(now);
        }
        self.idle.retain(|idle| idle.is_usable(now));
        let is_fit = |idle: &Idle| !request_id.is_some_and(|id| idle.connection.has_carried(id));
        let position = self.idle.iter().rposition(is_fit)?;
        Some(self.idle.remove(position).connection)
    }

    /// Closes the idle connections that were not used for the longest, so that one more may be opened.
    fn evict_idle(&mut self, max_connections: usize) {
        let allowed = max_connections.saturating_sub(self.busy + 1);
        let surplus = self.idle.len().saturating_sub(allowed);
        self.idle.drain(..surplus);
    }

    /// Closes all idle connections, and has none go back to the pool for a while.
    fn quarantine(&mut self, now: Instant) {
        self.idle.clear();
        self.quarantined_until = Some(now + QUARANTINE);
    }

    /// Closes the idle connections that are not usable, and ends the quarantine once it is time.
    fn sweep(&mut self, now: Instant) {
        self.quarantined_until = self.quarantined_until.filter(|until| now < *until);
        if self.idle.iter().any(|idle| idle.connection.has_unsolicited_bytes()) {
            self.quarantine(now);
        }
        self.idle.retain(|idle| idle.is_usable(now));
    }
}

impl Lease {
    /// Whether the connection was used before.
    pub(super) fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Whether the operating system has taken any byte of the present request.
    pub(super) fn has_sent(&self) -> bool {
        self.connection.as_ref().is_some_and(Connection::has_sent)
    }

    /// The connection, opened if there is none.
    pub(super) async fn connection(&mut self) -> Result<&mut Connection, SendError> {
        let connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(self.address, &self.pool.limits).await?,
        };
        Ok(self.connection.insert(connection))
    }

    /// Closes the connection; the next is a new one.
    pub(super) fn discard(&mut self) {
        self.connection = None;
        self.is_reused = false;
    }

    /// Closes the connection, and has none to its address go back to the pool for a while.
    pub(super) fn quarantine(&mut self) {
        self.connection = None;
        self.pool.quarantine(self.address);
    }

    /// Returns the connection to the pool after a complete answer. `keep_alive` is the idle time-out that the peer has
    /// advertised.
    pub(super) fn release(mut self, keep_alive: Option<Duration>) {
        let limits = &self.pool.limits;
        let advertised = keep_alive.map(|time| time * IDLE_PERCENT / 100);
        let allowed = advertised.unwrap_or(limits.default_idle).min(limits.max_idle);
        let until = Instant::now() + allowed;
        self.released = self.connection.take().map(|connection| {
            connection.mark_idle();
            Idle { connection, until }
        });
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.connection = None;
        self.pool.put_back(self.address, self.released.take());
    }
}
