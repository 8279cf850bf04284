//! The table of all messages that this store knows, with the totals that limit it.

use crate::entry::Entry;
use crate::primary_entry::PrimaryEntry;
use crate::time::Instant;
use millrudder_protocol::{MessageId, ShardId};
use std::collections::BTreeMap;
use std::ops::Bound;

/// All messages that this store knows, by identifier.
#[derive(Clone, Debug, Default)]
pub(crate) struct MessageTable {
    entries: BTreeMap<MessageId, Box<Entry>>,
    bytes: u64,
    live: u64,
}

impl MessageTable {
    pub fn get(&self, id: MessageId) -> Option<&Entry> {
        self.entries.get(&id).map(Box::as_ref)
    }

    /// For changes that affect neither the message's size nor its end, and so not the totals; others use
    /// [`MessageTable::change`].
    pub fn get_mut(&mut self, id: MessageId) -> Option<&mut Entry> {
        self.entries.get_mut(&id).map(Box::as_mut)
    }

    /// The primary's entry of a message; `None` if this store is not the primary of its shard.
    pub fn primary(&self, id: MessageId) -> Option<&PrimaryEntry> {
        self.entries.get(&id)?.primary.as_deref()
    }

    /// See [`MessageTable::primary`].
    pub fn primary_mut(&mut self, id: MessageId) -> Option<&mut PrimaryEntry> {
        self.entries.get_mut(&id)?.primary.as_deref_mut()
    }

    /// Changes an entry, creating it if necessary, and updates the totals.
    pub fn change<R>(&mut self, id: MessageId, now: Instant, change: impl FnOnce(&mut Entry) -> R) -> R {
        let entry = self.entries.entry(id).or_insert_with(|| Box::new(Entry::new(id, now)));
        let result = change(entry);
        let cost = entry.cost();
        self.bytes = self.bytes.saturating_sub(entry.charged_bytes as u64).saturating_add(cost as u64);
        entry.charged_bytes = cost;
        let is_live = entry.end.is_none();
        self.live = self.live.saturating_sub(u64::from(entry.is_counted_live)) + u64::from(is_live);
        entry.is_counted_live = is_live;
        result
    }

    pub fn remove(&mut self, id: MessageId) -> Option<Box<Entry>> {
        let entry = self.entries.remove(&id)?;
        self.bytes = self.bytes.saturating_sub(entry.charged_bytes as u64);
        self.live = self.live.saturating_sub(u64::from(entry.is_counted_live));
        Some(entry)
    }

    /// Identifiers of a shard's messages, in ascending order.
    pub fn ids_of(&self, shard: ShardId) -> impl Iterator<Item = MessageId> + '_ {
        self.of_shard_from(MessageId { shard, unique: 0 }).map(|entry| entry.id)
    }

    /// A shard's messages from `first` on, in ascending order of their identifiers.
    pub fn of_shard_from(&self, first: MessageId) -> impl Iterator<Item = &Entry> + '_ {
        let last = MessageId { shard: first.shard, unique: u64::MAX };
        self.entries.range(first..=last).map(|(_, entry)| entry.as_ref())
    }

    /// Identifiers of all messages after `after`, in ascending order.
    pub fn ids_after(&self, after: Option<MessageId>) -> impl Iterator<Item = MessageId> + '_ {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.entries.range((from, Bound::Unbounded)).map(|(id, _)| *id)
    }

    /// Number of known messages, live or ended.
    pub fn count(&self) -> u64 {
        u64::try_from(self.entries.len()).unwrap_or(u64::MAX)
    }

    pub fn ids(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.entries.keys().copied()
    }

    /// Approximate size in bytes of all entries.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Number of live messages: those that have not ended.
    pub fn live(&self) -> u64 {
        self.live
    }
}
