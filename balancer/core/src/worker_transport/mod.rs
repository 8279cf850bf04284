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
    pub accepts_jobs: Arc<AtomicBool>,
}

/// Reaches an attempt's coroutine wherever it waits.
pub(crate) struct RequestControl {
    /// The attempt is given up ...
    given_up: AtomicBool,
    /// ... though its worker is known to hold the job.
    accepted: AtomicBool,
    /// ... and its call-off is told until it is answered.
    until_confirmed: AtomicBool,
    /// Nobody waits for the job's answer any more: what has not been sent is not sent.
    answer_unwanted: AtomicBool,
    /// Of a delivery attempt's worker: a call-off goes also to one that leaves.
    accepts_jobs: Option<Arc<AtomicBool>>,
    /// Its connection is not worth waiting for any longer.
    cut: Cut,
    /// Clock time (bits of ms) by which a worker that is there has answered; none before there is a connection: what is
    /// waited for until then, a descriptor too, says nothing of the worker.
    answer_deadline: AtomicU64,
}

impl Default for RequestControl {
    fn default() -> Self {
        RequestControl {
            given_up: AtomicBool::default(),
            accepted: AtomicBool::default(),
            until_confirmed: AtomicBool::default(),
            answer_unwanted: AtomicBool::default(),
            accepts_jobs: None,
            cut: Cut::default(),
            answer_deadline: AtomicU64::new(f64::INFINITY.to_bits()),
        }
    }
}

impl RequestControl {
    pub(crate) fn is_given_up(&self) -> bool {
        self.given_up.load(Ordering::Acquire)
    }

    pub(crate) fn for_delivery(accepts_jobs: Arc<AtomicBool>) -> Self {
        RequestControl { accepts_jobs: Some(accepts_jobs), ..RequestControl::default() }
    }

    /// The one question before a request's first byte: a connection or a descriptor may have been waited for since
    /// the module chose. For drains and bans a send is counted from there.
    pub(crate) fn may_begin(&self) -> bool {
        self.may_finish()
            && self.accepts_jobs.as_ref().is_none_or(|accepts_jobs| accepts_jobs.load(Ordering::Acquire))
    }

    /// ... and before its last.
    pub(crate) fn may_finish(&self) -> bool {
        !self.is_given_up() && !self.answer_unwanted.load(Ordering::Acquire)
    }

    /// Nobody waits for the job's answer any more.
    pub(crate) fn mark_answer_unwanted(&self) {
        self.answer_unwanted.store(true, Ordering::Release);
    }

    fn set_answer_deadline(&self, deadline: f64) {
        self.answer_deadline.store(deadline.to_bits(), Ordering::Release);
    }

    fn answer_deadline(&self) -> f64 {
        f64::from_bits(self.answer_deadline.load(Ordering::Acquire))
    }

    pub(crate) fn give_up(&self, accepted: bool) {
        self.accepted.store(accepted, Ordering::Release);
        self.given_up.store(true, Ordering::Release);
    }
}

/// What the coroutines of all workers share.
struct Shared {
    pool: Pool,
    /// Attempts whose answer is awaited.
    unanswered: Mutex<HashMap<AttemptId, Arc<RequestControl>>>,
    exchange: Exchange,
    counters: Arc<Counters>,
    clock: Clock,
}

/// A way to workers of one kind: what dispatch asks of it.
pub trait WorkerTransport {
    /// Starts a delivery attempt; its end or its acceptance comes through the exchange.
    fn deliver(&self, attempt: AttemptId, worker: WorkerEndpoint, job: Arc<Job>, expires_at: f64);

    /// Gives an attempt up: the worker is told once it has accepted, and a 202 on its way is waited for a
    /// little, as closing the connection instead costs both sides a new one. `accepted`: it is known to hold the
    /// job, by a call-back too, which may come before the 202. `CalledOff` follows either way.
    ///
    /// `firm`: only once the worker has answered, or the job's time is over; it is told again until then.
    fn cancel(
        &self,
        attempt: AttemptId,
        worker: WorkerEndpoint,
        job: Arc<Job>,
        accepted: bool,
        until_confirmed: bool,
    );

    /// The job has its answer, or its client has left: the attempt goes on only if its last byte is out, else it ends
    /// as not sent. That needs no permission to call off: the worker has nothing.
    fn withhold_unsent(&self, attempt: AttemptId);

    fn probe(&self, worker: WorkerEndpoint);

    /// Closes the idle connections to a worker.
    fn close_idle(&self, worker: WorkerId);

    /// New settings: how long a connect may take and a kept connection may stand idle (ms).
    fn set_timeouts(&self, connect_timeout: f64, conn_idle: f64);

    /// Leaves a part of the connections to the other process of an upgrade; gives how many this one goes on with.
    fn share_connections(&self) -> usize;

    /// Once in a while: closes what has stood idle too long.
    fn close_stale(&self);

    /// Ends waits for an answer that is overdue: a machine that went silent would hold the job until its deadline
    /// and the descriptor for ever.
    fn abort_overdue(&self);
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
        HttpTransport(Arc::new(Shared { pool, unanswered: Mutex::default(), exchange, counters, clock }))
    }

    fn unanswered(&self) -> std::sync::MutexGuard<'_, HashMap<AttemptId, Arc<RequestControl>>> {
        self.0.unanswered.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl WorkerTransport for HttpTransport {
    fn deliver(&self, attempt: AttemptId, worker: WorkerEndpoint, job: Arc<Job>, expires_at: f64) {
        let control = Arc::new(RequestControl::for_delivery(worker.accepts_jobs.clone()));
        self.unanswered().insert(attempt, control.clone());
        let shared = self.0.clone();
        may::go!(move || {
            attempt::deliver(&shared, attempt, &worker, &job, expires_at, &control);
            shared.unanswered.lock().unwrap_or_else(PoisonError::into_inner).remove(&attempt);
        });
    }

    fn cancel(
        &self,
        attempt: AttemptId,
        worker: WorkerEndpoint,
        job: Arc<Job>,
        accepted: bool,
        until_confirmed: bool,
    ) {
        let control = self.unanswered().remove(&attempt);
        let shared = self.0.clone();
        shared.counters.calls_off.add();
        match control {
            Some(control) => {
                control.until_confirmed.store(until_confirmed, Ordering::Release);
                control.give_up(accepted);
                may::go!(move || {
                    may::coroutine::sleep(span(shared.pool.limits().cancel_grace));
                    control.cut.now();
                });
            }
            None => {
                drop(may::go!(move || attempt::send_cancel(&shared, attempt, &worker, &job, until_confirmed)))
            }
        }
    }

    fn withhold_unsent(&self, attempt: AttemptId) {
        if let Some(control) = self.unanswered().get(&attempt) {
            control.mark_answer_unwanted();
        }
    }

    fn probe(&self, worker: WorkerEndpoint) {
        let shared = self.0.clone();
        shared.counters.probes.add();
        may::go!(move || attempt::probe(&shared, &worker));
    }

    fn close_idle(&self, worker: WorkerId) {
        self.0.pool.close_idle(worker);
    }

    fn set_timeouts(&self, connect_timeout: f64, conn_idle: f64) {
        self.0.pool.set_timeouts(connect_timeout, conn_idle);
    }

    fn share_connections(&self) -> usize {
        self.0.pool.share_connections()
    }

    fn close_stale(&self) {
        self.0.pool.close_stale();
    }

    fn abort_overdue(&self) {
        let now = self.0.clock.now();
        for control in self.unanswered().values() {
            if control.answer_deadline() < now {
                control.cut.now();
            }
        }
    }
}

pub use pool::ConnectionLimits;

#[cfg(test)]
mod tests;
