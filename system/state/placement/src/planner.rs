//! Computes the next placement from the current one.

use crate::balance;
use crate::cluster::ClusterSnapshot;
use crate::primaries;
use crate::repair;
use millrudder_protocol::placement::{Placement, ShardEntry};
use millrudder_protocol::Epoch;

/// Computes the placement of the next epoch from the state of the cluster; `None` if nothing should change.
pub fn next_placement(cluster: &ClusterSnapshot, current: &Placement) -> Option<Placement> {
    let mut next = current.clone();
    next.epoch = Epoch(current.epoch.0 + 1);
    repair::complete_changes(cluster, &mut next);
    repair::abandon_changes(cluster, &mut next);
    repair::begin_changes(cluster, current, &mut next);
    balance::begin_changes(cluster, &mut next);
    refresh_stores(cluster, &mut next);
    primaries::choose_primaries(cluster, &mut next);
    remove_unused_stores(&mut next);
    let is_changed = next.stores != current.stores || next.shards != current.shards;
    is_changed.then_some(next)
}

/// Updates the addresses and the liveness of the listed stores.
fn refresh_stores(cluster: &ClusterSnapshot, next: &mut Placement) {
    for store in &mut next.stores {
        store.alive = cluster.is_healthy(store.id);
        if let Some(status) = cluster.stores.get(store.id) {
            store.address = status.address;
        }
    }
}

/// Removes stores that have neither a replica nor a learner.
fn remove_unused_stores(next: &mut Placement) {
    let shards = &next.shards;
    next.stores.retain(|store| {
        let is_used_by = |shard: &ShardEntry| {
            shard.primary == store.id
                || shard.replicas.contains(&store.id)
                || shard.learner() == Some(store.id)
        };
        shards.iter().any(is_used_by)
    });
}
