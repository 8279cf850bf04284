//! Edits to a placement that repair, balancing and the choice of primaries share.

use crate::store_health::StoreStatus;
use millrudder_protocol::placement::{ChangeReason, MemberChange, Placement, ShardEntry, StoreEntry};
use millrudder_protocol::{Epoch, StoreId};

/// Begins a membership change of one shard. With `leaves` set to `None`, the learner becomes an additional replica.
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

/// Makes a replica the primary of its shard and starts a new term.
pub fn assign_primary(shard: &mut ShardEntry, primary: StoreId, epoch: Epoch) {
    shard.primary = primary;
    shard.term = epoch;
}

/// Returns the placement entry of a healthy store.
pub fn store_entry(store: &StoreStatus) -> StoreEntry {
    StoreEntry {
        id: store.id,
        name: store.name.clone(),
        zone: store.zone.clone(),
        address: store.address,
        alive: true,
    }
}
