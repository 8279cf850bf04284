//! Persisting new entries, tracking completeness, and committing commands.

use millrudder_clock::Instant;

use super::{DurableWatermark, Replica, ReplicaOutput};
use crate::store::Applied;
use crate::{CoreMessage, Entry, Machine, Record, Sequence};

impl<M: Machine> Replica<M> {
    /// Handles the notification that the record of `watermark` is durable.
    pub(crate) fn handle_durable(&mut self, now: Instant, watermark: DurableWatermark) {
        if !self.durability.handle_durable(watermark) {
            return;
        }
        self.check_caught_up(now);
        self.commit_at_tail(now);
        self.replicate_to_all(now);
    }

    /// Persists new entries, and marks the replica complete once the log reaches `complete_at`.
    pub(super) fn record_entries(&mut self, now: Instant, new_entries: Vec<Entry>, complete_at: Sequence) {
        let is_sealed = self.is_sealed();
        self.catch_up.set_target((self.is_member() && !is_sealed).then_some(complete_at));
        let reached = (self.is_member() || is_sealed) && self.end().sequence >= complete_at;
        if reached && !self.durability.is_complete() {
            return self.mark_complete(new_entries);
        }
        if new_entries.is_empty() {
            return self.check_caught_up(now);
        }
        self.persist_entries(new_entries);
    }

    pub(super) fn mark_complete(&mut self, new_entries: Vec<Entry>) {
        if self.durability.is_complete() {
            return;
        }
        self.durability.set_complete();
        self.persist_entries(new_entries);
    }

    pub(super) fn check_caught_up(&mut self, now: Instant) {
        let is_reached = self.catch_up.is_target_durable(self.durability.durable_through());
        if is_reached && !self.catch_up.is_caught_up() && !self.is_sealed() {
            self.mark_caught_up(now);
        }
    }

    pub(super) fn mark_caught_up(&mut self, now: Instant) {
        self.catch_up.set_caught_up(self.end().sequence);
        self.commit_at_tail(now);
    }

    pub(super) fn persist_entries(&mut self, entries: Vec<Entry>) {
        let committed = self.committed();
        self.persist(Record::Appended { entries, committed, complete: self.durability.is_complete() });
    }

    pub(super) fn persist(&mut self, record: Record) {
        self.outputs.push(ReplicaOutput::Persist(record));
        let watermark = self.durability.watermark(self.end().sequence);
        self.outputs.push(ReplicaOutput::WhenDurable(watermark));
    }

    /// Commits at the tail: a command that is durable there is durable at every member.
    pub(super) fn commit_at_tail(&mut self, now: Instant) {
        if self.is_tail() && self.catch_up.is_caught_up() && !self.is_sealed() {
            self.commit(now, self.durability.durable_through());
        }
    }

    pub(super) fn commit(&mut self, now: Instant, sequence: Sequence) {
        let applied = self.store.commit(sequence);
        if applied.is_empty() {
            return;
        }
        for applied in applied {
            self.pending.remove(&applied.request_id);
            self.reply(&applied);
            self.outputs.push(ReplicaOutput::Applied(applied));
        }
        if let Some(predecessor) = self.view.predecessor(self.local_id) {
            self.acknowledge(predecessor);
        }
        self.replicate_to_all(now);
    }

    /// On the tail, sends the reply to the node at which the command was submitted.
    fn reply(&mut self, applied: &Applied<M>) {
        if self.is_tail() && applied.origin != self.local_id {
            let reply = applied.encoded_reply.clone();
            self.send(applied.origin, CoreMessage::Reply { request_id: applied.request_id, reply });
        }
    }
}
