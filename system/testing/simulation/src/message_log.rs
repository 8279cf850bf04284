//! Log of the messages that were acknowledged to dispatchers, for the checks.

use millrudder_clock::Instant;
use millrudder_protocol::MessageId;
use std::collections::{BTreeMap, BTreeSet};

/// The acknowledged messages and successes.
#[derive(Clone, Debug, Default)]
pub struct MessageLog {
    /// When each message was first acknowledged as accepted (true time).
    accepted: BTreeMap<MessageId, Instant>,
    /// Messages whose success was acknowledged.
    recorded: BTreeSet<MessageId>,
    /// When each dispatcher last received an acknowledgement (true time).
    last: BTreeMap<usize, Instant>,
}

impl MessageLog {
    /// Records that a message was acknowledged to a dispatcher as accepted.
    pub fn accepted(&mut self, dispatcher: usize, id: MessageId, now: Instant) {
        self.accepted.entry(id).or_insert(now);
        self.last.insert(dispatcher, now);
    }

    /// Records that a store acknowledged the success of an execution.
    pub fn recorded(&mut self, id: MessageId) {
        self.recorded.insert(id);
    }

    /// Whether the success of an execution was acknowledged.
    pub fn is_recorded(&self, id: MessageId) -> bool {
        self.recorded.contains(&id)
    }

    /// The accepted messages, which must not be lost.
    pub fn accepted_ids(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.accepted.keys().copied()
    }

    /// When this dispatcher last had a message accepted (true time).
    pub fn last_accepted(&self, dispatcher: usize) -> Instant {
        self.last.get(&dispatcher).copied().unwrap_or_default()
    }
}
