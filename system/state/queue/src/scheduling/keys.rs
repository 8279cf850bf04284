//! Messages by order key: one is active at a time, the others wait for its end.

use millrudder_protocol::{MessageId, Sequence, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// Messages of one key that have not ended.
#[derive(Clone, Debug, Default)]
struct KeyQueue {
    waiting: BTreeSet<(Sequence, MessageId)>,
    /// The one that may be delivered.
    active: Option<MessageId>,
}

/// All order keys of the shards that this store is primary of.
#[derive(Clone, Debug, Default)]
pub(crate) struct Keys {
    queues: BTreeMap<ShardId, BTreeMap<String, KeyQueue>>,
}

impl Keys {
    /// Adds a message that has not ended.
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

    /// Makes the message the active one if it is the first and none is; `true` if it is the active one.
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

    /// Nothing of its key is before this message.
    pub fn may_activate(&self, key: &str, id: MessageId) -> bool {
        let Some(queue) = self.queues.get(&id.shard).and_then(|queues| queues.get(key)) else {
            return true;
        };
        let is_first = queue.waiting.first().is_some_and(|(_, first)| *first == id);
        queue.active.map_or(is_first, |active| active == id)
    }

    /// Makes a message the active one that a former primary had granted.
    pub fn adopt(&mut self, key: &str, id: MessageId) {
        if let Some(queue) = self.queues.get_mut(&id.shard).and_then(|queues| queues.get_mut(key)) {
            queue.active = Some(id);
        }
    }

    /// The message's end is durable; gives the one that may become active.
    pub fn end(&mut self, key: &str, sequence: Sequence, id: MessageId) -> Option<MessageId> {
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

    /// Another store is primary of the shard now.
    pub fn drop_shard(&mut self, shard: ShardId) {
        self.queues.remove(&shard);
    }
}
