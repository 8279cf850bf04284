//! The end of a message's retention, and the time after which nothing of it is needed any more.
//!
//! Every replica forgets by its own clock. A message that has ended is kept until its retention is over as well, so
//! that a replica which missed the end cannot bring the message back: it has ended by its retention by then.

use crate::api::Output;
use crate::config::Config;
use crate::entry::Entry;
use crate::node::StoreNode;
use crate::time::Time;
use crate::timers::Timer;
use millrudder_protocol::message::End;
use millrudder_protocol::MessageId;

/// Messages are forgotten together in steps of this many milliseconds.
const FORGET_STEP_MS: i64 = 1_000;

/// When to look at a message again.
fn expiry_of(entry: &Entry, config: &Config) -> Time {
    let keep_ms = config.status_ttl_ms + config.forget_margin_ms;
    if entry.end.is_none() {
        let retention_end = entry.retention_end();
        return if entry.primary.is_some() { retention_end } else { retention_end.plus(keep_ms) };
    }
    let callback_ms = if entry.has_pending_callback() { config.callback_retention } else { 0 };
    let asked_until = entry.ended.plus(keep_ms.max(callback_ms));
    asked_until.max(entry.retention_end().plus(config.forget_margin_ms)).rounded_up(FORGET_STEP_MS)
}

impl StoreNode {
    /// Sets a message's expiry timer to what is known of it now.
    pub(crate) fn set_expiry(&mut self, id: MessageId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        let at = expiry_of(entry, &self.config);
        if entry.expiry == Some(at) {
            return;
        }
        if let Some(former) = entry.expiry.replace(at) {
            self.timers.clear(former, Timer::Expiry(id));
        }
        self.timers.set(at, Timer::Expiry(id));
    }

    /// A message's expiry timer went off.
    pub(crate) fn handle_expiry(&mut self, id: MessageId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        entry.expiry = None;
        let is_over = entry.end.is_some() || entry.primary.is_none();
        if is_over && !self.pending.contains(&id) {
            self.forget(id);
        } else if is_over {
            self.timers.set(self.now.plus(FORGET_STEP_MS.unsigned_abs()), Timer::Expiry(id));
        } else if self.is_serving(id.shard) {
            self.retention_over(id);
        } else {
            self.set_expiry(id);
        }
    }

    fn retention_over(&mut self, id: MessageId) {
        if let Some(lease) = self.lease_of(id) {
            self.revoke(id, lease.token);
        }
        self.end_message(id, End::DeadLetter);
    }

    fn forget(&mut self, id: MessageId) {
        self.remove_callback(id);
        self.table.remove(id);
        for peer in self.peers.values_mut() {
            peer.catch_up.remove(&id);
        }
        self.outputs.push(Output::Released { id });
    }
}
