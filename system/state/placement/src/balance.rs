//! New stores get their share of what others hold, a few shards at a time, and only while all is calm.

use crate::founding::entry;
use crate::health::Seen;
use crate::knowledge::{loads, zone_of, Knowledge};
use millrudder_protocol::placement::{ChangeReason, MemberChange, Placement, ShardEntry};
use millrudder_protocol::StoreId;
use std::collections::BTreeMap;

/// Shards on their way at one time for the sake of even shares.
const MOVES_AT_ONCE: usize = 8;
/// Two stores whose loads differ by less are even.
const UNEVEN: usize = 3;

/// A place that may go from one store to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Move {
    /// Places that the present holder has more than the taker.
    surplus: usize,
    /// The place of the shard's home, if the taker has fewer homes than the present holder, or another place if not.
    suits_homes: bool,
    /// The shard's primary, which fills the taker, is in the taker's zone.
    fills_within_zone: bool,
    shard: usize,
    leaves: StoreId,
}

/// Starts to move places to stores that hold fewer than others.
pub fn begin(known: &Knowledge, next: &mut Placement) {
    if !is_calm(known, next) {
        return;
    }
    let mut load = loads(next);
    let mut homes = homes(next);
    let takers: Vec<Seen> = known.candidates().filter(|seen| has_stood_by(known, seen)).cloned().collect();
    for _ in 0..MOVES_AT_ONCE {
        let mut by_load: Vec<&Seen> = takers.iter().collect();
        by_load.sort_by_key(|seen| (count(&load, seen.id), seen.id));
        let found =
            by_load.into_iter().find_map(|taker| Some((taker, best(known, next, taker, &load, &homes)?)));
        let Some((taker, chosen)) = found else { return };
        start(next, taker, &chosen);
        *load.entry(taker.id).or_default() += 1;
        if let Some(held) = load.get_mut(&chosen.leaves) {
            *held -= 1;
        }
        if next.shards[chosen.shard].replicas.first() == Some(&chosen.leaves) {
            *homes.entry(taker.id).or_default() += 1;
            homes.entry(chosen.leaves).and_modify(|held| *held -= 1);
        }
    }
}

/// Every store is well, no change is under way.
fn is_calm(known: &Knowledge, next: &Placement) -> bool {
    let is_steady = |id: StoreId| known.stores.is_steady(known.now, id);
    next.shards.iter().all(|shard| shard.change.is_none())
        && next.stores.iter().all(|store| is_steady(store.id))
}

/// A store that has just come may be meant to replace another one: it is not given shares of others at once.
fn has_stood_by(known: &Knowledge, seen: &Seen) -> bool {
    let since = known.stores.well_since(seen.id).unwrap_or(known.now);
    known.now.saturating_sub(since.max(known.watched_since)) >= known.patience.newcomer_ms
}

fn count(counts: &BTreeMap<StoreId, usize>, id: StoreId) -> usize {
    counts.get(&id).copied().unwrap_or(0)
}

/// Shards whose first replica a store is.
fn homes(next: &Placement) -> BTreeMap<StoreId, usize> {
    let mut homes: BTreeMap<StoreId, usize> = BTreeMap::new();
    for home in next.shards.iter().filter_map(|shard| shard.replicas.first()) {
        *homes.entry(*home).or_default() += 1;
    }
    homes
}

/// The best place for `taker` to take, if it holds fewer than some other store.
fn best(
    known: &Knowledge,
    next: &Placement,
    taker: &Seen,
    load: &BTreeMap<StoreId, usize>,
    homes: &BTreeMap<StoreId, usize>,
) -> Option<Move> {
    let free =
        |shard: &&(usize, &ShardEntry)| shard.1.change.is_none() && !shard.1.replicas.contains(&taker.id);
    let shards: Vec<(usize, &ShardEntry)> = next.shards.iter().enumerate().collect();
    let moves = shards.iter().filter(free).flat_map(|(at, shard)| {
        let places = shard.replicas.iter().enumerate();
        places.filter_map(move |(place, leaves)| {
            let surplus = count(load, *leaves).checked_sub(count(load, taker.id))?;
            let needs_homes = count(homes, *leaves) > count(homes, taker.id) + 1;
            let fills_within_zone = zone_of(next, known.stores, shard.primary) == taker.zone;
            let suits_homes = (place == 0) == needs_homes;
            let is_allowed = surplus >= UNEVEN && keeps_layout(known, next, shard, *leaves, taker);
            is_allowed.then_some(Move {
                surplus,
                suits_homes,
                fills_within_zone,
                shard: *at,
                leaves: *leaves,
            })
        })
    });
    moves.max()
}

/// The shard's replicas are laid out no worse than before.
fn keeps_layout(
    known: &Knowledge,
    next: &Placement,
    shard: &ShardEntry,
    leaves: StoreId,
    taker: &Seen,
) -> bool {
    let zone = |id: &StoreId| zone_of(next, known.stores, *id);
    let before: Vec<&str> = shard.replicas.iter().map(zone).collect();
    let stay: Vec<&str> = shard.replicas.iter().filter(|id| **id != leaves).map(zone).collect();
    known.layout.misfit_with(&stay, &taker.zone) <= known.layout.misfit(&before)
}

fn start(next: &mut Placement, taker: &Seen, chosen: &Move) {
    if next.store(taker.id).is_none() {
        next.stores.push(entry(taker));
    }
    let (joins, leaves, since) = (taker.id, Some(chosen.leaves), next.epoch);
    next.shards[chosen.shard].change =
        Some(MemberChange { joins, leaves, epoch: since, reason: ChangeReason::Balance });
}
