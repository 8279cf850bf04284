//! Cache of messages that this dispatcher has accepted of late, so that stores need not send their bytes again.

use millrudder_clock::Instant;
use millrudder_protocol::message::Message;
use millrudder_protocol::MessageId;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// How long a message is retained after it was last inserted: longer than stores count on.
const RETENTION: Duration = Duration::from_secs(15);
/// Most bytes of bodies that are retained; beyond them the oldest messages are evicted.
const MAX_BODY_BYTES: usize = 32 << 20;

struct Entry {
    message: Arc<Message>,
    expires_at: Instant,
}

/// The messages, by their ids.
#[derive(Default)]
pub struct MessageCache {
    entries: BTreeMap<MessageId, Entry>,
    /// Oldest first; a message that was inserted again has an older place too.
    by_expiry: VecDeque<(Instant, MessageId)>,
    body_bytes: usize,
}

impl MessageCache {
    /// Inserts a message, and evicts what has expired or has no room any more.
    pub fn insert(&mut self, now: Instant, id: MessageId, message: Arc<Message>) {
        let expires_at = now + RETENTION;
        self.body_bytes += message.body.len();
        if let Some(replaced) = self.entries.insert(id, Entry { message, expires_at }) {
            self.body_bytes -= replaced.message.body.len();
        }
        self.by_expiry.push_back((expires_at, id));
        self.evict(now);
    }

    /// The message, if it is retained.
    pub fn get(&self, id: MessageId) -> Option<Arc<Message>> {
        self.entries.get(&id).map(|entry| Arc::clone(&entry.message))
    }

    fn evict(&mut self, now: Instant) {
        while let Some((expires_at, id)) = self.by_expiry.front().copied() {
            if expires_at > now && self.body_bytes <= MAX_BODY_BYTES {
                return;
            }
            self.by_expiry.pop_front();
            // It may have been inserted again since.
            if self.entries.get(&id).is_some_and(|entry| entry.expires_at <= expires_at) {
                if let Some(entry) = self.entries.remove(&id) {
                    self.body_bytes -= entry.message.body.len();
                }
            }
        }
    }
}
