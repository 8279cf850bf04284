//! Messages that this dispatcher has seen lately, so that stores need not send them again.

use millrudder_protocol::message::Message;
use millrudder_protocol::MessageId;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A message is kept for so long (ms) after it was last put in: longer than stores count on.
const KEPT_MS: u64 = 15_000;
/// Bytes of bodies kept at the most; the oldest go first.
const MOST_BYTES: usize = 32 << 20;

struct Kept {
    message: Arc<Message>,
    until: u64,
}

/// The messages, by their names.
#[derive(Default)]
pub struct Bodies {
    kept: BTreeMap<MessageId, Kept>,
    order: VecDeque<(u64, MessageId)>,
    bytes: usize,
}

impl Bodies {
    pub fn put(&mut self, now: u64, id: MessageId, message: Arc<Message>) {
        let until = now + KEPT_MS;
        self.bytes += message.body.len();
        if let Some(before) = self.kept.insert(id, Kept { message, until }) {
            self.bytes -= before.message.body.len();
        }
        self.order.push_back((until, id));
        self.drop_old(now);
    }

    pub fn get(&self, id: MessageId) -> Option<Arc<Message>> {
        self.kept.get(&id).map(|kept| Arc::clone(&kept.message))
    }

    fn drop_old(&mut self, now: u64) {
        while let Some((until, id)) = self.order.front().copied() {
            if until > now && self.bytes <= MOST_BYTES {
                return;
            }
            self.order.pop_front();
            // It may have been put in again since.
            if self.kept.get(&id).is_some_and(|kept| kept.until <= until) {
                if let Some(kept) = self.kept.remove(&id) {
                    self.bytes -= kept.message.body.len();
                }
            }
        }
    }
}
