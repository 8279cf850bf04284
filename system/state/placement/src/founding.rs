//! The first placement.

use crate::health::Seen;
use crate::layout::Layout;
use millrudder_protocol::placement::{Placement, ShardEntry, StoreEntry};
use millrudder_protocol::{Epoch, StoreId};
use std::collections::BTreeMap;

/// Shards for each store at the founding: so many that a lost store's part is spread evenly over the others.
const SHARDS_A_STORE: usize = 8;
/// Bounds on the number of shards, which never changes afterwards.
const FEWEST_SHARDS: usize = 24;
const MOST_SHARDS: usize = 4096;

/// Replicas of a shard: any f+1 may be written, so that any f may be lost and the rest still tells all.
pub fn replicas_wanted(tolerated_losses: u32) -> usize {
    2 * tolerated_losses as usize + 1
}

/// Lays out all shards over the stores, primaries even.
pub fn found(stores: &[&Seen], tolerated_losses: u32, layout: &Layout) -> Placement {
    let count = (SHARDS_A_STORE * stores.len()).clamp(FEWEST_SHARDS, MOST_SHARDS);
    let epoch = Epoch(1);
    let mut load: BTreeMap<StoreId, usize> = BTreeMap::new();
    let shards = (0..count).map(|number| {
        let replicas = spread(stores, number, replicas_wanted(tolerated_losses), &load, layout);
        for store in &replicas {
            *load.entry(*store).or_default() += 1;
        }
        ShardEntry { primary: replicas[0], replicas, change: None, term: epoch }
    });
    let shards = if stores.is_empty() { Vec::new() } else { shards.collect() };
    Placement { epoch, tolerated_losses, stores: stores.iter().map(|seen| entry(seen)).collect(), shards }
}

pub fn entry(seen: &Seen) -> StoreEntry {
    StoreEntry {
        id: seen.id,
        name: seen.name.clone(),
        zone: seen.zone.clone(),
        address: seen.address,
        alive: true,
    }
}

/// `wanted` stores for shard `number`: the first in turn, the others after it in an order that differs from shard to
/// shard; those first that the layout asks for, then those that hold least.
fn spread(
    stores: &[&Seen],
    number: usize,
    wanted: usize,
    load: &BTreeMap<StoreId, usize>,
    layout: &Layout,
) -> Vec<StoreId> {
    let count = stores.len();
    let (first, round) = (number % count, number / count);
    let mut order: Vec<&Seen> = (0..count).map(|step| stores[(first + step) % count]).collect();
    // The stores after the first take turns at being second.
    if count > 2 {
        order[1..].rotate_left(round % (count - 1));
    }
    let mut chosen = vec![order.remove(0)];
    while chosen.len() < wanted && !order.is_empty() {
        let zones: Vec<&str> = chosen.iter().map(|seen| seen.zone.as_str()).collect();
        let misfit = |seen: &Seen| layout.misfit_with(&zones, &seen.zone);
        let rank = |at: &usize| (misfit(order[*at]), load.get(&order[*at].id).copied().unwrap_or(0));
        let Some(next) = (0..order.len()).min_by_key(rank) else { break };
        chosen.push(order.remove(next));
    }
    chosen.into_iter().map(|seen| seen.id).collect()
}
