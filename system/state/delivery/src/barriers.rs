//! Stores whose grants may have waited unread while this process stood still.
//!
//! What a store sends on one connection arrives in order. A barrier that is sent after the process found that it had
//! stood still is therefore answered after all that lay unread: until then the store's grants may be of leases that
//! others have by now.

use millrudder_protocol::StoreId;
use std::collections::{BTreeMap, BTreeSet};

/// Number of a barrier; one process never uses a number twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BarrierNumber(pub u64);

/// Barriers that are not reached yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreBarriers {
    last_number: BarrierNumber,
    connected: BTreeSet<StoreId>,
    pending: BTreeMap<StoreId, BarrierNumber>,
}

impl StoreBarriers {
    /// A new connection to a store is ready. A barrier that was sent on the one before is sent again.
    pub(crate) fn on_connected(&mut self, store: StoreId) -> Option<BarrierNumber> {
        self.connected.insert(store);
        let was_pending = self.pending.contains_key(&store);
        was_pending.then(|| self.begin(store))
    }

    /// The process stood still: the barriers to be sent, one to each store.
    pub(crate) fn begin_all(&mut self) -> Vec<(StoreId, BarrierNumber)> {
        let stores: Vec<StoreId> = self.connected.iter().copied().collect();
        stores.into_iter().map(|store| (store, self.begin(store))).collect()
    }

    /// A store has answered a barrier.
    pub(crate) fn on_reached(&mut self, store: StoreId, number: BarrierNumber) {
        if self.pending.get(&store) == Some(&number) {
            self.pending.remove(&store);
        }
    }

    /// Whether what a store grants may have waited unread.
    pub(crate) fn is_pending(&self, store: StoreId) -> bool {
        self.pending.contains_key(&store)
    }

    fn begin(&mut self, store: StoreId) -> BarrierNumber {
        self.last_number = BarrierNumber(self.last_number.0 + 1);
        self.pending.insert(store, self.last_number);
        self.last_number
    }
}
