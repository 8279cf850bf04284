//! Health of the stores, derived from their heartbeats.

use millrudder_clock::Instant;
use millrudder_protocol::control::StoreHealth;
use millrudder_protocol::{Address, StoreId};
use std::collections::BTreeMap;
use std::time::Duration;

/// A store that has sent no heartbeat for this long is unresponsive: it has missed five heartbeats.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);
/// A store is unhealthy if its oldest unsynced write has waited for the disk for this long.
const DISK_STALL_TIMEOUT: Duration = Duration::from_millis(700);
/// A store that was unhealthy is stable, and gets its primaries back, after it has been healthy for this long.
const STABLE_AFTER: Duration = Duration::from_millis(1500);

/// Details with which a store registers.
#[derive(Clone, Debug)]
pub struct Registration {
    /// Identity of its disk.
    pub id: StoreId,
    /// `nodeName` of its machine.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens.
    pub address: Address,
}

/// A registered store and its health.
#[derive(Clone, Debug)]
pub struct StoreStatus {
    /// Identity of its disk.
    pub id: StoreId,
    /// `nodeName` of its machine.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens.
    pub address: Address,
    health: StoreHealth,
    last_heartbeat_at: Instant,
    first_registered_at: Instant,
    /// Start of the current healthy period; `None` while unhealthy.
    healthy_since: Option<Instant>,
    /// Start of the current unhealthy period; `None` while healthy.
    unhealthy_since: Option<Instant>,
    /// Whether it has been unhealthy at any time since its first registration with this manager.
    has_failed: bool,
}

impl StoreStatus {
    fn new(now: Instant, registration: Registration) -> StoreStatus {
        let Registration { id, name, zone, address } = registration;
        StoreStatus {
            id,
            name,
            zone,
            address,
            health: StoreHealth::default(),
            last_heartbeat_at: now,
            first_registered_at: now,
            healthy_since: Some(now),
            unhealthy_since: None,
            has_failed: false,
        }
    }

    /// Applies a repeated registration. The health from the last heartbeat is kept until the next one, because a store
    /// that is shutting down may merely have reconnected.
    fn re_register(&mut self, now: Instant, registration: Registration) {
        self.name = registration.name;
        self.zone = registration.zone;
        self.address = registration.address;
        self.last_heartbeat_at = now;
    }

    fn is_unresponsive(&self, now: Instant) -> bool {
        now - self.last_heartbeat_at >= HEARTBEAT_TIMEOUT
    }

    fn is_disk_stalled(&self) -> bool {
        Duration::from_millis(self.health.oldest_unsynced_ms.into()) >= DISK_STALL_TIMEOUT
    }

    /// Whether it can serve as a primary now.
    fn is_healthy(&self, now: Instant) -> bool {
        !self.is_unresponsive(now) && !self.is_disk_stalled() && !self.health.is_shutting_down
    }

    /// Records a change between healthy and unhealthy; returns whether there was one.
    fn update(&mut self, now: Instant) -> bool {
        match (self.is_healthy(now), self.healthy_since) {
            (false, Some(_)) => {
                let since = if self.is_unresponsive(now) { self.last_heartbeat_at } else { now };
                self.healthy_since = None;
                self.unhealthy_since = Some(since);
                self.has_failed = true;
                true
            }
            (true, None) => {
                self.healthy_since = Some(now);
                self.unhealthy_since = None;
                true
            }
            _ => false,
        }
    }

    /// When its health may change next without a heartbeat: at the heartbeat timeout or when it becomes stable. `None`
    /// while it is unhealthy.
    fn next_deadline(&self, now: Instant) -> Option<Instant> {
        let unresponsive_at = self.last_heartbeat_at + HEARTBEAT_TIMEOUT;
        let stable_at = self.healthy_since? + STABLE_AFTER;
        Some(if stable_at > now { unresponsive_at.min(stable_at) } else { unresponsive_at })
    }
}

/// All stores that have registered with this manager.
#[derive(Clone, Debug, Default)]
pub struct StoreTable {
    stores: BTreeMap<StoreId, StoreStatus>,
}

impl StoreTable {
    /// Records a registration; returns whether the store is new.
    pub fn register(&mut self, now: Instant, registration: Registration) -> bool {
        match self.stores.get_mut(&registration.id) {
            Some(store) => {
                store.re_register(now, registration);
                false
            }
            None => {
                self.stores.insert(registration.id, StoreStatus::new(now, registration));
                true
            }
        }
    }

    /// Handles a heartbeat; returns whether any store has become healthy or unhealthy.
    pub fn handle_heartbeat(&mut self, now: Instant, id: StoreId, health: StoreHealth) -> bool {
        if let Some(store) = self.stores.get_mut(&id) {
            store.last_heartbeat_at = now;
            store.health = health;
        }
        self.update(now)
    }

    /// Updates the health of all stores; returns whether any has become healthy or unhealthy.
    pub fn update(&mut self, now: Instant) -> bool {
        let mut is_changed = false;
        for store in self.stores.values_mut() {
            is_changed |= store.update(now);
        }
        is_changed
    }

    /// The next time at which a store may become unhealthy or stable.
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        self.stores.values().filter_map(|store| store.next_deadline(now)).min()
    }

    /// Whether a store can serve as a primary now.
    pub fn is_healthy(&self, now: Instant, id: StoreId) -> bool {
        self.stores.get(&id).is_some_and(|store| store.is_healthy(now))
    }

    /// Whether a store may be given primaries and replicas: it is healthy, and has either never been unhealthy or been
    /// healthy for [`STABLE_AFTER`].
    pub fn is_stable(&self, now: Instant, id: StoreId) -> bool {
        let Some(store) = self.stores.get(&id) else { return false };
        let is_past_delay = store.healthy_since.is_some_and(|since| now - since >= STABLE_AFTER);
        store.is_healthy(now) && (is_past_delay || !store.has_failed)
    }

    /// How long a store has been unhealthy; zero while it is healthy. A store that has never registered counts as
    /// unhealthy since `observed_since`.
    pub fn unhealthy_for(&self, now: Instant, id: StoreId, observed_since: Instant) -> Duration {
        if self.is_healthy(now, id) {
            return Duration::ZERO;
        }
        let store = self.stores.get(&id);
        let since =
            store.map_or(observed_since, |store| store.unhealthy_since.unwrap_or(store.last_heartbeat_at));
        now - since
    }

    /// Start of a store's current healthy period; `None` while it is unhealthy or unknown.
    pub fn healthy_since(&self, id: StoreId) -> Option<Instant> {
        self.stores.get(&id).and_then(|store| store.healthy_since)
    }

    /// Whether a store's process is shutting down but still sends heartbeats.
    pub fn is_shutting_down(&self, now: Instant, id: StoreId) -> bool {
        self.stores.get(&id).is_some_and(|store| store.health.is_shutting_down && !store.is_unresponsive(now))
    }

    /// When a store first registered with this manager.
    pub fn first_registered_at(&self, id: StoreId) -> Option<Instant> {
        self.stores.get(&id).map(|store| store.first_registered_at)
    }

    /// Whether store `id` is replaced: it is not healthy, and a healthy store with another ID runs on the machine
    /// `name`. The machine then has a new disk, so the old store never comes back.
    pub fn is_replaced(&self, now: Instant, id: StoreId, name: &str) -> bool {
        let is_successor = |store: &StoreStatus| store.id != id && store.name == name;
        let is_healthy_successor = |store: &StoreStatus| is_successor(store) && store.is_healthy(now);
        !self.is_healthy(now, id) && self.stores.values().any(is_healthy_successor)
    }

    /// The status of a registered store.
    pub fn get(&self, id: StoreId) -> Option<&StoreStatus> {
        self.stores.get(&id)
    }

    /// All registered stores, ordered by ID.
    pub fn iter(&self) -> impl Iterator<Item = &StoreStatus> {
        self.stores.values()
    }

    /// Stores that are healthy now, ordered by ID.
    pub fn healthy(&self, now: Instant) -> impl Iterator<Item = &StoreStatus> {
        self.stores.values().filter(move |store| store.is_healthy(now))
    }
}
