//! Balance: new stores get a fair part of the shards, a few at a time, and only while no store is unhealthy.

use crate::changes;
use crate::cluster::{ClusterSnapshot, Counts};
use crate::store_health::StoreStatus;
use millrudder_protocol::placement::{ChangeReason, Placement, ShardEntry};
use millrudder_protocol::StoreId;

/// Shards that move at one time for the sake of balance.
const MAX_CONCURRENT_MOVES: usize = 8;
/// Two stores whose numbers of replicas differ by less are balanced.
const IMBALANCE_THRESHOLD: usize = 3;

/// A replica that may move to another store. The greatest is the best one to move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Move {
    /// Replicas that the present store has more than the receiver.
    surplus: usize,
    /// It is the shard's first replica and the receiver has fewer first replicas, or it is neither.
    balances_first_replicas: bool,
    /// The shard's primary, which fills the receiver, is in the receiver's zone.
    is_filled_within_zone: bool,
    shard_index: usize,
    leaves: StoreId,
}

/// Numbers of replicas at the stores, as the moves that were begun will leave them.
struct Loads {
    replicas: Counts,
    /// First replicas of shards: a store gets the primaries of those.
    first_replicas: Counts,
}

impl Loads {
    fn of(placement: &Placement) -> Loads {
        let first = placement.shards.iter().filter_map(|shard| shard.replicas.first());
        Loads { replicas: Counts::of_replicas(placement), first_replicas: Counts::of(first.copied()) }
    }

    fn apply(&mut self, placement: &Placement, receiver: StoreId, chosen: &Move) {
        self.replicas.increment(receiver);
        self.replicas.decrement(chosen.leaves);
        if placement.shards[chosen.shard_index].replicas.first() == Some(&chosen.leaves) {
            self.first_replicas.increment(receiver);
            self.first_replicas.decrement(chosen.leaves);
        }
    }
}

/// Begins to move replicas to stores that hold fewer than others.
pub fn begin_changes(cluster: &ClusterSnapshot, next: &mut Placement) {
    if !is_calm(cluster, next) {
        return;
    }
    let mut loads = Loads::of(next);
    let receivers: Vec<&StoreStatus> =
        cluster.candidates().filter(|store| was_spare_long_enough(cluster, store)).collect();
    for _ in 0..MAX_CONCURRENT_MOVES {
        let mut by_load = receivers.clone();
        by_load.sort_by_key(|store| (loads.replicas.get(store.id), store.id));
        let found = by_load
            .into_iter()
            .find_map(|receiver| Some((receiver, best_move(cluster, next, receiver, &loads)?)));
        let Some((receiver, chosen)) = found else { return };
        let leaves = Some(chosen.leaves);
        changes::begin_change(next, chosen.shard_index, receiver, leaves, ChangeReason::Balance);
        loads.apply(next, receiver.id, &chosen);
    }
}

/// Every store is stable, and no change is in progress.
fn is_calm(cluster: &ClusterSnapshot, next: &Placement) -> bool {
    let is_stable = |id: StoreId| cluster.stores.is_stable(cluster.now, id);
    next.shards.iter().all(|shard| shard.change.is_none())
        && next.stores.iter().all(|store| is_stable(store.id))
}

/// A store that has just registered may be meant to replace another one: it is not given shards of others at once.
fn was_spare_long_enough(cluster: &ClusterSnapshot, store: &StoreStatus) -> bool {
    let since = cluster.stores.healthy_since(store.id).unwrap_or(cluster.now);
    cluster.now - since.max(cluster.observed_since) >= cluster.delays.before_balance
}

/// The best replica for `receiver` to take, if it holds fewer than some other store.
fn best_move(
    cluster: &ClusterSnapshot,
    next: &Placement,
    receiver: &StoreStatus,
    loads: &Loads,
) -> Option<Move> {
    let shards = next.shards.iter().enumerate();
    let free = shards.filter(|(_, shard)| shard.change.is_none() && !shard.replicas.contains(&receiver.id));
    let moves = free.flat_map(|(shard_index, shard)| {
        let replicas = shard.replicas.iter().enumerate();
        replicas.filter_map(move |(position, leaves)| {
            let surplus = loads.replicas.get(*leaves).checked_sub(loads.replicas.get(receiver.id))?;
            let lacks_first_replicas =
                loads.first_replicas.get(*leaves) > loads.first_replicas.get(receiver.id) + 1;
            let is_allowed =
                surplus >= IMBALANCE_THRESHOLD && keeps_layout(cluster, next, shard, *leaves, receiver);
            is_allowed.then(|| Move {
                surplus,
                balances_first_replicas: (position == 0) == lacks_first_replicas,
                is_filled_within_zone: cluster.zone_of(next, shard.primary) == receiver.zone,
                shard_index,
                leaves: *leaves,
            })
        })
    });
    moves.max()
}

/// Whether the shard's replicas are laid out no worse than before.
fn keeps_layout(
    cluster: &ClusterSnapshot,
    next: &Placement,
    shard: &ShardEntry,
    leaves: StoreId,
    receiver: &StoreStatus,
) -> bool {
    let zone = |id: &StoreId| cluster.zone_of(next, *id);
    let before: Vec<&str> = shard.replicas.iter().map(zone).collect();
    let others: Vec<&str> = shard.replicas.iter().filter(|id| **id != leaves).map(zone).collect();
    cluster.layout.cost_with(&others, &receiver.zone) <= cluster.layout.cost(&before)
}
