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
pub(crate) struct Doubts {
    last: BarrierNumber,
    connected: BTreeSet<StoreId>,
    awaited: BTreeMap<StoreId, BarrierNumber>,
}

impl Doubts {
    /// A new connection to a store is ready. A barrier that was sent on the one before is sent again.
    pub(crate) fn connected(&mut self, store: StoreId) -> Option<BarrierNumber> {
        self.connected.insert(store);
        let awaits = self.awaited.contains_key(&store);
        awaits.then(|| self.begin(store))
    }

    /// The process stood still: the barriers to be sent, one to each store.
    pub(crate) fn stood_still(&mut self) -> Vec<(StoreId, BarrierNumber)> {
        let stores: Vec<StoreId> = self.connected.iter().copied().collect();
        stores.into_iter().map(|store| (store, self.begin(store))).collect()
    }

    /// A store has answered a barrier.
    pub(crate) fn reached(&mut self, store: StoreId, number: BarrierNumber) {
        if self.awaited.get(&store) == Some(&number) {
            self.awaited.remove(&store);
        }
    }

    /// Whether what a store grants may have waited unread.
    pub(crate) fn concern(&self, store: StoreId) -> bool {
        self.awaited.contains_key(&store)
    }

    fn begin(&mut self, store: StoreId) -> BarrierNumber {
        self.last = BarrierNumber(self.last.0 + 1);
        self.awaited.insert(store, self.last);
        self.last
    }
}
