//! Steps that several decisions have in common.

use crate::store_health::StoreStatus;
use millrudder_protocol::placement::{ChangeReason, MemberChange, Placement, ShardEntry, StoreEntry};
use millrudder_protocol::{Epoch, StoreId};

/// Begins a membership change of one shard; `leaves` is absent where the learner is one replica more.
pub fn begin_change(
    next: &mut Placement,
    shard_index: usize,
    learner: &StoreStatus,
    leaves: Option<StoreId>,
    reason: ChangeReason,
) {
    if next.store(learner.id).is_none() {
        next.stores.push(store_entry(learner));
    }
    let change = MemberChange { joins: learner.id, leaves, epoch: next.epoch, reason };
    next.shards[shard_index].change = Some(change);
}

/// Makes a replica the primary of its shard; a new term begins.
pub fn assign_primary(shard: &mut ShardEntry, primary: StoreId, epoch: Epoch) {
    shard.primary = primary;
    shard.term = epoch;
}

/// A healthy store as a placement lists it.
pub fn store_entry(store: &StoreStatus) -> StoreEntry {
    StoreEntry {
        id: store.id,
        name: store.name.clone(),
        zone: store.zone.clone(),
        address: store.address,
        alive: true,
    }
}
