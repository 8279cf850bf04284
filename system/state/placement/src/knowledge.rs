//! What a placement is decided by, and how stores are judged from it.

use crate::health::{Seen, Stores};
use crate::layout::Layout;
use millrudder_protocol::placement::{MemberChange, Placement, ShardEntry};
use millrudder_protocol::{Epoch, ShardId, StoreId};
use std::collections::{BTreeMap, BTreeSet};

/// A learner's report that it has all of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Epoch of the change in which it was filled.
    pub change: Epoch,
    /// When it was heard first.
    pub at: u64,
}

/// Reports by shard and learner.
pub type CaughtUp = BTreeMap<(ShardId, StoreId), Report>;

/// How long a store may be away before others take its place (ms).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// Where a store stands by that holds nothing: filling it costs nobody anything else.
    pub with_spare_ms: u64,
    /// Where stores that hold shards would have to take more.
    pub without_spare_ms: u64,
    /// A newcomer is left to stand by for so long, before it gets a share of what others hold.
    pub newcomer_ms: u64,
}

impl Patience {
    /// From the time in which a replaced machine must hold all again: a third of it is for a restart, which needs no
    /// repair; the rest is for the filling. Away from a spare, three times as much is granted, since a store that is
    /// away for so long was not restarted.
    pub fn from_catch_up(catch_up_ms: u64) -> Self {
        Patience {
            with_spare_ms: catch_up_ms / 3,
            without_spare_ms: catch_up_ms * 3,
            newcomer_ms: catch_up_ms,
        }
    }
}

/// All that a decision rests on.
pub struct Knowledge<'a> {
    pub now: u64,
    pub tolerated_losses: u32,
    pub stores: &'a Stores,
    pub caught_up: &'a CaughtUp,
    /// Names of the machines that are to be emptied, or were.
    pub retiring: &'a BTreeSet<String>,
    pub patience: Patience,
    pub layout: &'a Layout,
    /// Since when this manager has been listening.
    pub watched_since: u64,
}

impl Knowledge<'_> {
    pub fn is_well(&self, id: StoreId) -> bool {
        self.stores.is_well(self.now, id)
    }

    pub fn is_retiring(&self, placement: &Placement, id: StoreId) -> bool {
        if self.retiring.is_empty() {
            return false;
        }
        let name = placement.store(id).map(|store| store.name.as_str());
        let name = name.or_else(|| self.stores.get(id).map(|seen| seen.name.as_str()));
        name.is_some_and(|name| self.retiring.contains(name))
    }

    /// Its disk never comes back.
    pub fn is_gone(&self, placement: &Placement, id: StoreId) -> bool {
        placement.store(id).is_some_and(|store| self.stores.is_gone(self.now, id, &store.name))
    }

    pub fn unwell_ms(&self, id: StoreId) -> u64 {
        self.stores.unwell_ms(self.now, id, self.watched_since)
    }

    /// Stores that may be given shards.
    pub fn candidates(&self) -> impl Iterator<Item = &Seen> {
        let may_join =
            |seen: &&Seen| self.stores.is_steady(self.now, seen.id) && !self.retiring.contains(&seen.name);
        self.stores.iter().filter(may_join)
    }

    /// The learner of a change has said that it holds all of the shard.
    pub fn report(&self, shard: ShardId, change: &MemberChange) -> Option<Report> {
        let report = self.caught_up.get(&(shard, change.joins)).copied();
        report.filter(|report| report.change == change.epoch)
    }
}

/// Shards with their numbers.
pub fn numbered(shards: &mut [ShardEntry]) -> impl Iterator<Item = (ShardId, &mut ShardEntry)> {
    shards
        .iter_mut()
        .enumerate()
        .filter_map(|(number, shard)| Some((ShardId(u16::try_from(number).ok()?), shard)))
}

/// Places of shards that each store has or is being filled for.
pub fn loads(placement: &Placement) -> BTreeMap<StoreId, usize> {
    let mut loads: BTreeMap<StoreId, usize> = BTreeMap::new();
    for shard in &placement.shards {
        for store in shard.replicas.iter().copied().chain(shard.learner()) {
            *loads.entry(store).or_default() += 1;
        }
    }
    loads
}

/// Zones of the stores in a placement, and of those that registered.
pub fn zone_of<'a>(placement: &'a Placement, stores: &'a Stores, id: StoreId) -> &'a str {
    let agreed = placement.store(id).map(|store| store.zone.as_str());
    agreed.or_else(|| stores.get(id).map(|seen| seen.zone.as_str())).unwrap_or_default()
}
