//! Places of shards whose store is lost or is to be emptied go to other stores, one place of a shard at a time.
//!
//! A change begins with a learner that is filled while the replica whose place it takes still counts, and is done once
//! the learner has reported, for this very change, that it holds all of the shard. A change may be given up at any
//! moment: the membership before it held through all of it.

use crate::founding::{entry, replicas_wanted};
use crate::health::Seen;
use crate::knowledge::{loads, numbered, zone_of, Knowledge};
use crate::primaries::lead;
use millrudder_protocol::placement::{ChangeReason, MemberChange, Placement, ShardEntry};
use millrudder_protocol::{Epoch, StoreId};
use std::collections::{BTreeMap, BTreeSet};

/// A learner that has all of one shard but lacks others is waited for so long (ms): each placement costs dispatchers a
/// moment, so a store's shards are better admitted together.
const TOGETHER_MS: u64 = 400;

/// Learners that hold all of their shards become replicas.
pub fn finish(known: &Knowledge, next: &mut Placement) {
    let behind = learners_behind(known, next);
    let epoch = next.epoch;
    for (number, shard) in numbered(&mut next.shards) {
        let Some(change) = shard.change else { continue };
        let Some(report) = known.report(number, &change) else { continue };
        let is_late = known.now.saturating_sub(report.at) >= TOGETHER_MS;
        if known.is_well(change.joins) && (is_late || !behind.contains(&change.joins)) {
            admit(shard, &change, epoch);
        }
    }
}

fn admit(shard: &mut ShardEntry, change: &MemberChange, epoch: Epoch) {
    shard.replicas = shard.replicas_after(change);
    shard.change = None;
    if !shard.replicas.contains(&shard.primary) {
        lead(shard, change.joins, epoch);
    }
}

fn learners_behind(known: &Knowledge, next: &mut Placement) -> BTreeSet<StoreId> {
    let mut behind = BTreeSet::new();
    for (number, shard) in numbered(&mut next.shards) {
        if let Some(change) = shard.change.filter(|change| known.report(number, change).is_none()) {
            behind.insert(change.joins);
        }
    }
    behind
}

/// Changes that are of no use any more end.
pub fn give_up(known: &Knowledge, next: &mut Placement) {
    let useless: Vec<bool> = next.shards.iter().map(|shard| is_useless(known, next, shard)).collect();
    for (shard, useless) in next.shards.iter_mut().zip(useless) {
        if useless {
            shard.change = None;
        }
    }
}

fn is_useless(known: &Knowledge, next: &Placement, shard: &ShardEntry) -> bool {
    let Some(change) = shard.change else { return false };
    if !known.is_well(change.joins) || known.is_retiring(next, change.joins) {
        return true;
    }
    let is_lost = |id: &StoreId| !known.is_well(*id);
    match change.reason {
        ChangeReason::Repair => {
            change.leaves.is_some_and(|id| known.is_well(id) && !known.is_retiring(next, id))
        }
        ChangeReason::Retire => false,
        // A lost replica is more urgent than an even share.
        ChangeReason::Balance => shard.replicas.iter().any(|id| is_lost(id) && change.leaves != Some(*id)),
    }
}

/// Who may take a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Takers {
    /// Stores that hold nothing, or that came after the lost one fell silent.
    Spare,
    All,
}

/// A place that is to go to another store.
struct Need {
    leaves: Option<StoreId>,
    reason: ChangeReason,
    takers: Takers,
}

/// Starts to fill learners in place of replicas that are lost, or whose stores are to be emptied.
pub fn begin(known: &Knowledge, current: &Placement, next: &mut Placement) {
    let mut load = loads(next);
    let holders: BTreeSet<StoreId> =
        current.shards.iter().flat_map(|shard| shard.replicas.iter().copied()).collect();
    let epoch = next.epoch;
    for at in 0..next.shards.len() {
        let shard = &next.shards[at];
        if shard.change.is_some() {
            continue;
        }
        let Some(need) = need_of(known, next, shard) else { continue };
        let Some(taker) = taker(known, next, shard, &need, &holders, &load) else { continue };
        let taker = taker.clone();
        start(next, at, &taker, &need, epoch);
        *load.entry(taker.id).or_default() += 1;
    }
}

fn start(next: &mut Placement, at: usize, taker: &Seen, need: &Need, epoch: Epoch) {
    if next.store(taker.id).is_none() {
        next.stores.push(entry(taker));
    }
    let (leaves, reason) = (need.leaves, need.reason);
    next.shards[at].change = Some(MemberChange { joins: taker.id, leaves, epoch: epoch, reason });
}

/// The most urgent place of a shard.
fn need_of(known: &Knowledge, next: &Placement, shard: &ShardEntry) -> Option<Need> {
    let repair = |leaves, takers| Some(Need { leaves, reason: ChangeReason::Repair, takers });
    if let Some(gone) = shard.replicas.iter().find(|id| known.is_gone(next, **id)) {
        return repair(Some(*gone), Takers::All);
    }
    let urgency = |id: &&StoreId| (known.unwell_ms(**id), known.stores.is_leaving(known.now, **id));
    if let Some(lost) = shard.replicas.iter().max_by_key(urgency) {
        let unwell_ms = known.unwell_ms(*lost);
        if unwell_ms >= known.patience.without_spare_ms {
            return repair(Some(*lost), Takers::All);
        }
        // One that stops may never come back: while it still serves, nothing is lost by a successor.
        if unwell_ms >= known.patience.with_spare_ms || known.stores.is_leaving(known.now, *lost) {
            return repair(Some(*lost), Takers::Spare);
        }
    }
    if shard.replicas.len() < replicas_wanted(known.tolerated_losses) {
        return repair(None, Takers::All);
    }
    let retiring = shard.replicas.iter().find(|id| known.is_retiring(next, **id))?;
    Some(Need { leaves: Some(*retiring), reason: ChangeReason::Retire, takers: Takers::All })
}

/// The store that takes a place: where the layout asks for one, and with the least to hold.
fn taker<'a>(
    known: &'a Knowledge,
    next: &Placement,
    shard: &ShardEntry,
    need: &Need,
    holders: &BTreeSet<StoreId>,
    load: &BTreeMap<StoreId, usize>,
) -> Option<&'a Seen> {
    let stay = shard.replicas.iter().copied().filter(|id| Some(*id) != need.leaves);
    let zones: Vec<&str> = stay.map(|id| zone_of(next, known.stores, id)).collect();
    let is_spare = |seen: &&Seen| need.takers == Takers::All || is_spare_for(known, need, holders, seen.id);
    let free = known.candidates().filter(|seen| !shard.replicas.contains(&seen.id)).filter(is_spare);
    let rank = |seen: &&Seen| {
        let held = load.get(&seen.id).copied().unwrap_or(0);
        (known.layout.misfit_with(&zones, &seen.zone), held, seen.id)
    };
    free.min_by_key(rank)
}

fn is_spare_for(known: &Knowledge, need: &Need, holders: &BTreeSet<StoreId>, id: StoreId) -> bool {
    let Some(lost) = need.leaves.filter(|_| holders.contains(&id)) else { return true };
    let fell_silent = known.now.saturating_sub(known.unwell_ms(lost));
    let was_seen = known.stores.get(lost).is_some();
    was_seen && known.stores.first_seen(id).is_some_and(|seen| seen > fell_silent)
}
