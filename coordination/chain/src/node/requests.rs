//! Commands and reads submitted at this node, and the confirmation of reads at the tail.

use std::collections::BTreeMap;
use std::time::Duration;

use millrudder_clock::Instant;
use millrudder_view::Epoch;
use speedy::{Readable, Writable};

use super::{CoreNode, Output};
use crate::read_confirmation::ReadIndexRequest;
use crate::store::Applied;
use crate::{CoreMessage, Machine, NodeId, RequestId, Sequence};

/// A command submitted at this node that has no reply yet.
#[derive(Clone, Debug)]
struct PendingSubmit {
    command: Vec<u8>,
    sent_at: Instant,
}

/// A read submitted at this node that cannot be served yet.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    read_index: Option<Sequence>,
    sent_at: Instant,
}

/// An encoded command to be resent.
pub(super) struct SubmitRetry {
    request_id: RequestId,
    command: Vec<u8>,
}

/// Requests to be resent.
pub(super) struct Retries {
    submits: Vec<SubmitRetry>,
    reads: Vec<RequestId>,
}

/// Unanswered commands and reads that were submitted at this node.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingRequests {
    submits: BTreeMap<RequestId, PendingSubmit>,
    reads: BTreeMap<RequestId, PendingRead>,
}

impl PendingRequests {
    fn add_submit(&mut self, now: Instant, request_id: RequestId, command: Vec<u8>) {
        self.submits.insert(request_id, PendingSubmit { command, sent_at: now });
    }

    fn add_read(&mut self, now: Instant, request_id: RequestId) {
        self.reads.insert(request_id, PendingRead { read_index: None, sent_at: now });
    }

    fn abandon(&mut self, request_id: RequestId) {
        self.submits.remove(&request_id);
        self.reads.remove(&request_id);
    }

    /// Removes a command whose reply is known. Returns whether it was pending.
    fn complete_submit(&mut self, request_id: RequestId) -> bool {
        self.submits.remove(&request_id).is_some()
    }

    fn set_read_index(&mut self, request_id: RequestId, sequence: Sequence) {
        if let Some(read) = self.reads.get_mut(&request_id) {
            read.read_index.get_or_insert(sequence);
        }
    }

    /// Removes and returns the reads whose read index is applied.
    fn take_ready_reads(&mut self, committed: Sequence) -> Vec<RequestId> {
        let is_ready = |read: &PendingRead| read.read_index.is_some_and(|index| index <= committed);
        let ready: Vec<RequestId> =
            self.reads.iter().filter(|(_, read)| is_ready(read)).map(|(id, _)| *id).collect();
        for request_id in &ready {
            self.reads.remove(request_id);
        }
        ready
    }

    /// Returns the unanswered requests last sent at least `retry_after` ago, and marks them as sent now.
    fn take_retries(&mut self, now: Instant, retry_after: Duration) -> Retries {
        let is_due = |sent_at: Instant| now - sent_at >= retry_after;
        let mut submits = Vec::new();
        for (request_id, submit) in self.submits.iter_mut().filter(|(_, submit)| is_due(submit.sent_at)) {
            submit.sent_at = now;
            submits.push(SubmitRetry { request_id: *request_id, command: submit.command.clone() });
        }
        let mut reads = Vec::new();
        let unanswered = self.reads.iter_mut().filter(|(_, read)| read.read_index.is_none());
        for (request_id, read) in unanswered.filter(|(_, read)| is_due(read.sent_at)) {
            read.sent_at = now;
            reads.push(*request_id);
        }
        Retries { submits, reads }
    }
}

impl<M: Machine> CoreNode<M> {
    pub(super) fn handle_submit(&mut self, now: Instant, request_id: RequestId, command: &M::Command) {
        let Ok(command) = command.write_to_vec() else {
            return;
        };
        self.requests.add_submit(now, request_id, command.clone());
        self.send_to_head(now, request_id, command);
    }

    pub(super) fn handle_read(&mut self, now: Instant, request_id: RequestId) {
        self.requests.add_read(now, request_id);
        self.request_read_index(request_id);
    }

    pub(super) fn handle_abandon(&mut self, request_id: RequestId) {
        self.requests.abandon(request_id);
    }

    /// Resends requests and read confirmations that have not been answered in time.
    pub(super) fn retry_requests(&mut self, now: Instant) {
        let retries = self.requests.take_retries(now, self.config.retry_after);
        self.resend(now, retries);
        self.request_confirmation();
    }

    /// Resends every unanswered request to the head or tail of a new view.
    pub(super) fn restart_requests(&mut self, now: Instant) {
        self.read_confirmations.reset();
        let retries = self.requests.take_retries(now, Duration::ZERO);
        self.resend(now, retries);
    }

    fn resend(&mut self, now: Instant, retries: Retries) {
        for SubmitRetry { request_id, command } in retries.submits {
            self.send_to_head(now, request_id, command);
        }
        for request_id in retries.reads {
            self.request_read_index(request_id);
        }
    }

    fn send_to_head(&mut self, now: Instant, request_id: RequestId, command: Vec<u8>) {
        match self.agreement.view().and_then(|view| view.head()) {
            // The disk has stalled; the retry timer submits the command again.
            Some(head) if head == self.id && self.outbox.is_full() => {}
            Some(head) if head == self.id => {
                self.replica.submit(now, self.id, request_id, command);
            }
            Some(head) => self.send_immediately(head, CoreMessage::Submit { request_id, command }),
            None => {}
        }
    }

    fn request_read_index(&mut self, request_id: RequestId) {
        let epoch = self.agreement.epoch();
        if let Some(tail) = self.agreement.view().and_then(|view| view.tail()) {
            self.send_immediately(tail, CoreMessage::ReadIndex { epoch, request_id });
        }
    }

    pub(super) fn handle_applied(&mut self, applied: Applied<M>) {
        let Applied { sequence, request_id, command, reply, .. } = applied;
        if self.requests.complete_submit(request_id) {
            self.outbox.push(Output::Reply { request_id, reply: reply.clone() });
        }
        self.outbox.push(Output::Committed { sequence, request_id, command, reply });
    }

    pub(super) fn handle_reply(&mut self, request_id: RequestId, reply: &[u8]) {
        let Ok(reply) = M::Reply::read_from_buffer(reply) else {
            return;
        };
        if self.requests.complete_submit(request_id) {
            self.outbox.push(Output::Reply { request_id, reply });
        }
    }

    /// Handles a request for a read index; only the tail answers it.
    pub(super) fn handle_read_index(&mut self, request: ReadIndexRequest) {
        if self.replica.is_tail() && self.replica.is_caught_up() {
            self.read_confirmations.add(request);
            self.start_confirmation();
        }
    }

    fn start_confirmation(&mut self) {
        if self.read_confirmations.start(self.replica.committed()).is_some() {
            self.request_confirmation();
        }
    }

    /// Asks all voters, including this node if it is one, whether the epoch is current.
    fn request_confirmation(&mut self) {
        let Some(attempt) = self.read_confirmations.in_flight() else {
            return;
        };
        let epoch = self.agreement.epoch();
        for to in self.voters() {
            self.send_immediately(to, CoreMessage::ConfirmEpoch { epoch, attempt });
        }
    }

    pub(super) fn handle_confirm_epoch(&mut self, from: NodeId, epoch: Epoch, attempt: u64) {
        if self.confirms_epoch() {
            self.send_immediately(from, CoreMessage::EpochConfirmed { epoch, attempt });
        }
    }

    pub(super) fn handle_epoch_confirmed(&mut self, from: NodeId, attempt: u64) {
        let Some(majority) = self.agreement.view().map(|view| view.majority()) else {
            return;
        };
        let Some(confirmed) = self.read_confirmations.handle_confirmation(from, attempt, majority) else {
            return;
        };
        let sequence = confirmed.sequence;
        for ReadIndexRequest { origin, request_id } in confirmed.requests {
            self.send_immediately(origin, CoreMessage::ReadIndexed { request_id, sequence });
        }
        self.start_confirmation();
    }

    pub(super) fn handle_read_indexed(&mut self, request_id: RequestId, sequence: Sequence) {
        self.requests.set_read_index(request_id, sequence);
    }

    /// Reports the reads whose read index this node has applied.
    pub(super) fn report_ready_reads(&mut self) {
        for request_id in self.requests.take_ready_reads(self.replica.committed()) {
            self.outbox.push(Output::ReadReady { request_id });
        }
    }
}
