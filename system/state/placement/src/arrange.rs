//! The next placement: what follows from what is known now.

use crate::balance;
use crate::knowledge::Knowledge;
use crate::primaries;
use crate::repair;
use millrudder_protocol::placement::{Placement, ShardEntry};
use millrudder_protocol::Epoch;

/// The placement that follows from what is known now; `None` where nothing is to change.
pub fn next(known: &Knowledge, current: &Placement) -> Option<Placement> {
    let mut next = current.clone();
    next.epoch = Epoch(current.epoch.0 + 1);
    repair::finish(known, &mut next);
    repair::give_up(known, &mut next);
    repair::begin(known, current, &mut next);
    balance::begin(known, &mut next);
    refresh_entries(known, &mut next);
    primaries::choose(known, &mut next);
    drop_unused(&mut next);
    let changed = next.stores != current.stores || next.shards != current.shards;
    changed.then_some(next)
}

/// Addresses and liveness as they are now.
fn refresh_entries(known: &Knowledge, next: &mut Placement) {
    for store in &mut next.stores {
        store.alive = known.is_well(store.id);
        if let Some(seen) = known.stores.get(store.id) {
            store.address = seen.address;
        }
    }
}

/// Stores that hold nothing any more are left out.
fn drop_unused(next: &mut Placement) {
    let shards = &next.shards;
    next.stores.retain(|store| {
        let used = |shard: &ShardEntry| {
            shard.primary == store.id
                || shard.replicas.contains(&store.id)
                || shard.learner() == Some(store.id)
        };
        shards.iter().any(used)
    });
}
