//! Which stores there are, and which of them this dispatcher can talk to.

use millrudder_protocol::placement::Placement;
use millrudder_protocol::{ShardId, StoreId};
use millrudder_topology::{Distance, Location};
use std::collections::{BTreeMap, BTreeSet};

/// A lost primary is usually replaced this long (ms) after its loss was seen here: the core's suspicion, the next view,
/// the next placement and the take-over. A client that leaves before is not kept waiting.
const REPLACED_AFTER_MS: u64 = 600;
/// One that has not been replaced after this long (ms) is not waited for any more.
const REPLACED_WITHIN_MS: u64 = 900;

/// The placement in force and the open connections.
pub struct Stores {
    location: Location,
    placement: Placement,
    open: BTreeSet<StoreId>,
    /// When each was last heard.
    heard: BTreeMap<StoreId, u64>,
    /// Did not answer in time and was not heard since: nothing new is sent there.
    silent: BTreeSet<StoreId>,
    /// Since when each store that cannot be used has been so.
    lost: BTreeMap<StoreId, u64>,
    /// Shards by how far their primary is.
    by_distance: BTreeMap<Distance, Vec<ShardId>>,
}

impl Stores {
    pub fn new(location: Location) -> Self {
        Stores {
            location,
            placement: Placement::default(),
            open: BTreeSet::new(),
            heard: BTreeMap::new(),
            silent: BTreeSet::new(),
            lost: BTreeMap::new(),
            by_distance: BTreeMap::new(),
        }
    }

    pub fn set_placement(&mut self, placement: Placement) {
        if placement.epoch > self.placement.epoch {
            self.placement = placement;
            self.sort_shards();
        }
    }

    fn sort_shards(&mut self) {
        self.by_distance.clear();
        for (number, entry) in self.placement.shards.iter().enumerate() {
            let Ok(number) = u16::try_from(number) else { break };
            let store = self.placement.store(entry.primary);
            let distance = store.map(|store| self.location.distance_to(&store.zone)).unwrap_or_default();
            self.by_distance.entry(distance).or_default().push(ShardId(number));
        }
    }

    pub fn connected(&mut self, now: u64, store: StoreId) {
        self.open.insert(store);
        self.heard(now, store);
    }

    pub fn closed(&mut self, now: u64, store: StoreId) {
        self.open.remove(&store);
        self.lost.entry(store).or_insert(now);
    }

    /// A sign of life; true if the store had been silent.
    pub fn heard(&mut self, now: u64, store: StoreId) -> bool {
        self.heard.insert(store, now);
        self.lost.remove(&store);
        self.silent.remove(&store)
    }

    /// It has not answered what was sent at `sent` in time.
    pub fn overdue(&mut self, now: u64, store: StoreId, sent: u64) {
        if self.heard.get(&store).is_none_or(|heard| *heard <= sent) {
            self.silent.insert(store);
            self.lost.entry(store).or_insert(now);
        }
    }

    pub fn silent(&self) -> impl Iterator<Item = StoreId> + '_ {
        self.silent.iter().copied().filter(|store| self.is_open(*store))
    }

    /// Messages may be sent there.
    fn is_usable(&self, store: StoreId) -> bool {
        self.is_open(store) && !self.silent.contains(&store)
    }

    pub fn is_open(&self, store: StoreId) -> bool {
        self.open.contains(&store)
    }

    pub fn shard_of(&self, name: &str) -> Option<ShardId> {
        self.placement.shard_of(name)
    }

    pub fn primary(&self, shard: ShardId) -> Option<StoreId> {
        self.placement.shard(shard).map(|entry| entry.primary)
    }

    /// The shard's primary, if it can be reached and is not silent.
    pub fn usable_primary(&self, shard: ShardId) -> Option<StoreId> {
        self.primary(shard).filter(|store| self.is_usable(*store))
    }

    /// Until when a message of this shard, whose client leaves at `deadline`, may hope for the shard's next primary: the
    /// present one was lost a short while ago, and as many replicas are left as a message needs. `None` where there is
    /// no such hope.
    pub fn next_primary_by(&self, now: u64, shard: ShardId, deadline: u64) -> Option<u64> {
        let entry = self.placement.shard(shard)?;
        let lost = *self.lost.get(&entry.primary)?;
        let (usual, latest) = (lost + REPLACED_AFTER_MS, lost + REPLACED_WITHIN_MS);
        let left = entry.replicas.iter().filter(|store| self.is_usable(**store)).count();
        let is_enough = left >= entry.write_quorum(self.placement.tolerated_losses);
        (is_enough && usual <= deadline && now < latest).then_some(latest.min(deadline))
    }

    /// The shard's primary, if there is an open connection to it.
    pub fn open_primary(&self, shard: ShardId) -> Option<StoreId> {
        self.primary(shard).filter(|store| self.is_open(*store))
    }

    /// Stores that may know of a message of this shard, the primary first.
    pub fn holders(&self, shard: ShardId) -> Vec<StoreId> {
        let Some(entry) = self.placement.shard(shard) else { return Vec::new() };
        let others = entry.replicas.iter().copied().filter(|store| *store != entry.primary);
        std::iter::once(entry.primary).chain(others).collect()
    }

    /// A shard that can take a message now, of the nearest that can, and of none of the stores in `tried`.
    pub fn any_shard(&self, turn: usize, tried: &[StoreId]) -> Option<ShardId> {
        let usable =
            |shard: &&ShardId| self.usable_primary(**shard).is_some_and(|store| !tried.contains(&store));
        let pick = |list: &Vec<ShardId>| {
            let usable: Vec<&ShardId> = list.iter().filter(usable).collect();
            (!usable.is_empty()).then(|| *usable[turn % usable.len()])
        };
        self.by_distance.values().find_map(pick)
    }
}
