//! Kept connections to workers, within the descriptor budget.

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

/// Kept connections are dropped at this share of the time at which the worker's machine may close them: a
/// request written after that close ends as a reset, which may have run.
const IDLE_FRACTION: f64 = 0.6;
const MIN_LEARNED_IDLE_MS: f64 = 100.0;
/// After each such time without a death, connections may stand idle twice as long.
const IDLE_DOUBLING_MS: f64 = 3_000.0;
/// Retries and call-offs of an old process's jobs need a few connections.
const MIN_SHARED_CONNECTIONS: usize = 4;
/// How often a free descriptor is looked for when all that workers may use are taken.
const DESCRIPTOR_POLL_INTERVAL_MS: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    pub connections: usize,
    pub connect_timeout: f64,
    pub conn_idle: f64,
    /// How long the 202 of an attempt that is given up is waited for (ms).
    pub cancel_grace: f64,
    /// An answer may come twice, the second some milliseconds late: taken for the next job's, it would say that one had
    /// failed or had never run. A connection on which an answer said more than that a job is taken rests so long (ms).
    pub reuse_delay: f64,
}

/// The settings' limit on a connect tells how long the way to a worker may take; an answer takes its own time.
const ANSWER_FACTOR: f64 = 2.0;
const MIN_ANSWER_TIMEOUT_MS: f64 = 200.0;
const MAX_ANSWER_TIMEOUT_MS: f64 = 2_000.0;

impl ConnectionLimits {
    /// A worker that is there says within this time (ms) whether it takes a job; that does not depend on its queue.
    pub fn answer_timeout(&self) -> f64 {
        (ANSWER_FACTOR * self.connect_timeout).clamp(MIN_ANSWER_TIMEOUT_MS, MAX_ANSWER_TIMEOUT_MS)
    }
}

/// A connection that counts against the budget until it is dropped.
pub struct Connection {
    pub socket: Socket,
    /// It has carried a request before, and stood idle since this time.
    pub idle_since: Option<f64>,
    address: SocketAddr,
    _permit: ConnectionPermit,
}

/// Why there is no connection.
#[derive(Debug)]
pub enum AcquireError {
    /// Of this program's doing: nothing is known of the worker.
    NoDescriptor,
    NotConnected,
}

/// What a connect may fail with before it asks the worker.
fn is_local_error(error: &io::Error) -> bool {
    use nix::errno::Errno;
    let local = [Errno::EMFILE, Errno::ENFILE, Errno::ENOBUFS, Errno::ENOMEM, Errno::EADDRNOTAVAIL];
    error.raw_os_error().is_some_and(|code| local.contains(&Errno::from_raw(code)))
}

struct ConnectionPermit(Arc<AtomicUsize>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

struct IdleConnection {
    connection: Connection,
    idle_since: f64,
    /// It rests until then.
    usable_from: f64,
}

/// Something on the way may drop idle connections sooner than the settings say. How long one may stand idle is
/// learnt from those that died: down to the age at which one did, and slowly up again.
#[derive(Clone, Copy)]
struct IdleLimit {
    learned_ms: f64,
    learned_at: f64,
}

impl IdleLimit {
    fn current(&self, now: f64, max_ms: f64) -> f64 {
        (self.learned_ms * ((now - self.learned_at) / IDLE_DOUBLING_MS).exp2()).min(max_ms)
    }

    /// One that died younger tells nothing of idleness.
    fn record_death(&mut self, age: f64, now: f64, max_ms: f64) {
        if age >= MIN_LEARNED_IDLE_MS {
            *self = IdleLimit { learned_ms: age.min(self.current(now, max_ms)), learned_at: now };
        }
    }
}

pub struct Pool {
    idle_limit: Mutex<IdleLimit>,
    /// The times in it change with the settings.
    limits: Mutex<ConnectionLimits>,
    peer_process: PeerProcess,
    open: Arc<AtomicUsize>,
    /// By worker, the latest used last: it is used next, so that the others grow old and go.
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

    /// By new settings, for connections asked for from now on and for how long kept ones may stand idle.
    pub fn set_timeouts(&self, connect_timeout: f64, conn_idle: f64) {
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        (limits.connect_timeout, limits.conn_idle) = (connect_timeout, conn_idle);
    }

    /// A kept connection, or a new one; waits for a descriptor while `wanted`, and for as long as a connect may take.
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

    /// Gives a connection back whose last response was read whole and allows another request.
    /// `rests`: its last response must not be taken for the next one's.
    pub fn put_back(&self, worker: WorkerId, connection: Connection, rests: bool) {
        let idle_since = self.clock.now();
        let usable_from = if rests { idle_since + self.limits().reuse_delay } else { idle_since };
        self.idle().entry(worker).or_default().push(IdleConnection { connection, idle_since, usable_from });
    }

    /// A kept connection was found dead: those that have stood idle as long will be.
    pub fn discard_older(&self, worker: WorkerId, since: f64) {
        self.counters.connections_died.add();
        let now = self.clock.now();
        let mut idle = self.idle_limit.lock().unwrap_or_else(PoisonError::into_inner);
        idle.record_death(now - since, now, self.limits().conn_idle * IDLE_FRACTION);
        drop(idle);
        if let Some(list) = self.idle().get_mut(&worker) {
            list.retain(|kept| kept.idle_since > since);
        }
    }

    pub fn close_idle(&self, worker: WorkerId) {
        drop(self.idle().remove(&worker));
    }

    pub fn close_stale(&self) {
        let fresh = self.usable_since();
        self.idle().retain(|_, list| {
            list.retain(|k| k.idle_since >= fresh && k.connection.socket.is_quiet());
            !list.is_empty()
        });
    }

    /// What the other process of an upgrade may hold is not ours.
    fn max_open(&self) -> usize {
        self.limits().connections.saturating_sub(self.peer_process.worker_connections()).max(1)
    }

    /// From now on at most so many are open here as are now, and half of all: the rest is the other process's.
    pub fn share_connections(&self) -> usize {
        let most = (self.limits().connections / 2).max(1);
        while self.open.load(Ordering::Relaxed) > most && self.drop_oldest_idle() {}
        let part = self.open.load(Ordering::Relaxed).clamp(MIN_SHARED_CONNECTIONS.min(most), most);
        self.peer_process.share(self.peer_process.inbound(), self.limits().connections - part);
        part
    }

    fn take_idle(&self, worker: &WorkerEndpoint) -> Option<Connection> {
        let fresh = self.usable_since();
        let mut kept = self.idle();
        let (list, now) = (kept.get_mut(&worker.id)?, self.clock.now());
        while let Some(i) = list.iter().rposition(|kept| kept.usable_from <= now) {
            let IdleConnection { connection, idle_since, .. } = list.remove(i);
            // The address of the same worker may have changed since.
            if idle_since >= fresh && connection.address == worker.address && connection.socket.is_quiet() {
                return Some(Connection { idle_since: Some(idle_since), ..connection });
            }
        }
        None
    }

    fn usable_since(&self) -> f64 {
        let now = self.clock.now();
        let idle = self.idle_limit.lock().unwrap_or_else(PoisonError::into_inner);
        now - idle.current(now, self.limits().conn_idle * IDLE_FRACTION)
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

    /// Room for one more connection, made by dropping the oldest kept one if need be.
    fn permit(&self) -> Option<ConnectionPermit> {
        if self.open.load(Ordering::Relaxed) >= self.max_open() && !self.drop_oldest_idle() {
            return None;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(ConnectionPermit(self.open.clone()))
    }

    fn drop_oldest_idle(&self) -> bool {
        let mut kept = self.idle();
        let oldest = kept
            .iter()
            .filter_map(|(worker, list)| list.first().map(|k| (k.idle_since, *worker)))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let Some(list) = oldest.and_then(|(_, worker)| kept.get_mut(&worker)) else { return false };
        list.remove(0);
        true
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, BTreeMap<WorkerId, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
