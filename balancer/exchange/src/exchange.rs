//! The exchange: the queue through which fronts, workers' call-backs, discovery and operators reach the dispatch coroutine.

use crate::job::{Answer, Job, Reply, Ticket};
use crate::message::Message;
use crate::operator_order::{Order, OrderHandle};
use crate::peer_process::PeerRequest;
use may::sync::mpsc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{RecvError, RecvTimeoutError, TryRecvError};
use std::sync::Arc;
use std::time::Duration;

/// The meeting point: every side holds a copy of it and puts messages in; dispatch takes them out.
#[derive(Clone)]
pub struct Exchange {
    inbox: mpsc::Sender<Message>,
    urgent: mpsc::Sender<Message>,
    tickets: Arc<AtomicU64>,
    /// Dispatch has ended, or is about to.
    ended: Arc<AtomicBool>,
}

impl Exchange {
    /// An exchange, and the end at which the dispatch coroutine takes messages out.
    pub fn new() -> (Self, Inbox) {
        let ((inbox, outlet), (urgent, first)) = (mpsc::channel(), mpsc::channel());
        let ended = Arc::new(AtomicBool::new(false));
        let tickets = Arc::new(AtomicU64::new(0));
        (Exchange { inbox, urgent, tickets, ended: ended.clone() }, Inbox { outlet, first, ended })
    }

    /// The answer comes by `reply`, also where dispatch ends at this moment: then the job is deferred.
    pub fn submit(&self, job: Job, reply: Reply) -> Ticket {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        self.send(Message::Submitted { ticket, job: Arc::new(job), reply: reply.clone() });
        // Put in after dispatch looked for the last time, it sees this; before that, dispatch sees the job.
        if self.ended.load(Ordering::SeqCst) {
            reply.give(Answer::Defer { retry_after: None });
        }
        ticket
    }

    /// The client is gone: nothing is owed for this job any more.
    pub fn withdraw(&self, ticket: Ticket) {
        self.send(Message::Withdrawn { ticket });
    }

    /// Goes before all that waits: operators are owed an answer under any load.
    pub fn order(&self, order: Order) -> OrderHandle {
        let (asked, awaited) = OrderHandle::new(order);
        self.urge(Message::Ordered(asked));
        awaited
    }

    /// As orders do.
    pub fn ask(&self, request: PeerRequest) {
        self.urge(Message::PeerRequest(request));
    }

    fn urge(&self, message: Message) {
        let _ = self.urgent.send(message);
        self.send(Message::WakeUp);
    }

    /// Puts a message in.
    pub fn send(&self, message: Message) {
        // Fails only once dispatch has ended, when nobody is left to act on it.
        let _ = self.inbox.send(message);
    }
}

/// Where dispatch takes messages out, orders first. Jobs that are in it when it is dropped are deferred.
pub struct Inbox {
    outlet: mpsc::Receiver<Message>,
    first: mpsc::Receiver<Message>,
    ended: Arc<AtomicBool>,
}

impl Drop for Inbox {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        while let Ok(message) = self.try_recv() {
            if let Message::Submitted { reply, .. } = message {
                reply.give(Answer::Defer { retry_after: None });
            }
        }
    }
}

impl Inbox {
    /// Waits for the next message.
    ///
    /// # Errors
    /// Nobody can put messages in any more.
    pub fn recv(&self) -> Result<Message, RecvError> {
        self.next(|| self.outlet.recv())
    }

    /// Waits for the next message for `timeout` at most.
    ///
    /// # Errors
    /// None came in time, or nobody can put messages in any more.
    pub fn recv_timeout(&self, timeout: Duration) -> Result<Message, RecvTimeoutError> {
        self.next(|| self.outlet.recv_timeout(timeout))
    }

    /// The next message, if there is one.
    ///
    /// # Errors
    /// There is none, or nobody can put messages in any more.
    pub fn try_recv(&self) -> Result<Message, TryRecvError> {
        self.next(|| self.outlet.try_recv())
    }

    fn next<E>(&self, take: impl Fn() -> Result<Message, E>) -> Result<Message, E> {
        loop {
            if let Ok(order) = self.first.try_recv() {
                return Ok(order);
            }
            match take()? {
                Message::WakeUp => {}
                message => return Ok(message),
            }
        }
    }
}

#[cfg(test)]
mod tests;
