//! Which replica of a shard is its primary.

use crate::knowledge::Knowledge;
use millrudder_protocol::placement::{Placement, ShardEntry};
use millrudder_protocol::{Epoch, StoreId};
use std::collections::BTreeMap;

/// A shard is led by the first of its replicas that is steady, or stays where it is while that one is well.
pub fn choose(known: &Knowledge, next: &mut Placement) {
    let epoch = next.epoch;
    let mut load: BTreeMap<StoreId, usize> = BTreeMap::new();
    for shard in &next.shards {
        *load.entry(shard.primary).or_default() += 1;
    }
    for shard in &mut next.shards {
        let first = shard.replicas.first().copied();
        let home = first.filter(|id| known.stores.is_steady(known.now, *id));
        let keeps = known.is_well(shard.primary);
        let well = shard.replicas.iter().copied().filter(|id| known.is_well(*id));
        let heir = if keeps { None } else { well.min_by_key(|id| load.get(id).copied().unwrap_or(0)) };
        let Some(chosen) = home.or(heir) else { continue };
        if chosen != shard.primary {
            *load.entry(chosen).or_default() += 1;
            lead(shard, chosen, epoch);
        }
    }
}

/// Gives a shard to another primary: a new reign begins.
pub fn lead(shard: &mut ShardEntry, primary: StoreId, epoch: Epoch) {
    shard.primary = primary;
    shard.since = epoch;
}
