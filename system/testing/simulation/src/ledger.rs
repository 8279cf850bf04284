//! Messages that were accepted, and what became of them.

use millrudder_protocol::MessageId;
use std::collections::{BTreeMap, BTreeSet};

/// What truly happened to messages; times are microseconds.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accepted: BTreeMap<MessageId, u64>,
    recorded: BTreeSet<MessageId>,
    /// Last acceptance at each dispatcher.
    last: BTreeMap<usize, u64>,
}

impl Ledger {
    /// A dispatcher was told that a message is kept.
    pub fn accepted(&mut self, dispatcher: usize, id: MessageId, now: u64) {
        self.accepted.entry(id).or_insert(now);
        self.last.insert(dispatcher, now);
    }

    /// A store said that the success of a run is kept.
    pub fn recorded(&mut self, id: MessageId) {
        self.recorded.insert(id);
    }

    /// Whether the success of a run is kept.
    pub fn is_recorded(&self, id: MessageId) -> bool {
        self.recorded.contains(&id)
    }

    /// Messages that must be known.
    pub fn messages(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.accepted.keys().copied()
    }

    /// When this dispatcher last had a message accepted.
    pub fn last_accepted(&self, dispatcher: usize) -> u64 {
        self.last.get(&dispatcher).copied().unwrap_or_default()
    }

    /// Messages that were accepted.
    pub fn count(&self) -> usize {
        self.accepted.len()
    }
}
