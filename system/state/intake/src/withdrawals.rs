//! Withdrawals of attempts that did not lead to a 202 although a store may have the message. Such copies must not run.

use crate::interface::Output;
use crate::store_directory::StoreDirectory;
use millrudder_protocol::store::FromDispatcher;
use millrudder_protocol::MessageId;
use std::collections::BTreeSet;

/// Maximum number of withdrawals that are kept while stores are unreachable. Beyond this, those with the lowest message
/// identifiers are dropped.
const MAX_PENDING: usize = 10_000;

/// Withdrawals that no store has confirmed yet. They are resent after every new placement and whenever a connection to
/// a store opens or closes.
#[derive(Debug, Default)]
pub struct Withdrawals {
    pending: BTreeSet<MessageId>,
}

impl Withdrawals {
    /// Withdraws a message.
    pub fn add(&mut self, id: MessageId, stores: &StoreDirectory, outputs: &mut Vec<Output>) {
        if self.pending.insert(id) {
            send(id, stores, outputs);
        }
        while self.pending.len() > MAX_PENDING {
            self.pending.pop_first();
        }
    }

    /// Messages whose withdrawal is not confirmed yet.
    pub fn pending(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.pending.iter().copied()
    }

    /// Whether no withdrawal is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Handles a store's confirmation that a withdrawal is durable.
    pub fn handle_confirmed(&mut self, id: MessageId) {
        self.pending.remove(&id);
    }

    /// Resends all pending withdrawals.
    pub fn resend(&self, stores: &StoreDirectory, outputs: &mut Vec<Output>) {
        for id in &self.pending {
            send(*id, stores, outputs);
        }
    }
}

fn send(id: MessageId, stores: &StoreDirectory, outputs: &mut Vec<Output>) {
    if let Some(store) = stores.connected_primary(id.shard) {
        outputs.push(Output::ToStore { store, message: FromDispatcher::Withdraw { id } });
    }
}
