//! Choice of each shard's primary.

use crate::changes::assign_primary;
use crate::cluster::{ClusterSnapshot, StoreCounts};
use millrudder_protocol::placement::Placement;
use millrudder_protocol::StoreId;
use std::collections::BTreeMap;

/// Chooses the primary of each shard: the first replica if its store is stable, else the current primary if it is
/// healthy, else the healthy replica that is preferably in the first replica's region and whose store has the fewest
/// primaries.
pub fn choose_primaries(cluster: &ClusterSnapshot, next: &mut Placement) {
    let epoch = next.epoch;
    let mut load = StoreCounts::of(next.shards.iter().map(|shard| shard.primary));
    let zones = zones_of_replicas(cluster, next);
    for shard in &mut next.shards {
        let first = shard.replicas.first().copied();
        let preferred = first.filter(|id| cluster.stores.is_stable(cluster.now, *id));
        let keeps_primary = cluster.is_healthy(shard.primary);
        let healthy = shard.replicas.iter().copied().filter(|id| cluster.is_healthy(*id));
        let is_far = |id: &StoreId| first.is_some_and(|first| is_other_region(cluster, &zones, first, *id));
        let rank = |id: &StoreId| (is_far(id), load.get(*id));
        let substitute = if keeps_primary { None } else { healthy.min_by_key(rank) };
        let Some(chosen) = preferred.or(substitute) else { continue };
        if chosen != shard.primary {
            load.increment(chosen);
            assign_primary(shard, chosen, epoch);
        }
    }
}

fn zones_of_replicas(cluster: &ClusterSnapshot, next: &Placement) -> BTreeMap<StoreId, String> {
    let replicas = next.shards.iter().flat_map(|shard| shard.replicas.iter().copied());
    replicas.map(|id| (id, cluster.zone_of(next, id).to_owned())).collect()
}

fn is_other_region(
    cluster: &ClusterSnapshot,
    zones: &BTreeMap<StoreId, String>,
    one: StoreId,
    other: StoreId,
) -> bool {
    let zone = |id: StoreId| zones.get(&id).map_or("", String::as_str);
    cluster.layout.is_other_region(zone(one), zone(other))
}
