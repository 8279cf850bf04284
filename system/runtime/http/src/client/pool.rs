//! The open connections, by address.
//!
//! A peer that has sent what no request of ours asked for, or not an answer at all, may do so again, and a second
//! answer that crosses the next request on its connection spoils that one too. So for a while after it each
//! connection to that address carries one request only.
//!
//! The id in an answer tells it from answers to other requests, but not from a second answer to an earlier try of the
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

/// How often idle connections are looked through for those whose time is over.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The part of the peer's idle time after which a connection is closed: a request must not cross the peer's close.
const IDLE_PERCENT: u32 = 60;
/// How long connections to an address that sent stray or garbled bytes are used for one request only. It outlasts
/// the time-outs of requests, within which a worker in trouble sends its second answers.
const DISTRUST: Duration = Duration::from_secs(10);

/// The connections to one address.
#[derive(Default)]
struct Connections {
    /// In the order of their last use.
    idle: Vec<Idle>,
    busy: usize,
    /// Until when no connection is kept.
    distrusted_until: Option<Instant>,
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

/// A connection in use, or the leave to open one.
pub(super) struct Lease {
    pool: Rc<Pool>,
    address: SocketAddr,
    connection: Option<Connection>,
    is_reused: bool,
    /// The connection that goes back to the pool when the lease is dropped.
    kept: Option<Idle>,
}

impl Pool {
    pub(super) fn new(limits: ClientLimits) -> Pool {
        Pool { limits, connections: RefCell::default(), is_sweeping: Cell::new(false) }
    }

    /// Takes the idle connection that was used last, else leave to open one if the target allows one more. A
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
            connections.make_room(target.max_connections);
        }
        connections.busy += 1;
        let is_reused = connection.is_some();
        Ok(Lease { pool: Rc::clone(self), address: target.address, connection, is_reused, kept: None })
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

    /// Takes back a connection in use, with what is to be kept of it.
    fn give_back(self: &Rc<Self>, address: SocketAddr, kept: Option<Idle>) {
        let mut all = self.connections.borrow_mut();
        let Some(connections) = all.get_mut(&address) else { return };
        connections.busy -= 1;
        if connections.distrusted_until.is_none() {
            connections.idle.extend(kept);
        }
        if connections.is_empty() {
            all.remove(&address);
        } else if !self.is_sweeping.replace(true) {
            self.start_sweeping();
        }
    }

    /// Has no connection to the address kept for a while.
    fn distrust(&self, address: SocketAddr) {
        if let Some(connections) = self.connections.borrow_mut().get_mut(&address) {
            connections.distrust(Instant::now());
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

    /// Closes the idle connections whose time is over; whether there are no connections at all.
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
        self.busy == 0 && self.idle.is_empty() && self.distrusted_until.is_none()
    }

    /// The most recent idle connection that is usable for this request; those that are not usable at all are closed.
    fn take_idle(&mut self, now: Instant, request_id: Option<&HeaderValue>) -> Option<Connection> {
        if self.idle.iter().any(|idle| idle.connection.has_stray_bytes()) {
            self.distrust(now);
        }
        self.idle.retain(|idle| idle.is_usable(now));
        let is_fit = |idle: &Idle| !request_id.is_some_and(|id| idle.connection.has_carried(id));
        let position = self.idle.iter().rposition(is_fit)?;
        Some(self.idle.remove(position).connection)
    }

    /// Closes the idle connections that were not used for the longest, so that one more may be opened.
    fn make_room(&mut self, most: usize) {
        let allowed = most.saturating_sub(self.busy + 1);
        let surplus = self.idle.len().saturating_sub(allowed);
        self.idle.drain(..surplus);
    }

    /// Closes all idle connections and keeps none for a while.
    fn distrust(&mut self, now: Instant) {
        self.idle.clear();
        self.distrusted_until = Some(now + DISTRUST);
    }

    /// Closes the idle connections that are not usable, and trusts again once it is time.
    fn sweep(&mut self, now: Instant) {
        self.distrusted_until = self.distrusted_until.filter(|until| now < *until);
        if self.idle.iter().any(|idle| idle.connection.has_stray_bytes()) {
            self.distrust(now);
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

    /// Closes the connection, and has none to its address kept for a while.
    pub(super) fn distrust(&mut self) {
        self.connection = None;
        self.pool.distrust(self.address);
    }

    /// Gives the connection back for use by others after an answer in full. `keep_alive` is the idle time that
    /// the peer has told.
    pub(super) fn keep(mut self, keep_alive: Option<Duration>) {
        let limits = &self.pool.limits;
        let told = keep_alive.map(|time| time * IDLE_PERCENT / 100);
        let allowed = told.unwrap_or(limits.default_idle).min(limits.max_idle);
        let until = Instant::now() + allowed;
        self.kept = self.connection.take().map(|connection| {
            connection.rest();
            Idle { connection, until }
        });
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.connection = None;
        self.pool.give_back(self.address, self.kept.take());
    }
}
