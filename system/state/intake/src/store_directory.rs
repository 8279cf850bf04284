//! The stores of the current placement, and which of them this dispatcher can reach.

use millrudder_clock::Instant;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::{ShardId, StoreId};
use millrudder_topology::{Distance, Location};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Usual time from the detection of a primary's loss here until its replacement: failure detection by the core, the
/// next view, the next placement and the takeover. A message whose client stops waiting before that is not kept
/// waiting.
const USUAL_REPLACEMENT: Duration = Duration::from_millis(600);
/// If a lost primary has not been replaced after this time, messages stop waiting for its replacement.
const MAX_REPLACEMENT: Duration = Duration::from_millis(900);

/// The current placement and the state of the connections to its stores.
#[derive(Debug)]
pub struct StoreDirectory {
    location: Location,
    placement: Placement,
    connected: BTreeSet<StoreId>,
    /// When each store last sent something.
    active_at: BTreeMap<StoreId, Instant>,
    /// Stores that have let a request time out and sent nothing since then. No new requests are sent to them.
    unresponsive: BTreeSet<StoreId>,
    /// When each store that is disconnected or unresponsive became so.
    lost_at: BTreeMap<StoreId, Instant>,
    /// Shards by the distance from this dispatcher to their primary.
    shards_by_distance: BTreeMap<Distance, Vec<ShardId>>,
}

impl StoreDirectory {
    /// Creates a directory without stores for a dispatcher at `location`.
    pub fn new(location: Location) -> Self {
        StoreDirectory {
            location,
            placement: Placement::default(),
            connected: BTreeSet::new(),
            active_at: BTreeMap::new(),
            unresponsive: BTreeSet::new(),
            lost_at: BTreeMap::new(),
            shards_by_distance: BTreeMap::new(),
        }
    }

    /// Adopts a placement if it is newer than the current one.
    pub fn set_placement(&mut self, placement: Placement) {
        if placement.epoch > self.placement.epoch {
            self.placement = placement;
            self.index_shards();
        }
    }

    fn index_shards(&mut self) {
        self.shards_by_distance.clear();
        for (index, entry) in self.placement.shards.iter().enumerate() {
            let Ok(number) = u16::try_from(index) else { break };
            let store = self.placement.store(entry.primary);
            let distance = store.map(|store| self.location.distance_to(&store.zone)).unwrap_or_default();
            self.shards_by_distance.entry(distance).or_default().push(ShardId(number));
        }
    }

    /// Handles the opening of a connection.
    pub fn handle_connected(&mut self, now: Instant, store: StoreId) {
        self.connected.insert(store);
        self.handle_activity(now, store);
    }

    /// Handles the closing of a connection.
    pub fn handle_closed(&mut self, now: Instant, store: StoreId) {
        self.connected.remove(&store);
        self.lost_at.entry(store).or_insert(now);
    }

    /// Records that a store has sent something; returns whether it was unresponsive before.
    pub fn handle_activity(&mut self, now: Instant, store: StoreId) -> bool {
        self.active_at.insert(store, now);
        self.lost_at.remove(&store);
        self.unresponsive.remove(&store)
    }

    /// Handles the timeout of a request sent at `sent_at`. The store becomes unresponsive if it has sent nothing since.
    pub fn handle_timeout(&mut self, now: Instant, store: StoreId, sent_at: Instant) {
        if self.active_at.get(&store).is_none_or(|active_at| *active_at <= sent_at) {
            self.unresponsive.insert(store);
            self.lost_at.entry(store).or_insert(now);
        }
    }

    /// Unresponsive stores with an open connection.
    pub fn unresponsive(&self) -> impl Iterator<Item = StoreId> + '_ {
        self.unresponsive.iter().copied().filter(|store| self.is_connected(*store))
    }

    /// Whether new requests may be sent to a store.
    fn is_usable(&self, store: StoreId) -> bool {
        self.is_connected(store) && !self.unresponsive.contains(&store)
    }

    /// Whether there is an open connection to a store.
    pub fn is_connected(&self, store: StoreId) -> bool {
        self.connected.contains(&store)
    }

    /// The shard to which a name is mapped; `None` before the first placement.
    pub fn shard_of(&self, name: &str) -> Option<ShardId> {
        self.placement.shard_of(name)
    }

    fn primary(&self, shard: ShardId) -> Option<StoreId> {
        self.placement.shard(shard).map(|entry| entry.primary)
    }

    /// The shard's primary, if it is connected and not unresponsive.
    pub fn usable_primary(&self, shard: ShardId) -> Option<StoreId> {
        self.primary(shard).filter(|store| self.is_usable(*store))
    }

    /// The shard's primary, if it is connected.
    pub fn connected_primary(&self, shard: ShardId) -> Option<StoreId> {
        self.primary(shard).filter(|store| self.is_connected(*store))
    }

    /// Until when a message in this shard, whose client waits until `deadline`, may wait for the shard's next primary.
    ///
    /// `None` unless the current primary was lost recently, its replacement is usually there by `deadline`, and enough
    /// replicas for a write quorum are usable.
    pub fn await_next_primary(&self, now: Instant, shard: ShardId, deadline: Instant) -> Option<Instant> {
        let entry = self.placement.shard(shard)?;
        let lost_at = *self.lost_at.get(&entry.primary)?;
        let (usual, latest) = (lost_at + USUAL_REPLACEMENT, lost_at + MAX_REPLACEMENT);
        let usable = entry.replicas.iter().filter(|store| self.is_usable(**store)).count();
        let has_quorum = usable >= entry.write_quorum(self.placement.tolerated_losses);
        (has_quorum && usual <= deadline && now < latest).then_some(latest.min(deadline))
    }

    /// The shard's replicas, with the primary first.
    pub fn replicas(&self, shard: ShardId) -> Vec<StoreId> {
        let Some(entry) = self.placement.shard(shard) else { return Vec::new() };
        let others = entry.replicas.iter().copied().filter(|store| *store != entry.primary);
        std::iter::once(entry.primary).chain(others).collect()
    }

    /// A shard among those with the nearest primaries that are usable and not `excluded`. `round_robin` spreads the
    /// load over these shards.
    pub fn any_shard(&self, round_robin: usize, excluded: &[StoreId]) -> Option<ShardId> {
        let is_eligible =
            |shard: &&ShardId| self.usable_primary(**shard).is_some_and(|store| !excluded.contains(&store));
        let pick = |shards: &Vec<ShardId>| {
            let eligible: Vec<&ShardId> = shards.iter().filter(is_eligible).collect();
            (!eligible.is_empty()).then(|| *eligible[round_robin % eligible.len()])
        };
        self.shards_by_distance.values().find_map(pick)
    }
}
