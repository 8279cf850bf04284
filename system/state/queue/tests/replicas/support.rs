//! Three stores, and what tests do to them.

use millrudder_protocol::message::End;
use millrudder_protocol::placement::{ChangeReason, MemberChange};
use millrudder_protocol::store::{ActiveLease, AttemptOutcome};
use millrudder_protocol::Epoch;

pub use crate::harness::accepted_token;
use crate::harness::{store_id, StoreHarness};

/// Three stores, of which one may be lost; a dispatcher is connected to each, by the connection of its number.
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

/// The dispatcher has heard of a new placement.
pub fn announce(harness: &mut StoreHarness, store: usize, held: Vec<ActiveLease>) {
    harness.hello(store, store as u64 + 1, 7, "zone-0", held);
}

pub fn replaces(lost: usize, learner: usize, since: Epoch) -> MemberChange {
    let (joins, leaves) = (store_id(learner), Some(store_id(lost)));
    MemberChange { joins, leaves, epoch: since, reason: ChangeReason::Repair }
}

/// Store 3 is to take the place of store 2, which is well; nothing was said to it yet.
pub fn moving_to_a_learner(harness: &mut StoreHarness) -> usize {
    let learner = harness.add_process();
    harness.placement.shards[0].change = Some(replaces(2, learner, Epoch(2)));
    harness.placement.epoch = Epoch(2);
    harness.start(learner);
    learner
}

/// The process ends and its disk is lost: it starts without anything.
pub fn lose_disk(harness: &mut StoreHarness, store: usize) {
    harness.kill(store);
    harness.processes[store].records.clear();
}
