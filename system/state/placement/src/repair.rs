//! Repair: moves replicas from lost or retiring stores to other stores, one replica of a shard at a time.
//!
//! A membership change begins by adding a learner, which copies the shard's data while the replica that it replaces
//! still counts towards quorums. The change is completed once the learner has reported that it has caught up for this
//! particular change. A change can be abandoned at any time, because the previous membership stays valid until it is
//! completed.

use crate::changes::{assign_primary, begin_change};
use crate::cluster::{shards_with_ids, ClusterSnapshot, StoreCounts};
use crate::store_health::StoreStatus;
use millrudder_protocol::placement::{target_replicas, ChangeReason, MemberChange, Placement, ShardEntry};
use millrudder_protocol::{Epoch, StoreId};
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a learner that has caught up with one shard waits for its other shards. Each new placement briefly holds up
/// the dispatchers, so the changes of one store are completed together if possible.
const COMPLETE_TOGETHER_WITHIN: Duration = Duration::from_millis(400);

/// Completes the changes of learners that have caught up with all of their shards, or that have waited for
/// [`COMPLETE_TOGETHER_WITHIN`] since they caught up with one.
pub fn complete_changes(cluster: &ClusterSnapshot, next: &mut Placement) {
    let behind = learners_behind(cluster, next);
    let completed: Vec<usize> = shards_with_ids(&next.shards)
        .filter(|(number, shard)| {
            let Some(change) = shard.change else { return false };
            let Some(caught_up_at) = cluster.caught_up_at(*number, &change) else { return false };
            let has_waited = cluster.now - caught_up_at >= COMPLETE_TOGETHER_WITHIN;
            cluster.is_healthy(change.joins) && (has_waited || !behind.contains(&change.joins))
        })
        .map(|(number, _)| usize::from(number.0))
        .collect();
    let epoch = next.epoch;
    for index in completed {
        complete_change(&mut next.shards[index], epoch);
    }
}

fn complete_change(shard: &mut ShardEntry, epoch: Epoch) {
    let Some(change) = shard.change.take() else { return };
    shard.replicas = shard.replicas_after(&change);
    if !shard.replicas.contains(&shard.primary) {
        assign_primary(shard, change.joins, epoch);
    }
}

/// Learners that have not yet caught up with at least one of their shards.
fn learners_behind(cluster: &ClusterSnapshot, next: &Placement) -> BTreeSet<StoreId> {
    let is_behind = |(number, shard): (_, &ShardEntry)| {
        let change = shard.change.filter(|change| cluster.caught_up_at(number, change).is_none())?;
        Some(change.joins)
    };
    shards_with_ids(&next.shards).filter_map(is_behind).collect()
}

/// Ends changes that are no longer useful.
pub fn abandon_changes(cluster: &ClusterSnapshot, next: &mut Placement) {
    let obsolete: Vec<bool> = next.shards.iter().map(|shard| is_obsolete(cluster, next, shard)).collect();
    for (shard, is_obsolete) in next.shards.iter_mut().zip(obsolete) {
        if is_obsolete {
            shard.change = None;
        }
    }
}

fn is_obsolete(cluster: &ClusterSnapshot, next: &Placement, shard: &ShardEntry) -> bool {
    let Some(change) = shard.change else { return false };
    if !cluster.is_healthy(change.joins) || cluster.is_retiring(next, change.joins) {
        return true;
    }
    match change.reason {
        ChangeReason::Repair => {
            change.leaves.is_some_and(|id| cluster.is_healthy(id) && !cluster.is_retiring(next, id))
        }
        ChangeReason::Retire => false,
        ChangeReason::Balance => has_more_urgent_repair(cluster, shard, &change),
    }
}

/// Whether a replica other than the leaving one is on an unhealthy store. Repairing it takes precedence over balancing.
fn has_more_urgent_repair(cluster: &ClusterSnapshot, shard: &ShardEntry, change: &MemberChange) -> bool {
    shard.replicas.iter().any(|id| !cluster.is_healthy(*id) && change.leaves != Some(*id))
}

/// Which stores may take over a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CandidateFilter {
    /// Stores without replicas, and stores that first registered after the lost store became unhealthy.
    SparesOnly,
    /// Any store.
    All,
}

/// A replica that is to be replaced or added.
struct Repair {
    /// The replica to be replaced; `None` if the shard has too few replicas and needs an additional one.
    leaves: Option<StoreId>,
    reason: ChangeReason,
    candidates: CandidateFilter,
}

/// Adds learners that will replace replicas on lost or retiring stores.
pub fn begin_changes(cluster: &ClusterSnapshot, current: &Placement, next: &mut Placement) {
    let mut load = StoreCounts::of_replicas(next);
    let holders: BTreeSet<StoreId> =
        current.shards.iter().flat_map(|shard| shard.replicas.iter().copied()).collect();
    for index in 0..next.shards.len() {
        let shard = &next.shards[index];
        if shard.change.is_some() {
            continue;
        }
        let Some(repair) = most_urgent_repair(cluster, next, shard) else { continue };
        let Some(learner) = choose_learner(cluster, next, shard, &repair, &holders, &load) else { continue };
        begin_change(next, index, learner, repair.leaves, repair.reason);
        load.increment(learner.id);
    }
}

fn most_urgent_repair(cluster: &ClusterSnapshot, next: &Placement, shard: &ShardEntry) -> Option<Repair> {
    let repair = |leaves, candidates| Some(Repair { leaves, reason: ChangeReason::Repair, candidates });
    if let Some(replaced) = shard.replicas.iter().find(|id| cluster.is_replaced(next, **id)) {
        return repair(Some(*replaced), CandidateFilter::All);
    }
    let is_shutting_down = |id: StoreId| cluster.stores.is_shutting_down(cluster.now, id);
    let urgency = |id: &&StoreId| (cluster.unhealthy_for(**id), is_shutting_down(**id));
    if let Some(lost) = shard.replicas.iter().max_by_key(urgency) {
        let unhealthy_for = cluster.unhealthy_for(*lost);
        if unhealthy_for >= cluster.delays.without_spare {
            return repair(Some(*lost), CandidateFilter::All);
        }
        // A store that shuts down may never come back. It still serves, so replacing it without delay loses nothing.
        if unhealthy_for >= cluster.delays.with_spare || is_shutting_down(*lost) {
            return repair(Some(*lost), CandidateFilter::SparesOnly);
        }
    }
    if shard.replicas.len() < target_replicas(cluster.tolerated_losses) {
        return repair(None, CandidateFilter::All);
    }
    let retiring = *shard.replicas.iter().find(|id| cluster.is_retiring(next, **id))?;
    let (reason, candidates) = (ChangeReason::Retire, CandidateFilter::All);
    Some(Repair { leaves: Some(retiring), reason, candidates })
}

/// Chooses the eligible store with the lowest layout cost; ties go to the store with the fewest replicas.
fn choose_learner<'a>(
    cluster: &'a ClusterSnapshot,
    next: &Placement,
    shard: &ShardEntry,
    repair: &Repair,
    holders: &BTreeSet<StoreId>,
    load: &StoreCounts,
) -> Option<&'a StoreStatus> {
    let others = shard.replicas.iter().copied().filter(|id| Some(*id) != repair.leaves);
    let zones: Vec<&str> = others.map(|id| cluster.zone_of(next, id)).collect();
    let is_eligible = |store: &&StoreStatus| match repair.candidates {
        CandidateFilter::All => true,
        CandidateFilter::SparesOnly => is_spare(cluster, repair, holders, store.id),
    };
    let free = cluster.candidates().filter(|store| !shard.replicas.contains(&store.id)).filter(is_eligible);
    let rank =
        |store: &&StoreStatus| (cluster.layout.cost_with(&zones, &store.zone), load.get(store.id), store.id);
    free.min_by_key(rank)
}

/// Whether a store has no replicas, or first registered after the lost store became unhealthy.
fn is_spare(cluster: &ClusterSnapshot, repair: &Repair, holders: &BTreeSet<StoreId>, id: StoreId) -> bool {
    let Some(lost) = repair.leaves.filter(|_| holders.contains(&id)) else { return true };
    let unhealthy_since = cluster.now - cluster.unhealthy_for(lost);
    let has_registered = cluster.stores.get(lost).is_some();
    has_registered && cluster.stores.first_registered_at(id).is_some_and(|at| at > unhealthy_since)
}
