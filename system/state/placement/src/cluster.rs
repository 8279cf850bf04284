//! Input of a placement decision: the known state of the cluster at one point in time.

use crate::layout::Layout;
use crate::learner_reports::LearnerReports;
use crate::store_health::{StoreStatus, StoreTable};
use millrudder_clock::Instant;
use millrudder_protocol::placement::{MemberChange, Placement, ShardEntry};
use millrudder_protocol::{ShardId, StoreId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Delays before shards move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepairDelays {
    /// How long a store must be unhealthy before a spare store replaces it. This is the shorter delay, since a spare
    /// has no replicas and the other stores need not take on more.
    pub with_spare: Duration,
    /// How long a store must be unhealthy before stores that already hold replicas take over its replicas.
    pub without_spare: Duration,
    /// How long a new store must have been healthy before replicas are moved to it for balance.
    pub before_balance: Duration,
}

impl RepairDelays {
    /// Derives the delays from the time within which a replacement must have caught up.
    ///
    /// A third of this time allows for a restart, which needs no repair; the rest is for copying the data. Without a
    /// spare store, the delay is three times `catch_up`, since a store that is absent for that long has not just
    /// restarted.
    pub fn from_catch_up(catch_up: Duration) -> Self {
        // Rounded down to whole milliseconds, like all times it is compared with.
        let third = Duration::from_millis(u64::try_from(catch_up.as_millis()).unwrap_or(u64::MAX) / 3);
        RepairDelays {
            with_spare: third,
            without_spare: catch_up.saturating_mul(3),
            before_balance: catch_up,
        }
    }
}

/// The known state of the cluster at the time of a placement decision.
pub struct ClusterSnapshot<'a> {
    /// Time of the decision.
    pub now: Instant,
    /// How many stores may be lost at the same time without losing a message.
    pub tolerated_losses: u32,
    /// Registered stores and their health.
    pub stores: &'a StoreTable,
    /// Reports by learners that they have caught up.
    pub learner_reports: &'a LearnerReports,
    /// Names of machines that are retiring or have retired.
    pub retiring: &'a BTreeSet<String>,
    /// Delays before shards move.
    pub delays: RepairDelays,
    /// Rule for spreading replicas over zones and regions.
    pub layout: &'a Layout,
    /// When this manager started to receive heartbeats.
    pub observed_since: Instant,
}

impl ClusterSnapshot<'_> {
    /// Whether a store is healthy now.
    pub fn is_healthy(&self, id: StoreId) -> bool {
        self.stores.is_healthy(self.now, id)
    }

    /// Whether a store's machine is retiring or has retired.
    pub fn is_retiring(&self, placement: &Placement, id: StoreId) -> bool {
        if self.retiring.is_empty() {
            return false;
        }
        let name = placement.store(id).map(|store| store.name.as_str());
        let name = name.or_else(|| self.stores.get(id).map(|store| store.name.as_str()));
        name.is_some_and(|name| self.retiring.contains(name))
    }

    /// Whether a store's disk has been replaced, so that the store will never come back.
    pub fn is_replaced(&self, placement: &Placement, id: StoreId) -> bool {
        placement.store(id).is_some_and(|store| self.stores.is_replaced(self.now, id, &store.name))
    }

    /// How long a store has been unhealthy; zero while it is healthy.
    pub fn unhealthy_for(&self, id: StoreId) -> Duration {
        self.stores.unhealthy_for(self.now, id, self.observed_since)
    }

    /// Stores that may receive new replicas: stable and not retiring.
    pub fn candidates(&self) -> impl Iterator<Item = &StoreStatus> {
        let may_join = |store: &&StoreStatus| {
            self.stores.is_stable(self.now, store.id) && !self.retiring.contains(&store.name)
        };
        self.stores.iter().filter(may_join)
    }

    /// When the learner of a change reported that it has caught up; `None` if it has not.
    pub fn caught_up_at(&self, shard: ShardId, change: &MemberChange) -> Option<Instant> {
        self.learner_reports.caught_up_at(shard, change)
    }

    /// Zone of a store, from the placement or else from its registration; empty if the store is unknown.
    pub fn zone_of<'p>(&'p self, placement: &'p Placement, id: StoreId) -> &'p str {
        let placed = placement.store(id).map(|store| store.zone.as_str());
        placed.or_else(|| self.stores.get(id).map(|store| store.zone.as_str())).unwrap_or_default()
    }
}

/// Pairs each shard of a placement with its ID.
pub fn shards_with_ids(shards: &[ShardEntry]) -> impl Iterator<Item = (ShardId, &ShardEntry)> {
    shards.iter().enumerate().filter_map(|(index, shard)| Some((ShardId(u16::try_from(index).ok()?), shard)))
}

/// A count for each store, such as its number of replicas.
#[derive(Clone, Debug, Default)]
pub struct StoreCounts {
    counts: BTreeMap<StoreId, usize>,
}

impl StoreCounts {
    /// StoreCounts how often each store occurs.
    pub fn of(stores: impl Iterator<Item = StoreId>) -> StoreCounts {
        let mut counts = StoreCounts::default();
        stores.for_each(|store| counts.increment(store));
        counts
    }

    /// StoreCounts the replicas and learners of each store in a placement.
    pub fn of_replicas(placement: &Placement) -> StoreCounts {
        StoreCounts::of(
            placement.shards.iter().flat_map(|shard| shard.replicas.iter().copied().chain(shard.learner())),
        )
    }

    /// Count of one store.
    pub fn get(&self, store: StoreId) -> usize {
        self.counts.get(&store).copied().unwrap_or(0)
    }

    /// Adds one to the count of a store.
    pub fn increment(&mut self, store: StoreId) {
        *self.counts.entry(store).or_default() += 1;
    }

    /// Subtracts one from the count of a store; does nothing if the store was never counted.
    pub fn decrement(&mut self, store: StoreId) {
        if let Some(count) = self.counts.get_mut(&store) {
            *count -= 1;
        }
    }
}
