//! Queues of messages by order key: one message of a key is active at a time, the others wait until it has
//! ended.

use millrudder_protocol::{MessageId, Sequence, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// The messages of one order key that have not ended.
#[derive(Clone, Debug, Default)]
struct KeyQueue {
    waiting: BTreeSet<(Sequence, MessageId)>,
    /// The only message of the key that may be delivered now.
    active: Option<MessageId>,
}

/// The order keys of all shards of which this store is the primary.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrderKeys {
    queues: BTreeMap<ShardId, BTreeMap<String, KeyQueue>>,
}

impl OrderKeys {
    /// Adds a message that has not ended to the queue of its key.
    pub fn add(&mut self, key: &str, sequence: Sequence, id: MessageId) {
        let queues = self.queues.entry(id.shard).or_default();
        if let Some(queue) = queues.get_mut(key) {
            queue.waiting.insert((sequence, id));
            return;
        }
        let mut queue = KeyQueue::default();
        queue.waiting.insert((sequence, id));
        queues.insert(key.to_owned(), queue);
    }

    /// Makes the message the active one of its key if it is the first in the queue and no other is active.
    /// Returns whether it is the active one now.
    pub fn activate(&mut self, key: &str, id: MessageId) -> bool {
        let Some(queue) = self.queues.get_mut(&id.shard).and_then(|queues| queues.get_mut(key)) else {
            return true;
        };
        let is_first = queue.waiting.first().is_some_and(|(_, first)| *first == id);
        if queue.active.is_none() && is_first {
            queue.active = Some(id);
        }
        queue.active == Some(id)
    }

    /// Whether no other message of the key has to be delivered before this one.
    pub fn may_activate(&self, key: &str, id: MessageId) -> bool {
        let Some(queue) = self.queues.get(&id.shard).and_then(|queues| queues.get(key)) else {
            return true;
        };
        let is_first = queue.waiting.first().is_some_and(|(_, first)| *first == id);
        queue.active.map_or(is_first, |active| active == id)
    }

    /// Makes a message active that a former primary has granted, even if it is not the first in the queue.
    pub fn set_active(&mut self, key: &str, id: MessageId) {
        if let Some(queue) = self.queues.get_mut(&id.shard).and_then(|queues| queues.get_mut(key)) {
            queue.active = Some(id);
        }
    }

    /// Removes a message whose end is durable. Returns the next message of the key that may become active.
    pub fn remove_ended(&mut self, key: &str, sequence: Sequence, id: MessageId) -> Option<MessageId> {
        let queues = self.queues.get_mut(&id.shard)?;
        let queue = queues.get_mut(key)?;
        queue.waiting.remove(&(sequence, id));
        if queue.active == Some(id) {
            queue.active = None;
        }
        if queue.waiting.is_empty() {
            queues.remove(key);
            return None;
        }
        if queue.active.is_some() {
            return None;
        }
        queue.waiting.first().map(|(_, first)| *first)
    }

    /// Drops the queues of a shard of which this store is no longer the primary.
    pub fn drop_shard(&mut self, shard: ShardId) {
        self.queues.remove(&shard);
    }
}
