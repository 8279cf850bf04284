//! Balancing: moves an even share of the replicas to new stores, a few at a time and only while every store is stable.

use crate::changes;
use crate::cluster::{ClusterSnapshot, StoreCounts};
use crate::store_health::StoreStatus;
use millrudder_protocol::placement::{ChangeReason, Placement, ShardEntry};
use millrudder_protocol::StoreId;

/// Maximum number of replicas that are moved at the same time for balance.
const MAX_CONCURRENT_MOVES: usize = 8;
/// Two stores are balanced if their numbers of replicas differ by less than this.
const IMBALANCE_THRESHOLD: usize = 3;

/// A possible move of a replica to a given receiver. The greatest in the derived order is the best move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Move {
    /// How many more replicas the current store has than the receiver.
    surplus: usize,
    /// True if this is the shard's first replica and the receiver lacks first replicas compared with the current store,
    /// or if neither is the case.
    balances_first_replicas: bool,
    /// Whether the shard's primary, from which the receiver copies the data, is in the receiver's zone.
    is_filled_within_zone: bool,
    shard_index: usize,
    leaves: StoreId,
}

/// Numbers of replicas per store, as they will be after the moves begun so far.
struct Loads {
    replicas: StoreCounts,
    /// First replicas of shards. A stable store is the primary of the shards whose first replica it has.
    first_replicas: StoreCounts,
}

impl Loads {
    fn of(placement: &Placement) -> Loads {
        let first = placement.shards.iter().filter_map(|shard| shard.replicas.first());
        Loads {
            replicas: StoreCounts::of_replicas(placement),
            first_replicas: StoreCounts::of(first.copied()),
        }
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

/// Begins to move replicas to stores that have fewer than others.
pub fn begin_changes(cluster: &ClusterSnapshot, next: &mut Placement) {
    if !can_begin_balancing(cluster, next) {
        return;
    }
    let mut loads = Loads::of(next);
    let receivers: Vec<&StoreStatus> =
        cluster.candidates().filter(|store| has_passed_balance_delay(cluster, store)).collect();
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

/// Whether every store is stable and no membership change is in progress.
fn can_begin_balancing(cluster: &ClusterSnapshot, next: &Placement) -> bool {
    let is_stable = |id: StoreId| cluster.stores.is_stable(cluster.now, id);
    next.shards.iter().all(|shard| shard.change.is_none())
        && next.stores.iter().all(|store| is_stable(store.id))
}

/// Whether a store has been healthy for long enough to receive replicas for balance. A store that has just registered
/// may be meant to replace another one, so it receives none at first.
fn has_passed_balance_delay(cluster: &ClusterSnapshot, store: &StoreStatus) -> bool {
    let since = cluster.stores.healthy_since(store.id).unwrap_or(cluster.now);
    cluster.now - since.max(cluster.observed_since) >= cluster.delays.before_balance
}

/// The best move of a replica to `receiver`, if some other store has enough replicas more.
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
            let receiver_lacks_first_replicas =
                loads.first_replicas.get(*leaves) > loads.first_replicas.get(receiver.id) + 1;
            let is_allowed =
                surplus >= IMBALANCE_THRESHOLD && keeps_layout(cluster, next, shard, *leaves, receiver);
            is_allowed.then(|| Move {
                surplus,
                balances_first_replicas: (position == 0) == receiver_lacks_first_replicas,
                is_filled_within_zone: cluster.zone_of(next, shard.primary) == receiver.zone,
                shard_index,
                leaves: *leaves,
            })
        })
    });
    moves.max()
}

/// Whether the layout cost of the shard would be no higher with `receiver` in place of `leaves`.
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
