//! Withdrawals of attempts that did not lead to a 202 although a store may have the message. Such copies must not run.

use crate::deadlines::Deadlines;
use crate::interface::Output;
use crate::store_directory::StoreDirectory;
use millrudder_clock::Instant;
use millrudder_protocol::store::FromDispatcher;
use millrudder_protocol::MessageId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of withdrawals that are kept while stores are unreachable. Beyond this, those with the lowest message
/// identifiers are dropped.
const MAX_PENDING: usize = 10_000;
/// Time after which an unconfirmed withdrawal is sent again for the first time. It is well within the time for which the
/// next primary keeps the message's unconfirmed lease, after which it would grant the message to another dispatcher.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Longest time between two sends of a withdrawal. A store cannot confirm those of messages that another dispatcher may
/// have run, so there may be many for as long as the process runs.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(38_400);

/// Withdrawals that no store has confirmed yet. They are resent after every new placement, whenever a connection to a
/// store opens or closes, and with exponential backoff in between.
#[derive(Debug, Default)]
pub struct Withdrawals {
    /// For each message, the delay that follows the next retry.
    pending: BTreeMap<MessageId, Duration>,
    retries: Deadlines<MessageId>,
}

impl Withdrawals {
    /// Withdraws a message.
    pub fn add(&mut self, now: Instant, id: MessageId, stores: &StoreDirectory, outputs: &mut Vec<Output>) {
        if self.pending.contains_key(&id) {
            return;
        }
        self.pending.insert(id, next_delay(FIRST_RETRY_DELAY));
        self.retries.set(id, now + FIRST_RETRY_DELAY);
        send(id, stores, outputs);
        while self.pending.len() > MAX_PENDING {
            self.drop_lowest();
        }
    }

    /// Messages whose withdrawal is not confirmed yet.
    pub fn pending(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.pending.keys().copied()
    }

    /// Whether no withdrawal is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Handles a store's confirmation that a withdrawal is durable.
    pub fn handle_confirmed(&mut self, id: MessageId) {
        self.pending.remove(&id);
        self.retries.remove(id);
    }

    /// Resends all pending withdrawals.
    pub fn resend(&self, stores: &StoreDirectory, outputs: &mut Vec<Output>) {
        for id in self.pending.keys() {
            send(*id, stores, outputs);
        }
    }

    /// When [`Withdrawals::handle_tick`] is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.retries.next()
    }

    /// Resends the withdrawals whose retry is due.
    pub fn handle_tick(&mut self, now: Instant, stores: &StoreDirectory, outputs: &mut Vec<Output>) {
        while let Some(id) = self.retries.first_due(now) {
            let Some(delay) = self.pending.get_mut(&id) else {
                self.retries.remove(id);
                continue;
            };
            self.retries.set(id, now + *delay);
            *delay = next_delay(*delay);
            send(id, stores, outputs);
        }
    }

    fn drop_lowest(&mut self) {
        if let Some((id, _)) = self.pending.pop_first() {
            self.retries.remove(id);
        }
    }
}

fn next_delay(delay: Duration) -> Duration {
    (delay * 2).min(MAX_RETRY_DELAY)
}

fn send(id: MessageId, stores: &StoreDirectory, outputs: &mut Vec<Output>) {
    if let Some(store) = stores.connected_primary(id.shard) {
        outputs.push(Output::ToStore { store, message: FromDispatcher::Withdraw { id } });
    }
}
