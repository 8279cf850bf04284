//! The message queue of the dispatch coroutine, with an urgent queue beside it. Fronts, the worker transport, the
//! discovery client and operators send to it.

use crate::job::{Answer, Job, Reply, Ticket};
use crate::message::Message;
use crate::operator_order::{Order, OrderHandle};
use crate::peer_process::PeerRequest;
use may::sync::mpsc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{RecvError, RecvTimeoutError, TryRecvError};
use std::sync::Arc;
use std::time::Duration;

/// The sending side of the dispatch coroutine's queue; clones send to the same queue.
#[derive(Clone)]
pub struct Exchange {
    inbox: mpsc::Sender<Message>,
    urgent: mpsc::Sender<Message>,
    tickets: Arc<AtomicU64>,
    /// Set when the [`Inbox`] is dropped: no message is read after that.
    ended: Arc<AtomicBool>,
}

impl Exchange {
    /// The sending and the receiving side of a new queue.
    pub fn new() -> (Self, Inbox) {
        let ((inbox, messages), (urgent, urgent_messages)) = (mpsc::channel(), mpsc::channel());
        let ended = Arc::new(AtomicBool::new(false));
        let tickets = Arc::new(AtomicU64::new(0));
        let exchange = Exchange { inbox, urgent, tickets, ended: ended.clone() };
        (exchange, Inbox { messages, urgent_messages, ended })
    }

    /// Submits a job. The answer comes through `reply`; if dispatch has ended or ends meanwhile, it is
    /// [`Answer::Defer`].
    pub fn submit(&self, job: Job, reply: Reply) -> Ticket {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        self.send(Message::Submitted { ticket, job: Arc::new(job), reply: reply.clone() });
        // `Inbox::drop` sets `ended` before it drains the queue, and here the job is sent before `ended` is
        // read. So either the drain finds the job, or this load sees the flag.
        if self.ended.load(Ordering::SeqCst) {
            reply.give(Answer::Defer { retry_after: None });
        }
        ticket
    }

    /// Reports that the client has disconnected or cancelled: the job needs no answer any more.
    pub fn withdraw(&self, ticket: Ticket) {
        self.send(Message::Withdrawn { ticket });
    }

    /// Sends an operator's order through the urgent queue, because operators must get an answer under any load.
    pub fn order(&self, order: Order) -> OrderHandle {
        let (pending, handle) = OrderHandle::new(order);
        self.send_urgent(Message::Ordered(pending));
        handle
    }

    /// Sends a request of the other process of an upgrade, through the urgent queue as well.
    pub fn ask(&self, request: PeerRequest) {
        self.send_urgent(Message::PeerRequest(request));
    }

    fn send_urgent(&self, message: Message) {
        let _ = self.urgent.send(message);
        self.send(Message::WakeUp);
    }

    /// Sends an ordinary message.
    pub fn send(&self, message: Message) {
        // Fails only after dispatch has ended, when no receiver is left.
        let _ = self.inbox.send(message);
    }
}

/// The receiving side: returns urgent messages before ordinary ones. When it is dropped, the jobs left in the
/// queue are answered with [`Answer::Defer`].
pub struct Inbox {
    messages: mpsc::Receiver<Message>,
    urgent_messages: mpsc::Receiver<Message>,
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
    /// All senders have been dropped.
    pub fn recv(&self) -> Result<Message, RecvError> {
        self.next(|| self.messages.recv())
    }

    /// Waits for the next message for `timeout` at most.
    ///
    /// # Errors
    /// None came in time, or all senders have been dropped.
    pub fn recv_timeout(&self, timeout: Duration) -> Result<Message, RecvTimeoutError> {
        self.next(|| self.messages.recv_timeout(timeout))
    }

    /// Returns the next message without waiting.
    ///
    /// # Errors
    /// There is none, or all senders have been dropped.
    pub fn try_recv(&self) -> Result<Message, TryRecvError> {
        self.next(|| self.messages.try_recv())
    }

    fn next<E>(&self, take: impl Fn() -> Result<Message, E>) -> Result<Message, E> {
        loop {
            if let Ok(urgent) = self.urgent_messages.try_recv() {
                return Ok(urgent);
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
