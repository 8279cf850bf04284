//! Replication to the receivers: the successor in the chain, learners of the tail, or nodes that catch up before the
//! next view.

use millrudder_clock::Instant;
use millrudder_view::NodeId;

use super::Replica;
use crate::replication_progress::ReplicationProgress;
use crate::{AppendBatch, CoreMessage, Entry, Machine, Position, Sequence};

/// Bytes of entries that may be in flight to one node; a single larger entry is sent alone.
const MAX_BYTES_IN_FLIGHT: usize = 1 << 20;

impl<M: Machine> Replica<M> {
    /// How many commands a learner is behind the commit point. `None` if it needs a snapshot, or lacks more bytes of
    /// commands than may be in flight: if it were admitted, commits of the chain would have to wait for it.
    pub(crate) fn learner_lag(&self, learner: NodeId) -> Option<u64> {
        let progress = self.progress.get(&learner)?;
        let is_in_log = progress.transfer().is_none() && self.store.log().contains(progress.acked());
        let bytes = self.bytes_between(progress.acked().sequence, self.committed());
        let is_close = is_in_log && bytes <= MAX_BYTES_IN_FLIGHT;
        is_close.then(|| self.committed().0.saturating_sub(progress.acked().sequence.0))
    }

    /// Sends an empty batch to a receiver that does not know that it has caught up, for example after a restart, so
    /// that it learns where the log ends.
    pub(crate) fn confirm_caught_up(&mut self, to: NodeId) {
        let in_chain = self.catch_up.is_caught_up()
            && !self.is_sealed()
            && self.view.successor(self.local_id) == Some(to);
        let is_ahead_of_view = self.is_catching_up_targets() && self.seal.is_target(to);
        if self.progress.contains_key(&to) && (in_chain || is_ahead_of_view) {
            let progress = self.progress[&to];
            if self.store.log().contains(progress.acked()) {
                self.send_batch(to, progress.acked(), Vec::new());
            }
        }
    }

    /// Whether this node sends commands to `to`.
    pub(super) fn is_sender_to(&self, to: NodeId) -> bool {
        if self.is_sealed() {
            return self.seal.is_target(to);
        }
        if self.is_tail() {
            return !self.view.is_member(to);
        }
        self.view.successor(self.local_id) == Some(to)
    }

    /// Sends each receiver the entries or snapshot chunks that it lacks.
    pub(super) fn replicate_to_all(&mut self, now: Instant) {
        if !self.catch_up.is_caught_up() && !self.is_catching_up_targets() {
            return;
        }
        let receivers: Vec<NodeId> = self.progress.keys().copied().collect();
        for id in receivers {
            self.replicate_to(now, id);
        }
        self.retain_for_receivers();
    }

    /// Retains the commands that receivers still lack, within the retention limit of the store.
    fn retain_for_receivers(&mut self) {
        let bases = self.progress.values().map(ReplicationProgress::end_after_transfer);
        let reachable = bases.filter(|base| self.store.log().contains(*base));
        let needed_after = reachable.map(|base| base.sequence).min();
        self.store.retain_after(needed_after);
    }

    /// Sends what a receiver lacks: a snapshot if this node's log does not contain the end of the receiver's log,
    /// otherwise commands.
    fn replicate_to(&mut self, now: Instant, to: NodeId) {
        let Some(mut progress) = self.progress.get(&to).copied() else {
            return;
        };
        if progress.is_idle() {
            progress.restart_retry_timeout(now);
            if !self.store.log().contains(progress.acked()) {
                self.begin_transfer(&mut progress);
            }
        }
        match progress.transfer() {
            Some(_) => self.send_chunks(to, &mut progress),
            None => self.send_entries(to, &mut progress),
        }
        self.progress.insert(to, progress);
    }

    fn send_entries(&mut self, to: NodeId, progress: &mut ReplicationProgress) {
        let only_committed = self.is_tail() && !self.is_sealed();
        let limit = if only_committed { self.committed() } else { self.end().sequence };
        let mut in_flight = self.bytes_between(progress.acked().sequence, progress.sent());
        while progress.sent() < limit && in_flight < MAX_BYTES_IN_FLIGHT {
            let Some(previous) = self.store.log().position_at(progress.sent()) else {
                return;
            };
            let entries = self.batch_after(progress.sent(), limit);
            let Some(last) = entries.last() else {
                return;
            };
            progress.record_sent(last.position.sequence, self.committed());
            in_flight += entries.iter().map(Entry::encoded_bytes).sum::<usize>();
            self.send_batch(to, previous, entries);
        }
        let is_commit_point_new = only_committed && progress.committed_sent() < self.committed();
        if let (true, Some(previous)) = (is_commit_point_new, self.store.log().position_at(progress.sent())) {
            progress.record_committed_sent(self.committed());
            self.send_batch(to, previous, Vec::new());
        }
    }

    /// Bytes of the entries after `after` up to `through`.
    fn bytes_between(&self, after: Sequence, through: Sequence) -> usize {
        let entries = self.store.log().entries_after(after);
        let entries = entries.take_while(|entry| entry.position.sequence <= through);
        entries.map(Entry::encoded_bytes).sum()
    }

    fn batch_after(&self, sequence: Sequence, limit: Sequence) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.store.log().entries_after(sequence) {
            bytes += entry.encoded_bytes();
            let is_full = !entries.is_empty() && bytes > self.limits.batch_bytes;
            if is_full || entry.position.sequence > limit {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    fn send_batch(&mut self, to: NodeId, previous: Position, entries: Vec<Entry>) {
        let batch = AppendBatch {
            epoch: self.epoch(),
            previous,
            entries,
            committed: self.committed(),
            complete_at: self.complete_at(),
            sealed: self.is_sealed(),
        };
        self.send(to, CoreMessage::Append(batch));
    }
}
