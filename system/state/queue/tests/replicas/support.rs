//! A cluster of three stores, and steps shared by the tests.

use millrudder_protocol::message::End;
use millrudder_protocol::placement::{ChangeReason, MemberChange};
use millrudder_protocol::store::{ActiveLease, AttemptOutcome};
use millrudder_protocol::Epoch;

pub use crate::harness::accepted_token;
use crate::harness::{store_id, StoreHarness};

/// Three stores, of which one may be lost. A dispatcher is connected to each store, over a connection numbered
/// one higher than the store.
pub fn three_stores() -> StoreHarness {
    let mut harness = StoreHarness::new(3, 1);
    for store in 0..3 {
        harness.hello(store, store as u64 + 1, 7, "zone-0", Vec::new());
    }
    harness
}

pub fn success() -> AttemptOutcome {
    AttemptOutcome::Succeeded { signature: "s".to_owned() }
}

pub fn completed() -> Option<End> {
    Some(End::Completed { signature: "s".to_owned() })
}

/// Lets the dispatcher announce itself to a store under the current placement, with the leases that it holds.
pub fn announce(harness: &mut StoreHarness, store: usize, leases: Vec<ActiveLease>) {
    harness.hello(store, store as u64 + 1, 7, "zone-0", leases);
}

pub fn replaces(lost: usize, learner: usize, epoch: Epoch) -> MemberChange {
    let (joins, leaves) = (store_id(learner), Some(store_id(lost)));
    MemberChange { joins, leaves, epoch, reason: ChangeReason::Repair }
}

/// Starts a learner, store 3, that is to replace the healthy store 2. The new placement has not been sent to
/// the other stores yet.
pub fn start_replacing_learner(harness: &mut StoreHarness) -> usize {
    let learner = harness.add_process();
    harness.placement.shards[0].change = Some(replaces(2, learner, Epoch(2)));
    harness.placement.epoch = Epoch(2);
    harness.start(learner);
    learner
}

/// Kills a store and loses its disk; it would start with an empty one.
pub fn lose_disk(harness: &mut StoreHarness, store: usize) {
    harness.kill(store);
    harness.processes[store].records.clear();
}
