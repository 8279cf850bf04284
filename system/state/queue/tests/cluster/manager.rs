//! The placement manager of the simulation. It detects failures quickly and moves shards.

use super::links::{End, LinkId};
use super::stores::{FIRST_STORE_ID, NEXT_DISK_ID_OFFSET};
use super::{Cluster, Event, Options};
use millrudder_protocol::control::CaughtUpShard;
use millrudder_protocol::placement::{ChangeReason, MemberChange, Placement, ShardEntry, StoreEntry};
use millrudder_protocol::{Address, Epoch, StoreId};
use millrudder_queue::Input;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time in milliseconds after which the shards of an unhealthy store are moved.
const UNHEALTHY_MS: u64 = 300;
/// Time in milliseconds that a store must be healthy to get shards back.
const HEALTHY_MS: u64 = 1_500;

/// Placeholder for the epoch of the placement that is being built.
const NEXT_EPOCH: Epoch = Epoch(u64::MAX);

/// State of the placement manager.
pub struct Manager {
    pub placement: Placement,
    /// The store that is being drained for removal.
    pub retiring: Option<StoreId>,
    unhealthy_since_ms: BTreeMap<usize, u64>,
    healthy_since_ms: BTreeMap<usize, u64>,
}

impl Manager {
    pub fn new(options: &Options) -> Self {
        let store = |index: usize| StoreId(FIRST_STORE_ID + index as u64);
        let replicas = 2 * options.tolerated_losses as usize + 1;
        let entry = |index: usize| StoreEntry {
            id: store(index),
            name: format!("store-{index}"),
            zone: format!("zone-{index}"),
            address: Address(SocketAddr::from(([127, 0, 0, 1], 1))),
            alive: true,
        };
        let shard = |number: u16| {
            let members =
                (0..replicas.min(options.stores)).map(|step| (usize::from(number) + step) % options.stores);
            let replicas: Vec<StoreId> = members.map(store).collect();
            ShardEntry { primary: replicas[0], replicas, change: None, term: Epoch(1) }
        };
        let placement = Placement {
            epoch: Epoch(1),
            tolerated_losses: options.tolerated_losses,
            stores: (0..options.stores).map(entry).collect(),
            shards: (0..options.shards).map(shard).collect(),
        };
        Manager {
            placement,
            retiring: None,
            unhealthy_since_ms: BTreeMap::new(),
            healthy_since_ms: BTreeMap::new(),
        }
    }
}

fn change(joins: StoreId, leaves: Option<StoreId>, reason: ChangeReason) -> MemberChange {
    MemberChange { joins, leaves, epoch: NEXT_EPOCH, reason }
}

/// The identifiers of successive disks of one machine differ by multiples of 100.
fn is_same_machine(one: StoreId, other: StoreId) -> bool {
    one.0 % NEXT_DISK_ID_OFFSET == other.0 % NEXT_DISK_ID_OFFSET
}

impl Cluster {
    /// Whether a store is running, not frozen, and connected to at least one other store.
    fn is_healthy(&mut self, index: usize) -> bool {
        let store = &self.stores[index];
        if !store.is_up() || store.frozen_until_ms > self.now_ms || store.disk.failing {
            return false;
        }
        let others: Vec<usize> = (0..self.stores.len()).filter(|other| *other != index).collect();
        let now_ms = self.now_ms;
        let mut has_path = |other: &usize| {
            let link = LinkId::between(End::Store(index), End::Store(*other));
            self.links.get(link).partitioned_until_ms <= now_ms
        };
        others.is_empty() || others.iter().any(&mut has_path)
    }

    pub fn manage(&mut self) {
        self.open_links();
        let mut placement = self.manager.placement.clone();
        let is_healthy: Vec<bool> = (0..self.stores.len()).map(|index| self.update_health(index)).collect();
        self.replace_disks(&mut placement);
        self.drain_retiring(&mut placement);
        self.promote_learners(&mut placement);
        self.move_primaries(&mut placement, &is_healthy);
        if placement != self.manager.placement {
            placement.epoch = Epoch(placement.epoch.0 + 1);
            for shard in &mut placement.shards {
                if shard.term == NEXT_EPOCH {
                    shard.term = placement.epoch;
                }
                if let Some(change) = shard.change.as_mut().filter(|change| change.epoch == NEXT_EPOCH) {
                    change.epoch = placement.epoch;
                }
            }
            self.manager.placement = placement;
            self.publish_placement();
        }
    }

    /// Whether a store may be primary: it is healthy, or has not been unhealthy for long.
    fn update_health(&mut self, index: usize) -> bool {
        let now_ms = self.now_ms;
        if self.is_healthy(index) {
            self.manager.unhealthy_since_ms.remove(&index);
            self.manager.healthy_since_ms.entry(index).or_insert(now_ms);
            return true;
        }
        self.manager.healthy_since_ms.remove(&index);
        let since_ms = *self.manager.unhealthy_since_ms.entry(index).or_insert(now_ms);
        now_ms - since_ms < UNHEALTHY_MS
    }

    /// Makes a wiped store a learner of all shards of which its former disk was a replica.
    fn replace_disks(&self, placement: &mut Placement) {
        for (index, store) in self.stores.iter().enumerate() {
            let entry = &mut placement.stores[index];
            if entry.id == store.id {
                continue;
            }
            let former = entry.id;
            entry.id = store.id;
            for shard in &mut placement.shards {
                if shard.change.is_some_and(|change| change.joins == former) {
                    shard.change = None;
                }
                let lost = shard.replicas.iter().copied().find(|replica| is_same_machine(*replica, store.id));
                if lost.is_some() {
                    shard.change = Some(change(store.id, lost, ChangeReason::Repair));
                }
            }
        }
    }

    /// Makes another store a learner of each shard that is on the store being drained.
    fn drain_retiring(&self, placement: &mut Placement) {
        let Some(retiring) = self.manager.retiring else { return };
        let all: Vec<StoreId> = placement.stores.iter().map(|store| store.id).collect();
        for shard in placement.shards.iter_mut().filter(|shard| shard.replicas.contains(&retiring)) {
            let is_free = |store: &StoreId| !shard.replicas.contains(store);
            if let Some(spare) = all.iter().copied().find(is_free).filter(|_| shard.change.is_none()) {
                shard.change = Some(change(spare, Some(retiring), ChangeReason::Retire));
            }
        }
    }

    /// Whether no shard is on the drained store any more.
    pub fn is_retired(&self, store: StoreId) -> bool {
        self.manager.placement.shards.iter().all(|shard| !shard.replicas.contains(&store))
    }

    /// Makes learners that have caught up replicas in place of the lost or drained ones.
    fn promote_learners(&self, placement: &mut Placement) {
        for (number, shard) in placement.shards.iter_mut().enumerate() {
            let Some(change) = shard.change else { continue };
            let store = self.stores.iter().find(|store| store.id == change.joins);
            let is_this = |caught_up: &CaughtUpShard| {
                usize::from(caught_up.shard.0) == number && caught_up.change == change.epoch
            };
            if store.is_some_and(|store| store.caught_up.iter().any(is_this)) {
                shard.replicas = shard.replicas_after(&change);
                shard.change = None;
            }
        }
    }

    fn move_primaries(&mut self, placement: &mut Placement, is_healthy: &[bool]) {
        let now_ms = self.now_ms;
        let index_of = |id: StoreId| self.stores.iter().position(|store| store.id == id);
        let may_serve =
            |id: StoreId| index_of(id).is_some_and(|at| is_healthy[at] && !self.stores[at].is_shutting_down);
        let is_stably_healthy = |id: StoreId| {
            let since_ms = index_of(id).and_then(|at| self.manager.healthy_since_ms.get(&at).copied());
            since_ms.is_some_and(|since_ms| now_ms - since_ms >= HEALTHY_MS)
        };
        for number in 0..placement.shards.len() {
            let load = |id: StoreId, placement: &Placement| placement.shards_of_primary(id).count();
            let shard = &placement.shards[number];
            let candidates = shard.replicas.iter().copied().filter(|id| may_serve(*id));
            let Some(best) = candidates.min_by_key(|id| load(*id, placement)) else { continue };
            let present = shard.primary;
            let is_better = is_stably_healthy(best) && load(best, placement) + 1 < load(present, placement);
            if !may_serve(present) || is_better {
                placement.shards[number].primary = best;
                placement.shards[number].term = NEXT_EPOCH;
            }
        }
    }

    /// Sends the current placement to all stores and dispatchers, with random delays.
    pub fn publish_placement(&mut self) {
        let stores = (0..self.stores.len()).map(|index| (End::Store(index), self.stores[index].incarnation));
        let dispatchers =
            (0..self.dispatchers.len()).map(|at| (End::Dispatcher(at), self.dispatchers[at].incarnation));
        let ends: Vec<(End, u32)> = stores.chain(dispatchers).collect();
        for (at, incarnation) in ends {
            let at_ms = self.now_ms + self.random.u64(1..40);
            let placement = self.manager.placement.clone();
            self.schedule(at_ms, Event::Placement { at, incarnation, placement });
        }
    }

    /// Opens every closed link that can be opened.
    fn open_links(&mut self) {
        let stores = self.stores.len();
        for index in 0..stores {
            for other in 0..index {
                self.connect(End::Store(other), End::Store(index));
            }
            for dispatcher in 0..self.dispatchers.len() {
                self.connect(End::Store(index), End::Dispatcher(dispatcher));
            }
        }
    }

    fn is_reachable(&self, end: End) -> bool {
        match end {
            End::Store(index) => {
                self.stores[index].is_up() && self.stores[index].frozen_until_ms <= self.now_ms
            }
            End::Dispatcher(at) => {
                self.dispatchers[at].up && self.dispatchers[at].frozen_until_ms <= self.now_ms
            }
        }
    }

    fn connect(&mut self, a: End, b: End) {
        let link = LinkId::between(a, b);
        let now_ms = self.now_ms;
        let is_reachable = self.is_reachable(a) && self.is_reachable(b);
        let state = self.links.get(link);
        if state.open || !is_reachable || state.partitioned_until_ms > now_ms || state.free_at_ms > now_ms {
            return;
        }
        let connection = self.links.open(link);
        match (link.0, link.1) {
            (End::Store(one), End::Store(two)) => {
                let (first, second) = (self.stores[one].id, self.stores[two].id);
                self.input(one, Input::StoreConnected { store: second });
                self.input(two, Input::StoreConnected { store: first });
            }
            (End::Store(store), End::Dispatcher(dispatcher)) => {
                self.dispatchers[dispatcher].connections.insert(store, connection);
                self.hello(dispatcher, store);
            }
            _ => unreachable!("a link between dispatchers"),
        }
    }

    pub fn start_dispatcher(&mut self, at: usize) {
        self.dispatchers[at].up = true;
        let incarnation = self.dispatchers[at].incarnation;
        let placement = self.manager.placement.clone();
        self.apply_dispatcher_placement(at, placement);
        self.schedule(self.now_ms, Event::DispatcherTick { dispatcher: at, incarnation });
    }
}
