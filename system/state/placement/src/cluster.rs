//! The inputs of a decision: what is known of the cluster at one time.

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
    /// How long a store must be unhealthy before a spare store replaces it: filling one that holds nothing costs the
    /// others nothing.
    pub with_spare: Duration,
    /// The same where stores that hold shards would have to take more.
    pub without_spare: Duration,
    /// How long a new store stays a spare before it gets shards of others.
    pub before_balance: Duration,
}

impl RepairDelays {
    /// Derives the delays from the time in which a replacement must have caught up.
    ///
    /// A third of it is granted for a restart, which needs no repair; the rest is for the filling. Without a spare, three
    /// times as much is granted, since a store that is away for so long was not just restarted.
    pub fn from_catch_up(catch_up: Duration) -> Self {
        // In whole milliseconds, as all times that it is compared with.
        let third = Duration::from_millis(u64::try_from(catch_up.as_millis()).unwrap_or(u64::MAX) / 3);
        RepairDelays {
            with_spare: third,
            without_spare: catch_up.saturating_mul(3),
            before_balance: catch_up,
        }
    }
}

/// What is known of the cluster when a placement is decided.
pub struct ClusterSnapshot<'a> {
    /// Time of the decision.
    pub now: Instant,
    /// Stores that may be lost at one time without losing a message.
    pub tolerated_losses: u32,
    /// Stores that have registered, and their health.
    pub stores: &'a StoreTable,
    /// Learners that have caught up.
    pub learner_reports: &'a LearnerReports,
    /// Names of the machines that are retiring, or have retired.
    pub retiring: &'a BTreeSet<String>,
    /// Delays before shards move.
    pub delays: RepairDelays,
    /// Rule by which replicas are laid out.
    pub layout: &'a Layout,
    /// Since when this manager has received heartbeats.
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

    /// Whether a store's disk was replaced and will never come back.
    pub fn is_replaced(&self, placement: &Placement, id: StoreId) -> bool {
        placement.store(id).is_some_and(|store| self.stores.is_replaced(self.now, id, &store.name))
    }

    /// How long a store has been unhealthy; zero while it is healthy.
    pub fn unhealthy_for(&self, id: StoreId) -> Duration {
        self.stores.unhealthy_for(self.now, id, self.observed_since)
    }

    /// Stores that may be given shards.
    pub fn candidates(&self) -> impl Iterator<Item = &StoreStatus> {
        let may_join = |store: &&StoreStatus| {
            self.stores.is_stable(self.now, store.id) && !self.retiring.contains(&store.name)
        };
        self.stores.iter().filter(may_join)
    }

    /// When the learner of a change reported that it has caught up; `None` before.
    pub fn caught_up_at(&self, shard: ShardId, change: &MemberChange) -> Option<Instant> {
        self.learner_reports.caught_up_at(shard, change)
    }

    /// Zone of a store in a placement, or of one that has registered; empty for any other.
    pub fn zone_of<'p>(&'p self, placement: &'p Placement, id: StoreId) -> &'p str {
        let placed = placement.store(id).map(|store| store.zone.as_str());
        placed.or_else(|| self.stores.get(id).map(|store| store.zone.as_str())).unwrap_or_default()
    }
}

/// A placement's shards with their numbers.
pub fn numbered(shards: &[ShardEntry]) -> impl Iterator<Item = (ShardId, &ShardEntry)> {
    shards.iter().enumerate().filter_map(|(index, shard)| Some((ShardId(u16::try_from(index).ok()?), shard)))
}

/// Number of replicas and learners at each store.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    counts: BTreeMap<StoreId, usize>,
}

impl Counts {
    /// Counts how often each store occurs.
    pub fn of(stores: impl Iterator<Item = StoreId>) -> Counts {
        let mut counts = Counts::default();
        stores.for_each(|store| counts.increment(store));
        counts
    }

    /// Replicas and learners of each store in a placement.
    pub fn of_replicas(placement: &Placement) -> Counts {
        Counts::of(
            placement.shards.iter().flat_map(|shard| shard.replicas.iter().copied().chain(shard.learner())),
        )
    }

    /// Count of one store.
    pub fn get(&self, store: StoreId) -> usize {
        self.counts.get(&store).copied().unwrap_or(0)
    }

    /// Adds one.
    pub fn increment(&mut self, store: StoreId) {
        *self.counts.entry(store).or_default() += 1;
    }

    /// Subtracts one from a store that has been counted.
    pub fn decrement(&mut self, store: StoreId) {
        if let Some(count) = self.counts.get_mut(&store) {
            *count -= 1;
        }
    }
}
