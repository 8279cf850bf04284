//! Expiry: messages that reach the end of their retention are ended, and ended messages are eventually removed.
//!
//! Every replica removes messages by its own clock. An ended message is kept at least until its retention has
//! passed, so that a replica which missed the end cannot bring the message back: by then it has expired there
//! too.

use super::StoreNode;
use crate::api::Output;
use crate::config::Config;
use crate::entry::Entry;
use crate::time::Instant;
use crate::timers::Timer;
use millrudder_protocol::message::End;
use millrudder_protocol::MessageId;
use std::time::Duration;

/// Removal times are rounded up to multiples of this step, so that messages are removed in groups with fewer
/// wake-ups.
const FORGET_STEP: Duration = Duration::from_secs(1);

/// Time at which the expiry timer of a message is due.
fn expiry_of(entry: &Entry, config: &Config) -> Instant {
    let status_retention = config.status_ttl + config.forget_margin;
    if entry.end.is_none() {
        let retention_end = entry.retention_end();
        return if entry.primary.is_some() { retention_end } else { retention_end + status_retention };
    }
    let callback_retention =
        if entry.has_pending_callback() { config.callback_retention } else { Duration::ZERO };
    let needed_until = entry.ended_at + status_retention.max(callback_retention);
    needed_until.max(entry.retention_end() + config.forget_margin).rounded_up(FORGET_STEP)
}

impl StoreNode {
    /// Updates the expiry timer of a message to its current state.
    pub(super) fn set_expiry(&mut self, id: MessageId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        let at = expiry_of(entry, &self.context.config);
        if entry.expiry == Some(at) {
            return;
        }
        if let Some(former) = entry.expiry.replace(at) {
            self.context.timers.clear(former, Timer::Expiry(id));
        }
        self.context.timers.set(at, Timer::Expiry(id));
    }

    /// Handles the expiry timer of a message.
    pub(super) fn handle_expiry(&mut self, id: MessageId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        entry.expiry = None;
        let is_over = entry.end.is_some() || entry.primary.is_none();
        if is_over && !self.replication.is_pending(id) {
            self.remove_message(id);
        } else if is_over {
            self.context.timers.set(self.context.now + FORGET_STEP, Timer::Expiry(id));
        } else if self.primary_terms.is_serving(id.shard) {
            self.handle_retention_over(id);
        } else {
            self.set_expiry(id);
        }
    }

    fn handle_retention_over(&mut self, id: MessageId) {
        if let Some(lease) = self.lease_of(id) {
            self.revoke(id, lease.token);
        }
        self.end_message(id, End::DeadLetter);
    }

    fn remove_message(&mut self, id: MessageId) {
        self.remove_callback(id);
        self.table.remove(id);
        self.replication.cancel_repair(id);
        self.context.outputs.push(Output::Released { id });
    }
}
