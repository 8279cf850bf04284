//! Barriers that tell grants sent before a stall of this process from later ones.
//!
//! What a store sends on one connection arrives in order. A barrier that is sent after the process has found a stall is
//! therefore answered after everything that lay unread in the connection. Until then, the store's grants may be of
//! leases that have been granted to other dispatchers since.

use millrudder_protocol::StoreId;
use std::collections::{BTreeMap, BTreeSet};

/// Number of a barrier; a process never uses one twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BarrierNumber(pub u64);

/// Connected stores, and the barriers that they have not answered yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoreBarriers {
    last_number: BarrierNumber,
    connected: BTreeSet<StoreId>,
    pending: BTreeMap<StoreId, BarrierNumber>,
}

impl StoreBarriers {
    /// A new connection to a store is ready. Returns a new barrier if the one on the previous connection is unanswered.
    pub(crate) fn on_connected(&mut self, store: StoreId) -> Option<BarrierNumber> {
        self.connected.insert(store);
        let was_pending = self.pending.contains_key(&store);
        was_pending.then(|| self.begin(store))
    }

    /// The process or its clock stalled. Returns a barrier for each connected store.
    pub(crate) fn begin_all(&mut self) -> Vec<(StoreId, BarrierNumber)> {
        let stores: Vec<StoreId> = self.connected.iter().copied().collect();
        stores.into_iter().map(|store| (store, self.begin(store))).collect()
    }

    /// A store has answered a barrier; only its latest one counts.
    pub(crate) fn on_reached(&mut self, store: StoreId, number: BarrierNumber) {
        if self.pending.get(&store) == Some(&number) {
            self.pending.remove(&store);
        }
    }

    /// Whether grants of this store may have lain unread during a stall.
    pub(crate) fn is_pending(&self, store: StoreId) -> bool {
        self.pending.contains_key(&store)
    }

    /// Begins a new barrier at a store, in place of a pending one.
    fn begin(&mut self, store: StoreId) -> BarrierNumber {
        self.last_number = BarrierNumber(self.last_number.0 + 1);
        self.pending.insert(store, self.last_number);
        self.last_number
    }
}
