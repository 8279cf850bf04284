//! The server side: connections to workers, delivery attempts on them, call-offs, probes.
//!
//! It knows jobs and attempts by the exchange's types only and reports all that happens through the exchange.

mod attempt;
mod pool;

use millrudder_exchange::clock::{span, Clock};
use millrudder_exchange::counters::Counters;
use millrudder_exchange::{AttemptId, Exchange, Job, PeerProcess, WorkerId};
use millrudder_wire::socket::Cut;
use pool::Pool;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Where a worker is, as of now.
#[derive(Clone, Debug)]
pub struct WorkerEndpoint {
    pub id: WorkerId,
    pub address: SocketAddr,
    /// New jobs may go there: neither told to leave nor banned.
    pub open: Arc<AtomicBool>,
}

/// Reaches an attempt's coroutine wherever it waits.
pub(crate) struct Stop {
    /// The attempt is given up ...
    left: AtomicBool,
    /// ... though its worker is known to hold the job.
    accepted: AtomicBool,
    /// ... and its call-off is told until it is answered.
    firm: AtomicBool,
    /// Nobody waits for the job's answer any more: what has not been sent is not sent.
    unowed: AtomicBool,
    /// Of a delivery attempt's worker: a call-off goes also to one that leaves.
    open: Option<Arc<AtomicBool>>,
    /// Its connection is not worth waiting for any longer.
    cut: Cut,
    /// Clock time (bits of ms) by which a worker that is there has answered; none before there is a connection: what is
    /// waited for until then, a descriptor too, says nothing of the worker.
    due: AtomicU64,
}

impl Default for Stop {
    fn default() -> Self {
        Stop {
            left: AtomicBool::default(),
            accepted: AtomicBool::default(),
            firm: AtomicBool::default(),
            unowed: AtomicBool::default(),
            open: None,
            cut: Cut::default(),
            due: AtomicU64::new(f64::INFINITY.to_bits()),
        }
    }
}

impl Stop {
    pub(crate) fn is_left(&self) -> bool {
        self.left.load(Ordering::Acquire)
    }

    pub(crate) fn of_delivery(open: Arc<AtomicBool>) -> Self {
        Stop { open: Some(open), ..Stop::default() }
    }

    /// The one question before a request's first byte: a connection or a descriptor may have been waited for since
    /// the module chose. For drains and bans a send is counted from there.
    pub(crate) fn may_begin(&self) -> bool {
        self.may_send() && self.open.as_ref().is_none_or(|open| open.load(Ordering::Acquire))
    }

    /// ... and before its last.
    pub(crate) fn may_send(&self) -> bool {
        !self.is_left() && !self.unowed.load(Ordering::Acquire)
    }

    /// Nobody waits for the job's answer any more.
    pub(crate) fn owe_nothing(&self) {
        self.unowed.store(true, Ordering::Release);
    }

    fn answer_by(&self, due: f64) {
        self.due.store(due.to_bits(), Ordering::Release);
    }

    fn due(&self) -> f64 {
        f64::from_bits(self.due.load(Ordering::Acquire))
    }

    pub(crate) fn leave(&self, accepted: bool) {
        self.accepted.store(accepted, Ordering::Release);
        self.left.store(true, Ordering::Release);
    }
}

/// What the coroutines of all workers share.
struct Shared {
    pool: Pool,
    /// Attempts whose answer is awaited.
    waiting: Mutex<HashMap<AttemptId, Arc<Stop>>>,
    exchange: Exchange,
    counters: Arc<Counters>,
    clock: Clock,
}

/// A way to workers of one kind: what dispatch asks of it.
pub trait WorkerTransport {
    /// Starts a delivery attempt; its end or its acceptance comes through the exchange.
    fn deliver(&self, attempt: AttemptId, worker: WorkerEndpoint, job: Arc<Job>, until: f64);

    /// Gives an attempt up: the worker is told once it has accepted, and a 202 on its way is waited for a
    /// little, as closing the connection instead costs both sides a new one. `accepted`: it is known to hold the
    /// job, by a call-back too, which may come before the 202. `CalledOff` follows either way.
    ///
    /// `firm`: only once the worker has answered, or the job's time is over; it is told again until then.
    fn call_off(&self, attempt: AttemptId, worker: WorkerEndpoint, job: Arc<Job>, accepted: bool, firm: bool);

    /// The job has its answer, or its client has left: the attempt goes on only if its last byte is out, else it ends
    /// as not sent. That needs no permission to call off: the worker has nothing.
    fn hold_back(&self, attempt: AttemptId);

    fn probe(&self, worker: WorkerEndpoint);

    /// Closes the idle connections to a worker.
    fn release(&self, worker: WorkerId);

    /// New settings: how long a connect may take and a kept connection may stand idle (ms).
    fn retime(&self, connect_timeout: f64, conn_idle: f64);

    /// Leaves a part of the connections to the other process of an upgrade; gives how many this one goes on with.
    fn keep_a_part(&self) -> usize;

    /// Once in a while: closes what has stood idle too long.
    fn tidy(&self);

    /// Ends waits for an answer that is overdue: a machine that went silent would hold the job until its deadline
    /// and the descriptor for ever.
    fn cut_overdue(&self);
}

#[derive(Clone)]
pub struct HttpTransport(Arc<Shared>);

impl HttpTransport {
    /// `neighbour` says what another process of an upgrade may hold of the connections.
    pub fn new(
        limits: pool::ConnectionLimits,
        exchange: Exchange,
        peer_process: PeerProcess,
        counters: Arc<Counters>,
        clock: Clock,
    ) -> Self {
        let pool = Pool::new(limits, peer_process, counters.clone(), clock);
        HttpTransport(Arc::new(Shared { pool, waiting: Mutex::default(), exchange, counters, clock }))
    }

    fn waiting(&self) -> std::sync::MutexGuard<'_, HashMap<AttemptId, Arc<Stop>>> {
        self.0.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl WorkerTransport for HttpTransport {
    fn deliver(&self, attempt: AttemptId, worker: WorkerEndpoint, job: Arc<Job>, until: f64) {
        let stop = Arc::new(Stop::of_delivery(worker.open.clone()));
        self.waiting().insert(attempt, stop.clone());
        let shared = self.0.clone();
        may::go!(move || {
            attempt::deliver(&shared, attempt, &worker, &job, until, &stop);
            shared.waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&attempt);
        });
    }

    fn call_off(
        &self,
        attempt: AttemptId,
        worker: WorkerEndpoint,
        job: Arc<Job>,
        accepted: bool,
        firm: bool,
    ) {
        let unanswered = self.waiting().remove(&attempt);
        let shared = self.0.clone();
        shared.counters.calls_off.add();
        match unanswered {
            Some(stop) => {
                stop.firm.store(firm, Ordering::Release);
                stop.leave(accepted);
                may::go!(move || {
                    may::coroutine::sleep(span(shared.pool.limits().cancel_grace));
                    stop.cut.now();
                });
            }
            None => drop(may::go!(move || attempt::delete(&shared, attempt, &worker, &job, firm))),
        }
    }

    fn hold_back(&self, attempt: AttemptId) {
        if let Some(stop) = self.waiting().get(&attempt) {
            stop.owe_nothing();
        }
    }

    fn probe(&self, worker: WorkerEndpoint) {
        let shared = self.0.clone();
        shared.counters.probes.add();
        may::go!(move || attempt::probe(&shared, &worker));
    }

    fn release(&self, worker: WorkerId) {
        self.0.pool.release(worker);
    }

    fn retime(&self, connect_timeout: f64, conn_idle: f64) {
        self.0.pool.retime(connect_timeout, conn_idle);
    }

    fn keep_a_part(&self) -> usize {
        self.0.pool.keep_a_part()
    }

    fn tidy(&self) {
        self.0.pool.tidy();
    }

    fn cut_overdue(&self) {
        let now = self.0.clock.now();
        for stop in self.waiting().values() {
            if stop.due() < now {
                stop.cut.now();
            }
        }
    }
}

pub use pool::ConnectionLimits;

#[cfg(test)]
mod tests;
