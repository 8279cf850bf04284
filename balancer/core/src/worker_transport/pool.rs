//! The pool of connections to workers, within the budget of descriptors.

use super::WorkerEndpoint;
use millrudder_exchange::clock::{span, Clock};
use millrudder_exchange::counters::Counters;
use millrudder_exchange::{PeerProcess, WorkerId};
use millrudder_wire::socket::Socket;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Idle connections are dropped after this fraction of the time after which the worker's machine may close
/// them. A request written after that close would end as a reset, after which the job may or may not have
/// run.
const IDLE_FRACTION: f64 = 0.6;
/// A connection that died at a lower idle age than this (ms) does not change the learned idle limit.
const MIN_LEARNED_IDLE_MS: f64 = 100.0;
/// The learned idle limit doubles each time this long passes without a dead connection (ms).
const IDLE_DOUBLING_MS: f64 = 3_000.0;
/// The least number of connections that the old process of an upgrade keeps for itself, as retries and
/// cancels of its jobs need a few.
const MIN_KEPT_CONNECTIONS: usize = 4;
/// How often a request checks for a free descriptor while the whole budget is in use (ms).
const DESCRIPTOR_POLL_INTERVAL_MS: f64 = 2.0;

/// The limits on connections to workers.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// The most connections that may be open at once.
    pub connections: usize,
    /// How long a connect, and the wait for a descriptor before it, may take (ms).
    pub connect_timeout: f64,
    /// The idle time after which a worker's machine may close a connection (ms).
    pub conn_idle: f64,
    /// How long the 202 of an attempt that is given up is waited for (ms).
    pub cancel_grace: f64,
    /// How long a connection is not reused after any response but a 202 (ms). A response may be duplicated,
    /// the second copy some milliseconds late; taken for the response to the next job, it would say that this
    /// job had failed or had never run.
    pub reuse_delay: f64,
}

/// The time allowed for an answer, as a multiple of the connect time-out. The connect time-out covers the
/// network; the worker needs time of its own to answer.
const ANSWER_TIMEOUT_FACTOR: f64 = 2.0;
/// The least time allowed for an answer (ms).
const MIN_ANSWER_TIMEOUT_MS: f64 = 200.0;
/// The most time allowed for an answer (ms).
const MAX_ANSWER_TIMEOUT_MS: f64 = 2_000.0;

impl ConnectionLimits {
    /// A reachable worker answers within this time (ms) whether it accepts a job, however long its queue is.
    pub fn answer_timeout(&self) -> f64 {
        (ANSWER_TIMEOUT_FACTOR * self.connect_timeout).clamp(MIN_ANSWER_TIMEOUT_MS, MAX_ANSWER_TIMEOUT_MS)
    }
}

/// A connection that counts against the budget until it is dropped.
pub struct Connection {
    pub socket: Socket,
    /// If it was reused: the clock time (ms) since which it had been idle. `None` for a new connection.
    pub idle_since: Option<f64>,
    address: SocketAddr,
    _permit: ConnectionPermit,
}

/// Why no connection could be had.
#[derive(Debug)]
pub enum AcquireError {
    /// This process or its host lacks resources, which says nothing about the worker.
    NoDescriptor,
    /// The connect failed or timed out.
    NotConnected,
}

/// Whether a connect failed for lack of local resources, before any packet went to the worker.
fn is_local_error(error: &io::Error) -> bool {
    use nix::errno::Errno;
    let local = [Errno::EMFILE, Errno::ENFILE, Errno::ENOBUFS, Errno::ENOMEM, Errno::EADDRNOTAVAIL];
    error.raw_os_error().is_some_and(|code| local.contains(&Errno::from_raw(code)))
}

/// The right to one open connection; returned to the budget when dropped.
struct ConnectionPermit(Arc<AtomicUsize>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

struct IdleConnection {
    connection: Connection,
    /// Clock time (ms).
    idle_since: f64,
    /// Clock time (ms) before which it must not be reused; see [`ConnectionLimits::reuse_delay`].
    usable_from: f64,
}

/// How long a connection may stand idle. Network equipment may drop idle connections sooner than the settings
/// say, so the limit is learned from connections that died: it falls to the idle age at which one died and
/// slowly rises again.
#[derive(Clone, Copy)]
struct IdleLimit {
    /// The limit at the time `learned_at` (ms).
    learned_ms: f64,
    /// Clock time (ms).
    learned_at: f64,
}

impl IdleLimit {
    /// The present limit (ms), at most `max_ms`.
    fn current(&self, now: f64, max_ms: f64) -> f64 {
        (self.learned_ms * ((now - self.learned_at) / IDLE_DOUBLING_MS).exp2()).min(max_ms)
    }

    /// Lowers the limit to the idle age (ms) of a dead connection. A very young one did not die of idleness
    /// and is ignored.
    fn record_death(&mut self, age: f64, now: f64, max_ms: f64) {
        if age >= MIN_LEARNED_IDLE_MS {
            *self = IdleLimit { learned_ms: age.min(self.current(now, max_ms)), learned_at: now };
        }
    }
}

/// The connections to all workers.
pub struct Pool {
    idle_limit: Mutex<IdleLimit>,
    /// The time-outs in it change when settings are reloaded.
    limits: Mutex<ConnectionLimits>,
    peer_process: PeerProcess,
    /// How many connections are open, idle or in use.
    open: Arc<AtomicUsize>,
    /// By worker, the most recently used last. That one is reused first, so that surplus connections reach
    /// the idle limit and are closed.
    idle: Mutex<BTreeMap<WorkerId, Vec<IdleConnection>>>,
    counters: Arc<Counters>,
    clock: Clock,
}

impl Pool {
    pub fn new(
        limits: ConnectionLimits,
        peer_process: PeerProcess,
        counters: Arc<Counters>,
        clock: Clock,
    ) -> Self {
        let idle_limit = Mutex::new(IdleLimit { learned_ms: f64::INFINITY, learned_at: 0.0 });
        let (limits, open, idle) = (Mutex::new(limits), Arc::default(), Mutex::default());
        Pool { idle_limit, limits, peer_process, open, idle, counters, clock }
    }

    pub fn limits(&self) -> ConnectionLimits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies reloaded settings (ms): to connects from now on, and to the idle limit of present connections
    /// too.
    pub fn set_timeouts(&self, connect_timeout: f64, conn_idle: f64) {
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        (limits.connect_timeout, limits.conn_idle) = (connect_timeout, conn_idle);
    }

    /// Takes an idle connection or opens a new one. Waits for a free descriptor as long as `wanted` returns
    /// true, and at most for the connect time-out.
    pub fn acquire(
        &self,
        worker: &WorkerEndpoint,
        wanted: impl Fn() -> bool,
    ) -> Result<Connection, AcquireError> {
        if let Some(connection) = self.take_idle(worker) {
            self.counters.connections_reused.add();
            return Ok(connection);
        }
        let Some(permit) = self.wait_for_permit(wanted) else {
            self.counters.connections_lacking.add();
            return Err(AcquireError::NoDescriptor);
        };
        match Socket::connect(worker.address, span(self.limits().connect_timeout)) {
            Ok(socket) => {
                self.counters.connections_out.add();
                Ok(Connection { socket, idle_since: None, address: worker.address, _permit: permit })
            }
            Err(error) if is_local_error(&error) => {
                self.counters.connections_lacking.add();
                Err(AcquireError::NoDescriptor)
            }
            Err(_) => {
                self.counters.connects_failed.add();
                Err(AcquireError::NotConnected)
            }
        }
    }

    /// Puts back a connection whose last response was read completely and permits another request.
    /// `delay_reuse`:
    /// it must not be reused for a while, as a duplicate of that response would be taken for the next
    /// request's.
    pub fn put_back(&self, worker: WorkerId, connection: Connection, delay_reuse: bool) {
        let idle_since = self.clock.now();
        let usable_from = if delay_reuse { idle_since + self.limits().reuse_delay } else { idle_since };
        self.idle().entry(worker).or_default().push(IdleConnection { connection, idle_since, usable_from });
    }

    /// Called when an idle connection was found dead. Drops the worker's connections that have been idle for
    /// as long, since they are likely to be dead too, and lowers the idle limit.
    pub fn discard_older(&self, worker: WorkerId, since: f64) {
        self.counters.connections_died.add();
        let now = self.clock.now();
        let mut idle_limit = self.idle_limit.lock().unwrap_or_else(PoisonError::into_inner);
        idle_limit.record_death(now - since, now, self.limits().conn_idle * IDLE_FRACTION);
        drop(idle_limit);
        if let Some(list) = self.idle().get_mut(&worker) {
            list.retain(|connection| connection.idle_since > since);
        }
    }

    /// Closes all idle connections to a worker.
    pub fn close_idle(&self, worker: WorkerId) {
        drop(self.idle().remove(&worker));
    }

    /// Closes connections that have been idle for too long, or on which the worker has sent something or
    /// closed.
    pub fn close_stale(&self) {
        let usable_since = self.usable_since();
        self.idle().retain(|_, list| {
            list.retain(|idle| idle.idle_since >= usable_since && idle.connection.socket.is_quiet());
            !list.is_empty()
        });
    }

    /// The most connections that this process may open: the budget without what the other process of an
    /// upgrade may hold.
    fn max_open(&self) -> usize {
        self.limits().connections.saturating_sub(self.peer_process.worker_connections()).max(1)
    }

    /// Leaves a part of the budget to the other process of an upgrade. This process keeps as many connections
    /// as it has open now, at most half of the budget, and returns their number.
    pub fn share_connections(&self) -> usize {
        let max_kept = (self.limits().connections / 2).max(1);
        while self.open.load(Ordering::Relaxed) > max_kept && self.drop_oldest_idle() {}
        let kept = self.open.load(Ordering::Relaxed).clamp(MIN_KEPT_CONNECTIONS.min(max_kept), max_kept);
        self.peer_process.set_peer_connections(self.peer_process.inbound(), self.limits().connections - kept);
        kept
    }

    /// Takes the most recently used connection to this worker that may be reused.
    fn take_idle(&self, worker: &WorkerEndpoint) -> Option<Connection> {
        let usable_since = self.usable_since();
        let mut idle = self.idle();
        let (list, now) = (idle.get_mut(&worker.id)?, self.clock.now());
        while let Some(i) = list.iter().rposition(|connection| connection.usable_from <= now) {
            let IdleConnection { connection, idle_since, .. } = list.remove(i);
            // The worker's address may have changed since the connection was opened.
            if idle_since >= usable_since
                && connection.address == worker.address
                && connection.socket.is_quiet()
            {
                return Some(Connection { idle_since: Some(idle_since), ..connection });
            }
        }
        None
    }

    /// Clock time (ms): connections that have been idle since before then must not be reused.
    fn usable_since(&self) -> f64 {
        let now = self.clock.now();
        let idle_limit = self.idle_limit.lock().unwrap_or_else(PoisonError::into_inner);
        now - idle_limit.current(now, self.limits().conn_idle * IDLE_FRACTION)
    }

    fn wait_for_permit(&self, wanted: impl Fn() -> bool) -> Option<ConnectionPermit> {
        let until = self.clock.now() + self.limits().connect_timeout;
        loop {
            let permit = self.permit();
            if permit.is_some() || !wanted() || self.clock.now() >= until {
                return permit;
            }
            may::coroutine::sleep(span(DESCRIPTOR_POLL_INTERVAL_MS));
        }
    }

    /// A permit for one more connection. If the budget is used up, closes the longest idle connection to make
    /// room.
    fn permit(&self) -> Option<ConnectionPermit> {
        if self.open.load(Ordering::Relaxed) >= self.max_open() && !self.drop_oldest_idle() {
            return None;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(ConnectionPermit(self.open.clone()))
    }

    /// Closes the connection that has been idle for longest; false if none is idle.
    fn drop_oldest_idle(&self) -> bool {
        let mut idle = self.idle();
        let oldest = idle
            .iter()
            .filter_map(|(worker, list)| list.first().map(|k| (k.idle_since, *worker)))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let Some(list) = oldest.and_then(|(_, worker)| idle.get_mut(&worker)) else { return false };
        list.remove(0);
        true
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, BTreeMap<WorkerId, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
