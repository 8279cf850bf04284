//! Which replica of a shard is its primary.

use crate::knowledge::{zone_of, Knowledge};
use millrudder_protocol::placement::{Placement, ShardEntry};
use millrudder_protocol::{Epoch, StoreId};
use std::collections::BTreeMap;

/// A shard is led by the first of its replicas that is steady, or stays where it is while that one is well; else by
/// one of the first one's region, if any there is well.
pub fn choose(known: &Knowledge, next: &mut Placement) {
    let epoch = next.epoch;
    let mut load: BTreeMap<StoreId, usize> = BTreeMap::new();
    for shard in &next.shards {
        *load.entry(shard.primary).or_default() += 1;
    }
    let zones = zones(known, next);
    for shard in &mut next.shards {
        let first = shard.replicas.first().copied();
        let home = first.filter(|id| known.stores.is_steady(known.now, *id));
        let keeps = known.is_well(shard.primary);
        let well = shard.replicas.iter().copied().filter(|id| known.is_well(*id));
        let is_far = |id: &StoreId| first.is_some_and(|first| is_other_region(known, &zones, first, *id));
        let rank = |id: &StoreId| (is_far(id), load.get(id).copied().unwrap_or(0));
        let heir = if keeps { None } else { well.min_by_key(rank) };
        let Some(chosen) = home.or(heir) else { continue };
        if chosen != shard.primary {
            *load.entry(chosen).or_default() += 1;
            lead(shard, chosen, epoch);
        }
    }
}

/// Zones of all stores that hold something.
fn zones(known: &Knowledge, next: &Placement) -> BTreeMap<StoreId, String> {
    let replicas = next.shards.iter().flat_map(|shard| shard.replicas.iter().copied());
    replicas.map(|id| (id, zone_of(next, known.stores, id).to_owned())).collect()
}

fn is_other_region(
    known: &Knowledge,
    zones: &BTreeMap<StoreId, String>,
    one: StoreId,
    other: StoreId,
) -> bool {
    let zone = |id: StoreId| zones.get(&id).map_or("", String::as_str);
    known.layout.is_other_region(zone(one), zone(other))
}

/// Gives a shard to another primary: a new reign begins.
pub fn lead(shard: &mut ShardEntry, primary: StoreId, epoch: Epoch) {
    shard.primary = primary;
    shard.term = epoch;
}
