//! Messages whose clients got no 202 although a store may have them: they must not run.

use crate::stores::Stores;
use crate::Output;
use millrudder_protocol::store::FromDispatcher;
use millrudder_protocol::MessageId;
use std::collections::BTreeSet;

/// Withdrawals that are owed while stores cannot be reached; beyond it the first are dropped.
const MOST: usize = 10_000;

/// What is still to be withdrawn. Told again whenever the shard's primary changes or comes back.
#[derive(Default)]
pub struct Withdrawals {
    owed: BTreeSet<MessageId>,
}

impl Withdrawals {
    pub fn add(&mut self, id: MessageId, stores: &Stores, out: &mut Vec<Output>) {
        if self.owed.insert(id) {
            tell(id, stores, out);
        }
        while self.owed.len() > MOST {
            self.owed.pop_first();
        }
    }

    pub fn owed(&self) -> impl Iterator<Item = MessageId> + '_ {
        self.owed.iter().copied()
    }

    pub fn done(&mut self, id: MessageId) {
        self.owed.remove(&id);
    }

    pub fn tell_again(&self, stores: &Stores, out: &mut Vec<Output>) {
        for id in &self.owed {
            tell(*id, stores, out);
        }
    }
}

fn tell(id: MessageId, stores: &Stores, out: &mut Vec<Output>) {
    if let Some(store) = stores.open_primary(id.shard) {
        out.push(Output::ToStore { store, message: FromDispatcher::Withdraw { id } });
    }
}
