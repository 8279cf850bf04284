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
const IDLE_SHARE: f64 = 0.6;
const LEAST_IDLE_MS: f64 = 100.0;
/// After each such time without a death, connections may stand idle twice as long.
const DOUBLES_MS: f64 = 3_000.0;
/// Retries and call-offs of an old process's jobs need a few connections.
const LEAST_PART: usize = 4;
/// How often a free descriptor is looked for when all that workers may use are taken.
const PLACE_PAUSE_MS: f64 = 2.0;

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
const LEAST_ANSWER_MS: f64 = 200.0;
const MOST_ANSWER_MS: f64 = 2_000.0;

impl ConnectionLimits {
    /// A worker that is there says within this time (ms) whether it takes a job; that does not depend on its queue.
    pub fn answer_time(&self) -> f64 {
        (ANSWER_FACTOR * self.connect_timeout).clamp(LEAST_ANSWER_MS, MOST_ANSWER_MS)
    }
}

/// A connection that counts against the budget until it is dropped.
pub struct Connection {
    pub socket: Socket,
    /// It has carried a request before, and stood idle since this time.
    pub kept_since: Option<f64>,
    address: SocketAddr,
    _place: Place,
}

/// Why there is no connection.
#[derive(Debug)]
pub enum NoConnection {
    /// Of this program's doing: nothing is known of the worker.
    NoDescriptor,
    NotConnected,
}

/// What a connect may fail with before it asks the worker.
fn is_local(error: &io::Error) -> bool {
    use nix::errno::Errno;
    let local = [Errno::EMFILE, Errno::ENFILE, Errno::ENOBUFS, Errno::ENOMEM, Errno::EADDRNOTAVAIL];
    error.raw_os_error().is_some_and(|code| local.contains(&Errno::from_raw(code)))
}

struct Place(Arc<AtomicUsize>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

struct Kept {
    connection: Connection,
    since: f64,
    /// It rests until then.
    until: f64,
}

/// Something on the way may drop idle connections sooner than the settings say. How long one may stand idle is
/// learnt from those that died: down to the age at which one did, and slowly up again.
#[derive(Clone, Copy)]
struct IdleLimit {
    learnt: f64,
    at: f64,
}

impl IdleLimit {
    fn now(&self, now: f64, most: f64) -> f64 {
        (self.learnt * ((now - self.at) / DOUBLES_MS).exp2()).min(most)
    }

    /// One that died younger tells nothing of idleness.
    fn died(&mut self, age: f64, now: f64, most: f64) {
        if age >= LEAST_IDLE_MS {
            *self = IdleLimit { learnt: age.min(self.now(now, most)), at: now };
        }
    }
}

pub struct Pool {
    idle: Mutex<IdleLimit>,
    /// The times in it change with the settings.
    limits: Mutex<ConnectionLimits>,
    peer_process: PeerProcess,
    open: Arc<AtomicUsize>,
    /// By worker, the latest used last: it is used next, so that the others grow old and go.
    kept: Mutex<BTreeMap<WorkerId, Vec<Kept>>>,
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
        let idle = Mutex::new(IdleLimit { learnt: f64::INFINITY, at: 0.0 });
        let (limits, open, kept) = (Mutex::new(limits), Arc::default(), Mutex::default());
        Pool { idle, limits, peer_process, open, kept, counters, clock }
    }

    pub fn limits(&self) -> ConnectionLimits {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// By new settings, for connections asked for from now on and for how long kept ones may stand idle.
    pub fn retime(&self, connect_timeout: f64, conn_idle: f64) {
        let mut limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        (limits.connect_timeout, limits.conn_idle) = (connect_timeout, conn_idle);
    }

    /// A kept connection, or a new one; waits for a descriptor while `wanted`, and for as long as a connect may take.
    pub fn take(
        &self,
        worker: &WorkerEndpoint,
        wanted: impl Fn() -> bool,
    ) -> Result<Connection, NoConnection> {
        if let Some(connection) = self.take_kept(worker) {
            self.counters.connections_reused.add();
            return Ok(connection);
        }
        let Some(place) = self.wait_for_place(wanted) else {
            self.counters.connections_lacking.add();
            return Err(NoConnection::NoDescriptor);
        };
        match Socket::connect(worker.address, span(self.limits().connect_timeout)) {
            Ok(socket) => {
                self.counters.connections_out.add();
                Ok(Connection { socket, kept_since: None, address: worker.address, _place: place })
            }
            Err(error) if is_local(&error) => {
                self.counters.connections_lacking.add();
                Err(NoConnection::NoDescriptor)
            }
            Err(_) => {
                self.counters.connects_failed.add();
                Err(NoConnection::NotConnected)
            }
        }
    }

    /// Gives a connection back whose last response was read whole and allows another request.
    /// `rests`: its last response must not be taken for the next one's.
    pub fn keep(&self, worker: WorkerId, connection: Connection, rests: bool) {
        let since = self.clock.now();
        let until = if rests { since + self.limits().reuse_delay } else { since };
        self.kept().entry(worker).or_default().push(Kept { connection, since, until });
    }

    /// A kept connection was found dead: those that have stood idle as long will be.
    pub fn forget_older(&self, worker: WorkerId, since: f64) {
        self.counters.connections_died.add();
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.died(now - since, now, self.limits().conn_idle * IDLE_SHARE);
        drop(idle);
        if let Some(list) = self.kept().get_mut(&worker) {
            list.retain(|kept| kept.since > since);
        }
    }

    pub fn release(&self, worker: WorkerId) {
        drop(self.kept().remove(&worker));
    }

    pub fn tidy(&self) {
        let fresh = self.fresh_since();
        self.kept().retain(|_, list| {
            list.retain(|k| k.since >= fresh && k.connection.socket.is_quiet());
            !list.is_empty()
        });
    }

    /// What the other process of an upgrade may hold is not ours.
    fn most(&self) -> usize {
        self.limits().connections.saturating_sub(self.peer_process.worker_connections()).max(1)
    }

    /// From now on at most so many are open here as are now, and half of all: the rest is the other process's.
    pub fn keep_a_part(&self) -> usize {
        let most = (self.limits().connections / 2).max(1);
        while self.open.load(Ordering::Relaxed) > most && self.drop_oldest() {}
        let part = self.open.load(Ordering::Relaxed).clamp(LEAST_PART.min(most), most);
        self.peer_process.share(self.peer_process.inbound(), self.limits().connections - part);
        part
    }

    fn take_kept(&self, worker: &WorkerEndpoint) -> Option<Connection> {
        let fresh = self.fresh_since();
        let mut kept = self.kept();
        let (list, now) = (kept.get_mut(&worker.id)?, self.clock.now());
        while let Some(i) = list.iter().rposition(|kept| kept.until <= now) {
            let Kept { connection, since, .. } = list.remove(i);
            // The address of the same worker may have changed since.
            if since >= fresh && connection.address == worker.address && connection.socket.is_quiet() {
                return Some(Connection { kept_since: Some(since), ..connection });
            }
        }
        None
    }

    fn fresh_since(&self) -> f64 {
        let now = self.clock.now();
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        now - idle.now(now, self.limits().conn_idle * IDLE_SHARE)
    }

    fn wait_for_place(&self, wanted: impl Fn() -> bool) -> Option<Place> {
        let until = self.clock.now() + self.limits().connect_timeout;
        loop {
            let place = self.place();
            if place.is_some() || !wanted() || self.clock.now() >= until {
                return place;
            }
            may::coroutine::sleep(span(PLACE_PAUSE_MS));
        }
    }

    /// Room for one more connection, made by dropping the oldest kept one if need be.
    fn place(&self) -> Option<Place> {
        if self.open.load(Ordering::Relaxed) >= self.most() && !self.drop_oldest() {
            return None;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(Place(self.open.clone()))
    }

    fn drop_oldest(&self) -> bool {
        let mut kept = self.kept();
        let oldest = kept
            .iter()
            .filter_map(|(worker, list)| list.first().map(|k| (k.since, *worker)))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let Some(list) = oldest.and_then(|(_, worker)| kept.get_mut(&worker)) else { return false };
        list.remove(0);
        true
    }

    fn kept(&self) -> std::sync::MutexGuard<'_, BTreeMap<WorkerId, Vec<Kept>>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
