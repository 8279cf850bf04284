//! Commands and reads submitted at this node, and the tail's part in reads.

use millrudder_view::Epoch;
use speedy::{Readable, Writable};

use super::{CoreNode, Output};
use crate::read_confirmation::Reader;
use crate::store::Applied;
use crate::{CoreMessage, Machine, NodeId, RequestId, Sequence};

/// A command submitted here that is not answered yet.
#[derive(Clone, Debug)]
pub(super) struct PendingSubmit {
    command: Vec<u8>,
    sent_at: u64,
}

/// A read submitted here that is not ready yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    sequence: Option<Sequence>,
    sent_at: u64,
}

impl<M: Machine> CoreNode<M> {
    pub(super) fn on_submit(&mut self, now: u64, request_id: RequestId, command: &M::Command) {
        let Ok(command) = command.write_to_vec() else {
            return;
        };
        self.submits.insert(request_id, PendingSubmit { command: command.clone(), sent_at: now });
        self.route_submit(now, request_id, command);
    }

    pub(super) fn on_read(&mut self, now: u64, request_id: RequestId) {
        self.reads.insert(request_id, PendingRead { sequence: None, sent_at: now });
        self.route_read(request_id);
    }

    pub(super) fn on_abandon(&mut self, request_id: RequestId) {
        self.submits.remove(&request_id);
        self.reads.remove(&request_id);
    }

    /// Sends again what has not been answered for a while.
    pub(super) fn retry_requests(&mut self, now: u64) {
        let retry_after = self.config.retry_after.as_micros() as u64;
        let due = |sent_at: u64| now.saturating_sub(sent_at) >= retry_after;
        let submits = self.submits.iter().filter(|(_, submit)| due(submit.sent_at));
        let submits: Vec<RequestId> = submits.map(|(id, _)| *id).collect();
        let reads = self.reads.iter().filter(|(_, read)| read.sequence.is_none() && due(read.sent_at));
        let reads: Vec<RequestId> = reads.map(|(id, _)| *id).collect();
        self.resend(now, &submits, &reads);
        self.ask_for_confirmation();
    }

    /// Sends everything that is not answered to the head and tail of a new view.
    pub(super) fn restart_requests(&mut self, now: u64) {
        self.confirmations.reset();
        let submits: Vec<RequestId> = self.submits.keys().copied().collect();
        let reads = self.reads.iter().filter(|(_, read)| read.sequence.is_none());
        let reads: Vec<RequestId> = reads.map(|(id, _)| *id).collect();
        self.resend(now, &submits, &reads);
    }

    fn resend(&mut self, now: u64, submits: &[RequestId], reads: &[RequestId]) {
        for request_id in submits {
            if let Some(submit) = self.submits.get_mut(request_id) {
                submit.sent_at = now;
                let command = submit.command.clone();
                self.route_submit(now, *request_id, command);
            }
        }
        for request_id in reads {
            if let Some(read) = self.reads.get_mut(request_id) {
                read.sent_at = now;
                self.route_read(*request_id);
            }
        }
    }

    fn route_submit(&mut self, now: u64, request_id: RequestId, command: Vec<u8>) {
        match self.agreement.view().and_then(|view| view.head()) {
            Some(head) if head == self.id => {
                self.replica.submit(now, self.id, request_id, command);
            }
            Some(head) => self.send_at_once(head, CoreMessage::Submit { request_id, command }),
            None => {}
        }
    }

    fn route_read(&mut self, request_id: RequestId) {
        let epoch = self.agreement.epoch();
        if let Some(tail) = self.agreement.view().and_then(|view| view.tail()) {
            self.send_at_once(tail, CoreMessage::ReadIndex { epoch, request_id });
        }
    }

    pub(super) fn on_applied(&mut self, applied: Applied<M>) {
        let Applied { sequence, request_id, command, reply, .. } = applied;
        if self.submits.remove(&request_id).is_some() {
            self.outbox.push(Output::Reply { request_id, reply: reply.clone() });
        }
        self.outbox.push(Output::Committed { sequence, request_id, command, reply });
    }

    pub(super) fn on_answer(&mut self, request_id: RequestId, reply: &[u8]) {
        let Ok(reply) = M::Reply::read_from_buffer(reply) else {
            return;
        };
        if self.submits.remove(&request_id).is_some() {
            self.outbox.push(Output::Reply { request_id, reply });
        }
    }

    /// A read came to the tail.
    pub(super) fn on_read_index(&mut self, reader: Reader) {
        if self.replica.is_tail() && self.replica.is_synced() {
            self.confirmations.add(reader);
            self.start_confirmation();
        }
    }

    fn start_confirmation(&mut self) {
        if self.confirmations.start(self.replica.committed()).is_some() {
            self.ask_for_confirmation();
        }
    }

    /// Asks the voters, this node included, whether the epoch is current.
    fn ask_for_confirmation(&mut self) {
        let Some(round) = self.confirmations.under_way() else {
            return;
        };
        let epoch = self.agreement.epoch();
        for to in self.voters() {
            self.send_at_once(to, CoreMessage::ConfirmEpoch { epoch, round });
        }
    }

    pub(super) fn on_confirm_epoch(&mut self, from: NodeId, epoch: Epoch, round: u64) {
        if self.may_vouch() {
            self.send_at_once(from, CoreMessage::EpochConfirmed { epoch, round });
        }
    }

    pub(super) fn on_epoch_confirmed(&mut self, from: NodeId, round: u64) {
        let Some(majority) = self.agreement.view().map(|view| view.majority()) else {
            return;
        };
        let Some(confirmed) = self.confirmations.confirm(from, round, majority) else {
            return;
        };
        for reader in confirmed.readers {
            let Reader { origin, request_id } = reader;
            self.send_at_once(origin, CoreMessage::ReadIndexed { request_id, sequence: confirmed.sequence });
        }
        self.start_confirmation();
    }

    pub(super) fn on_read_indexed(&mut self, request_id: RequestId, sequence: Sequence) {
        if let Some(read) = self.reads.get_mut(&request_id) {
            read.sequence.get_or_insert(sequence);
        }
    }

    /// Reports the reads whose commands this node has applied.
    pub(super) fn finish_reads(&mut self) {
        let committed = self.replica.committed();
        let ready = |read: &PendingRead| read.sequence.is_some_and(|sequence| sequence <= committed);
        let finished: Vec<RequestId> =
            self.reads.iter().filter(|(_, read)| ready(read)).map(|(id, _)| *id).collect();
        for request_id in finished {
            self.reads.remove(&request_id);
            self.outbox.push(Output::ReadReady { request_id });
        }
    }
}
