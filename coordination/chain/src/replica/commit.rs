//! What is durable, complete and committed.

use super::{DurableMark, Replica, ReplicaOutput};
use crate::store::Applied;
use crate::{CoreMessage, Entry, Machine, Record, Sequence};

impl<M: Machine> Replica<M> {
    /// Everything up to `mark` is durable here.
    pub(crate) fn durable(&mut self, now: u64, mark: DurableMark) {
        if mark.generation != self.generation {
            return;
        }
        self.persisted = self.persisted.max(mark.sequence);
        self.complete_on_disk |= mark.complete;
        self.check_synced(now);
        self.commit_at_tail(now);
        self.feed_all(now);
    }

    /// Records new entries, and notes completeness once the log reaches `complete_at`.
    pub(super) fn reach(&mut self, now: u64, fresh: Vec<Entry>, complete_at: Sequence) {
        let is_sealed = self.is_sealed();
        self.sync_target = (self.is_member() && !is_sealed).then_some(complete_at);
        let reached = (self.is_member() || is_sealed) && self.end().sequence >= complete_at;
        if reached && !self.complete {
            return self.become_complete(fresh);
        }
        if fresh.is_empty() {
            return self.check_synced(now);
        }
        self.persist_entries(fresh);
    }

    pub(super) fn become_complete(&mut self, fresh: Vec<Entry>) {
        if self.complete {
            return;
        }
        self.complete = true;
        self.persist_entries(fresh);
    }

    pub(super) fn check_synced(&mut self, now: u64) {
        let reached = self.sync_target.is_some_and(|target| self.persisted >= target);
        if reached && !self.synced && !self.is_sealed() {
            self.become_synced(now);
        }
    }

    pub(super) fn become_synced(&mut self, now: u64) {
        self.synced = true;
        self.complete_at = self.end().sequence;
        self.commit_at_tail(now);
    }

    pub(super) fn persist_entries(&mut self, entries: Vec<Entry>) {
        let committed = self.committed();
        self.persist(Record::Appended { entries, committed, complete: self.complete });
    }

    pub(super) fn persist(&mut self, record: Record) {
        self.outputs.push(ReplicaOutput::Persist(record));
        let sequence = self.end().sequence;
        let mark = DurableMark { sequence, generation: self.generation, complete: self.complete };
        self.outputs.push(ReplicaOutput::WhenDurable(mark));
    }

    /// At the tail a durable command is durable at every member.
    pub(super) fn commit_at_tail(&mut self, now: u64) {
        if self.is_tail() && self.synced && !self.is_sealed() {
            self.commit(now, self.persisted);
        }
    }

    pub(super) fn commit(&mut self, now: u64, sequence: Sequence) {
        let applied = self.store.commit(sequence);
        if applied.is_empty() {
            return;
        }
        for applied in applied {
            self.pending.remove(&applied.request_id);
            self.answer(&applied);
            self.outputs.push(ReplicaOutput::Applied(applied));
        }
        if let Some(predecessor) = self.view.predecessor(self.me) {
            self.acknowledge(predecessor);
        }
        self.feed_all(now);
    }

    /// The tail answers the node at which the command was submitted.
    fn answer(&mut self, applied: &Applied<M>) {
        if self.is_tail() && applied.origin != self.me {
            let reply = applied.encoded_reply.clone();
            self.send(applied.origin, CoreMessage::Answer { request_id: applied.request_id, reply });
        }
    }
}
