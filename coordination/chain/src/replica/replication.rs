//! Bringing up the next member of the chain, or learners at the tail.

use millrudder_view::NodeId;

use super::Replica;
use crate::replication_progress::Link;
use crate::{AppendBatch, CoreMessage, Entry, Machine, Position, Sequence};

/// Bytes of entries that may be under way to one node; a single larger one goes alone.
const BYTES_IN_FLIGHT: usize = 1 << 20;

impl<M: Machine> Replica<M> {
    /// How far behind the commit point a fed learner is, in commands; `None` if it needs a snapshot, or more bytes of
    /// commands than go out at once. A chain would wait for it that long.
    pub(crate) fn lag_of(&self, learner: NodeId) -> Option<u64> {
        let link = self.links.get(&learner)?;
        let meets = link.transfer.is_none() && self.store.log.contains(link.end);
        let bytes = self.bytes_between(link.end.sequence, self.committed());
        let close = meets && bytes <= BYTES_IN_FLIGHT;
        close.then(|| self.committed().0.saturating_sub(link.end.sequence.0))
    }

    /// A fed node has restarted and does not know that it is up to date.
    pub(crate) fn sync(&mut self, to: NodeId) {
        let in_chain = self.synced && !self.is_sealed() && self.view.successor(self.me) == Some(to);
        let ahead = self.is_filling() && self.filling.contains(&to);
        if self.links.contains_key(&to) && (in_chain || ahead) {
            let link = self.links[&to];
            if self.store.log.contains(link.end) {
                self.send_batch(to, link.end, Vec::new());
            }
        }
    }

    pub(super) fn feeds(&self, to: NodeId) -> bool {
        if self.is_sealed() {
            return self.filling.contains(&to);
        }
        if self.is_tail() {
            return !self.view.contains(to);
        }
        self.view.successor(self.me) == Some(to)
    }

    pub(super) fn feed_all(&mut self, now: u64) {
        if !self.synced && !self.is_filling() {
            return;
        }
        let fed: Vec<NodeId> = self.links.keys().copied().collect();
        for id in fed {
            self.feed(now, id);
        }
        self.keep_for_fed();
    }

    /// Keeps the commands that fed nodes still lack, within the store's bound.
    fn keep_for_fed(&mut self) {
        let bases = self.links.values().map(Link::base);
        let reachable = bases.filter(|base| self.store.log.contains(*base));
        let needed_after = reachable.map(|base| base.sequence).min();
        self.store.keep_after(needed_after);
    }

    /// Sends what the fed node lacks: a snapshot if the logs do not meet, else commands.
    fn feed(&mut self, now: u64, to: NodeId) {
        let Some(mut link) = self.links.get(&to).copied() else {
            return;
        };
        if link.sent == link.end.sequence && link.transfer.is_none() {
            link.progress_at = now;
            if !self.store.log.contains(link.end) {
                self.begin_transfer(&mut link);
            }
        }
        match link.transfer {
            Some(_) => self.send_parts(to, &mut link),
            None => self.send_entries(to, &mut link),
        }
        self.links.insert(to, link);
    }

    fn send_entries(&mut self, to: NodeId, link: &mut Link) {
        let only_committed = self.is_tail() && !self.is_sealed();
        let limit = if only_committed { self.committed() } else { self.end().sequence };
        let mut under_way = self.bytes_between(link.end.sequence, link.sent);
        while link.sent < limit && under_way < BYTES_IN_FLIGHT {
            let Some(previous) = self.store.log.position_at(link.sent) else {
                return;
            };
            let entries = self.batch_after(link.sent, limit);
            let Some(last) = entries.last() else {
                return;
            };
            link.sent = last.position.sequence;
            under_way += entries.iter().map(Entry::encoded_bytes).sum::<usize>();
            link.committed_sent = self.committed();
            self.send_batch(to, previous, entries);
        }
        let commit_point_is_news = only_committed && link.committed_sent < self.committed();
        if let (true, Some(previous)) = (commit_point_is_news, self.store.log.position_at(link.sent)) {
            link.committed_sent = self.committed();
            self.send_batch(to, previous, Vec::new());
        }
    }

    /// Bytes of the entries after `after` up to `through`.
    fn bytes_between(&self, after: Sequence, through: Sequence) -> usize {
        let entries = self.store.log.entries_after(after);
        let entries = entries.take_while(|entry| entry.position.sequence <= through);
        entries.map(Entry::encoded_bytes).sum()
    }

    fn batch_after(&self, sequence: Sequence, limit: Sequence) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.store.log.entries_after(sequence) {
            bytes += entry.encoded_bytes();
            let full = !entries.is_empty() && bytes > self.limits.batch_bytes;
            if full || entry.position.sequence > limit {
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
