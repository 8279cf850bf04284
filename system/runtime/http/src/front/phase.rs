//! The phase of a server's connection, and its deadline.

use std::cell::{Cell, RefCell};
use std::task::Waker;
use std::time::Duration;

use tokio::time::Instant;

use super::framing::Framing;
use super::limits::RequestLimits;
use crate::watched::Observer;

/// How much longer than `body_timeout` a connection may stay in [`Phase::Body`]: the 408 is sent first.
const BODY_SLACK: Duration = Duration::from_secs(1);

/// The phase of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Nothing of a next request has been received.
    Idle,
    /// The head of a request is being received.
    Head,
    /// The body of a request is being received.
    Body,
    /// The handler is executing.
    Handling,
    /// The response is being written.
    Answering,
}

/// The state of one connection, shared by its stream, its service and the registry.
#[derive(Debug)]
pub(super) struct ConnectionState {
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// Bytes written to the connection, and how many of them before the present response.
    written: Cell<u64>,
    written_before: Cell<u64>,
    framing: RefCell<Framing>,
    /// Requests that hyper has given to the service.
    requests: Cell<u64>,
    close: Cell<bool>,
    /// The handler is not waited for any longer.
    is_abandoned: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl ConnectionState {
    pub(super) fn new(now: Instant) -> ConnectionState {
        ConnectionState {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(now),
            written: Cell::new(0),
            written_before: Cell::new(0),
            framing: RefCell::new(Framing::new()),
            requests: Cell::new(0),
            close: Cell::new(false),
            is_abandoned: Cell::new(false),
            waker: RefCell::new(None),
        }
    }

    pub(super) fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
        match phase {
            Phase::Body => self.requests.set(self.requests.get() + 1),
            Phase::Answering => self.written_before.set(self.written.get()),
            Phase::Idle | Phase::Head | Phase::Handling => {}
        }
    }

    /// Since when the connection has had no request; `None` while it has one.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        (self.phase.get() == Phase::Idle).then(|| self.since.get())
    }

    /// Whether a request was ever read on the connection.
    pub(super) fn is_used(&self) -> bool {
        self.requests.get() > 0
    }

    /// Whether the present request can be framed in two ways, as far as it has been received.
    pub(super) fn is_ambiguous(&self) -> bool {
        let present = self.requests.get().saturating_sub(1);
        self.framing.borrow().is_ambiguous(present)
    }

    /// When the present phase must be over; none while the handler is executing.
    pub(super) fn deadline(&self, limits: &RequestLimits, answer_timeout: Duration) -> Option<Instant> {
        let allowed = match self.phase.get() {
            Phase::Idle => limits.idle_timeout,
            Phase::Head => limits.header_timeout,
            Phase::Body => limits.body_timeout + BODY_SLACK,
            Phase::Handling => return None,
            Phase::Answering => answer_timeout,
        };
        Some(self.since.get() + allowed)
    }

    /// Has the connection's task close it.
    pub(super) fn close(&self) {
        self.close.set(true);
        self.wake();
    }

    /// Abandons the handler, so that its request is answered without it.
    pub(super) fn abandon(&self) {
        self.is_abandoned.set(true);
        self.wake();
    }

    pub(super) fn is_abandoned(&self) -> bool {
        self.is_abandoned.get()
    }

    pub(super) fn must_close(&self) -> bool {
        self.close.get()
    }

    /// Has the connection's task check the state again.
    pub(super) fn wake(&self) {
        if let Some(waker) = self.waker.borrow().as_ref() {
            waker.wake_by_ref();
        }
    }

    /// Stores the waker of the connection's task.
    pub(super) fn register(&self, waker: &Waker) {
        let mut present = self.waker.borrow_mut();
        match present.as_mut() {
            Some(present) => present.clone_from(waker),
            None => *present = Some(waker.clone()),
        }
    }
}

impl Observer for ConnectionState {
    fn on_read(&self, bytes: &[u8]) {
        if !bytes.is_empty() && self.phase.get() == Phase::Idle {
            self.enter(Phase::Head);
        }
        self.framing.borrow_mut().read(bytes);
    }

    fn on_written(&self, count: usize) {
        self.written.set(self.written.get() + count as u64);
    }

    fn on_flushed(&self) {
        if self.phase.get() == Phase::Answering && self.written.get() > self.written_before.get() {
            self.enter(Phase::Idle);
        }
    }
}
