//! Requests to workers over HTTP/1.1: delivery attempts, cancels and health probes, on pooled connections.
//!
//! Uses only the exchange's types for jobs and attempts, and reports all results through the exchange.

mod attempt;
mod pool;

use millrudder_exchange::clock::{span, Clock};
use millrudder_exchange::counters::Counters;
use millrudder_exchange::{AttemptId, Exchange, Job, PeerProcess, WorkerId};
use millrudder_wire::socket::CancelToken;
use pool::Pool;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// A worker as a request addresses it.
#[derive(Clone, Debug)]
pub struct WorkerEndpoint {
    pub id: WorkerId,
    pub address: SocketAddr,
    /// New jobs may go there: it is neither draining nor banned. Changes also reach attempts that are still
    /// connecting.
    pub accepts_jobs: Arc<AtomicBool>,
}

/// Signals to the coroutine of one request, read by it at each step.
pub(crate) struct RequestControl {
    /// The attempt is given up.
    given_up: AtomicBool,
    /// The worker was known to hold the job when the attempt was given up.
    accepted: AtomicBool,
    /// The cancel is repeated until the worker answers it.
    until_confirmed: AtomicBool,
    /// Nobody waits for the job's answer any more: a request that is not fully sent must not be completed.
    answer_unwanted: AtomicBool,
    /// Of a delivery attempt: whether its worker accepts jobs. `None` for cancels and probes, which also go
    /// to draining workers.
    accepts_jobs: Option<Arc<AtomicBool>>,
    /// Closes the connection and ends the wait for the response.
    cut: CancelToken,
    /// Clock time (bits of an `f64`, ms) by which a reachable worker has answered. Infinite until there is a
    /// connection: waiting for a descriptor or for the connect says nothing about the worker.
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
            cut: CancelToken::default(),
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

    /// Whether the first byte of the request may be sent. Checked once, right before it, because a long wait
    /// for a descriptor or a connection may lie between the module's choice and the send. Whether a send
    /// comes before a drain or a ban is decided by this moment.
    pub(crate) fn may_begin(&self) -> bool {
        self.may_finish()
            && self.accepts_jobs.as_ref().is_none_or(|accepts_jobs| accepts_jobs.load(Ordering::Acquire))
    }

    /// Whether the last byte of the request may be sent; the worker cannot run the job before that. Unlike
    /// [`RequestControl::may_begin`], a drain or a ban does not matter any more.
    pub(crate) fn may_finish(&self) -> bool {
        !self.is_given_up() && !self.answer_unwanted.load(Ordering::Acquire)
    }

    /// The job is answered or its client has gone.
    pub(crate) fn mark_answer_unwanted(&self) {
        self.answer_unwanted.store(true, Ordering::Release);
    }

    fn set_answer_deadline(&self, deadline: f64) {
        self.answer_deadline.store(deadline.to_bits(), Ordering::Release);
    }

    fn answer_deadline(&self) -> f64 {
        f64::from_bits(self.answer_deadline.load(Ordering::Acquire))
    }

    /// Gives the attempt up; `accepted`: the worker is known to hold the job.
    pub(crate) fn give_up(&self, accepted: bool) {
        self.accepted.store(accepted, Ordering::Release);
        self.given_up.store(true, Ordering::Release);
    }
}

/// What the coroutines of all requests share.
struct Shared {
    pool: Pool,
    /// Delivery attempts without a response so far.
    unanswered: Mutex<HashMap<AttemptId, Arc<RequestControl>>>,
    exchange: Exchange,
    counters: Arc<Counters>,
    clock: Clock,
}

/// Sends requests to workers for [`Dispatch`](crate::dispatch::Dispatch); the results come as messages
/// through the exchange.
pub trait WorkerTransport {
    /// Starts a delivery attempt, to be answered by `expires_at` (clock time, ms). `Message::Accepted` or
    /// `Message::Ended` follows.
    fn deliver(&self, attempt: AttemptId, worker: WorkerEndpoint, job: Arc<Job>, expires_at: f64);

    /// Gives an attempt up. If the worker has accepted the job, it gets a cancel request. A 202 that may be
    /// under way is waited for during `cancel_grace`, because closing the connection at once would cost both
    /// sides a new one. `accepted`: the worker is known to hold the job, by a 202 or by a call-back, which
    /// may come before the 202. `Message::CancelFinished` follows in all cases.
    ///
    /// `until_confirmed`: `CancelFinished` follows only when the worker has answered the cancel or the job's
    /// deadline has passed; until then the cancel is repeated.
    fn cancel(
        &self,
        attempt: AttemptId,
        worker: WorkerEndpoint,
        job: Arc<Job>,
        accepted: bool,
        until_confirmed: bool,
    );

    /// The job is answered or its client has gone: the attempt ends as not sent unless its last byte has been
    /// written. This is no cancel, which a site may forbid, because the worker has not received the job.
    fn withhold_unsent(&self, attempt: AttemptId);

    /// Checks a worker's health; `Message::Probed` follows.
    fn probe(&self, worker: WorkerEndpoint);

    /// Closes the idle connections to a worker.
    fn close_idle(&self, worker: WorkerId);

    /// Applies reloaded settings: how long a connect may take and how long a connection may stand idle (ms).
    fn set_timeouts(&self, connect_timeout: f64, conn_idle: f64);

    /// Leaves a part of the connection budget to the other process of an upgrade. Returns how many
    /// connections this process keeps for itself.
    fn share_connections(&self) -> usize;

    /// Closes connections that have stood idle for too long; called at intervals.
    fn close_stale(&self);

    /// Ends requests whose answer is overdue; called at intervals. Otherwise a machine that went silent would
    /// hold the job until its deadline and the descriptor for ever.
    fn abort_overdue(&self);
}

/// The transport to workers that speak HTTP/1.1.
#[derive(Clone)]
pub struct HttpTransport(Arc<Shared>);

impl HttpTransport {
    /// `peer_process` knows how many of the connections the other process of an upgrade may hold.
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
                    control.cut.cancel();
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
                control.cut.cancel();
            }
        }
    }
}

pub use pool::ConnectionLimits;

#[cfg(test)]
mod tests;
