//! The initial placement of a cluster.

use crate::changes::store_entry;
use crate::cluster::StoreCounts;
use crate::layout::Layout;
use crate::store_health::StoreStatus;
use millrudder_protocol::placement::{target_replicas, Placement, ShardEntry};
use millrudder_protocol::{Epoch, StoreId};

/// Shards per store. There are enough that the shards of a lost store can be spread evenly over the other stores.
const SHARDS_PER_STORE: usize = 8;
/// Minimum number of shards of a cluster; the number never changes after the initial placement.
const MIN_SHARDS: usize = 24;
/// Maximum number of shards of a cluster.
const MAX_SHARDS: usize = 4096;

/// Assigns the replicas of all shards to stores, with the primaries spread evenly.
pub fn initial_placement(stores: &[&StoreStatus], tolerated_losses: u32, layout: &Layout) -> Placement {
    let shard_count = (SHARDS_PER_STORE * stores.len()).clamp(MIN_SHARDS, MAX_SHARDS);
    let epoch = Epoch(1);
    let mut load = StoreCounts::default();
    let shards = (0..shard_count).map(|number| {
        let replicas = choose_replicas(stores, number, target_replicas(tolerated_losses), &load, layout);
        replicas.iter().for_each(|store| load.increment(*store));
        ShardEntry { primary: replicas[0], replicas, change: None, term: epoch }
    });
    let shards = if stores.is_empty() { Vec::new() } else { shards.collect() };
    Placement {
        epoch,
        tolerated_losses,
        stores: stores.iter().map(|store| store_entry(store)).collect(),
        shards,
    }
}

/// Chooses the stores of one shard. The first is assigned round-robin; each further one has the lowest layout cost,
/// then the fewest replicas. Remaining ties are broken by an order that differs from shard to shard.
fn choose_replicas(
    stores: &[&StoreStatus],
    shard_number: usize,
    target_count: usize,
    load: &StoreCounts,
    layout: &Layout,
) -> Vec<StoreId> {
    let mut remaining = rotated(stores, shard_number);
    let mut chosen = vec![remaining.remove(0)];
    while chosen.len() < target_count && !remaining.is_empty() {
        let zones: Vec<&str> = chosen.iter().map(|store| store.zone.as_str()).collect();
        let rank = |index: &usize| {
            let store = remaining[*index];
            (layout.cost_with(&zones, &store.zone), load.get(store.id))
        };
        let Some(next) = (0..remaining.len()).min_by_key(rank) else { break };
        chosen.push(remaining.remove(next));
    }
    chosen.into_iter().map(|store| store.id).collect()
}

/// The order of the stores for one shard. From shard to shard, the first place rotates over all stores. After each full
/// rotation, the order of the other stores is rotated by one, so that the second place varies too.
fn rotated<'a>(stores: &[&'a StoreStatus], shard_number: usize) -> Vec<&'a StoreStatus> {
    let count = stores.len();
    let (first, turn) = (shard_number % count, shard_number / count);
    let mut order: Vec<&StoreStatus> = (0..count).map(|step| stores[(first + step) % count]).collect();
    if count > 2 {
        order[1..].rotate_left(turn % (count - 1));
    }
    order
}
