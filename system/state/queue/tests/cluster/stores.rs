//! The store processes of the simulation.

use super::disks::Disk;
use super::links::{End, LinkId};
use super::{Cluster, Event, Options, Payload};
use millrudder_clock::Instant;
use millrudder_protocol::control::CaughtUpShard;
use millrudder_protocol::{MessageId, StoreId};
use millrudder_queue::{Input, OrphanCause, Output, StoreNode};
use std::collections::BTreeSet;

/// First store identifier; it differs from all indexes, so that the two cannot be confused.
pub const FIRST_STORE_ID: u64 = 100;
/// Maximum difference between the monotonic clocks of processes, in milliseconds.
const MAX_CLOCK_OFFSET_MS: u64 = 10_000_000;
/// A store whose disk was wiped gets its former identifier plus this.
pub const NEXT_DISK_ID_OFFSET: u64 = 100;

/// An orphaned message that a store reported.
#[derive(Clone, Copy, Debug)]
pub struct Orphan {
    pub at_ms: u64,
    pub id: MessageId,
    pub cause: OrphanCause,
}

/// One machine with a store.
pub struct Store {
    pub id: StoreId,
    pub zone: String,
    pub node: Option<StoreNode>,
    pub disk: Disk,
    pub incarnation: u32,
    pub frozen_until_ms: u64,
    /// Duration of a sync, in milliseconds.
    pub sync_ms: u64,
    pub is_shutting_down: bool,
    /// Shards that it reported as caught up.
    pub caught_up: BTreeSet<CaughtUpShard>,
    pub released: BTreeSet<MessageId>,
    ticking_at: Option<u64>,
    /// Offset of the process's monotonic clock from the simulation's clock, as the origin of each clock is
    /// arbitrary.
    clock_offset_ms: u64,
}

impl Store {
    pub fn new(index: usize, options: &Options) -> Self {
        Store {
            id: StoreId(FIRST_STORE_ID + index as u64),
            zone: format!("zone-{}", index % options.stores),
            node: None,
            disk: Disk::default(),
            incarnation: 0,
            frozen_until_ms: 0,
            sync_ms: 2,
            is_shutting_down: false,
            caught_up: BTreeSet::new(),
            released: BTreeSet::new(),
            ticking_at: None,
            clock_offset_ms: 0,
        }
    }

    pub fn is_up(&self) -> bool {
        self.node.is_some()
    }
}

/// Draws the clock offset of an incarnation of a process, without using the simulation's random number
/// generator.
fn clock_offset_ms(seed: u64, store: StoreId, incarnation: u32) -> u64 {
    let seed = seed ^ (store.0 << 24) ^ (u64::from(incarnation) << 48);
    fastrand::Rng::with_seed(seed).u64(0..MAX_CLOCK_OFFSET_MS)
}

impl Cluster {
    pub fn start_store(&mut self, index: usize) {
        let (now_ms, config) = (self.now_ms, self.options.config.clone());
        let store = &mut self.stores[index];
        if store.node.is_some() {
            return;
        }
        store.incarnation += 1;
        store.clock_offset_ms = clock_offset_ms(self.options.seed, store.id, store.incarnation);
        let recovered = store.disk.recover(now_ms).into_iter();
        let clock_ms = now_ms + store.clock_offset_ms;
        store.node = Some(StoreNode::new(
            config,
            store.id,
            store.zone.clone(),
            Instant::from_millis(clock_ms),
            recovered,
        ));
        store.is_shutting_down = false;
        store.ticking_at = None;
        store.sync_ms = self.options.sync_ms;
        let incarnation = store.incarnation;
        let rates = self.rates();
        self.input(index, Input::Rates(rates));
        let placement = self.manager.placement.clone();
        let at_ms = self.now_ms + self.random.u64(2..60);
        self.schedule(at_ms, Event::Placement { at: End::Store(index), incarnation, placement });
    }

    /// Stops a process. Others notice it soon, or late if its machine has lost power.
    pub fn stop_store(&mut self, index: usize, power: bool) {
        let keep: Vec<bool> = (0..1_000).map(|_| self.random.bool()).collect();
        let store = &mut self.stores[index];
        store.node = None;
        store.frozen_until_ms = 0;
        let mut drawn = keep.into_iter().cycle();
        if power {
            store.disk.power_lost(|| drawn.next().unwrap_or(false));
        } else {
            store.disk.process_died();
        }
        let notice_ms = if power { 1_000 } else { 2 };
        for link in self.links.open_at(End::Store(index)) {
            self.close(link, notice_ms);
        }
    }

    /// Wipes the disk of a stopped store. It starts again as another store.
    pub fn wipe_store(&mut self, index: usize) {
        assert!(!self.stores[index].is_up(), "a running store must not be wiped");
        let store = &mut self.stores[index];
        store.disk = Disk::default();
        store.id = StoreId(store.id.0 + NEXT_DISK_ID_OFFSET);
        store.caught_up.clear();
    }

    /// Passes an input to a store's state machine and carries out its outputs.
    pub fn input(&mut self, index: usize, input: Input) {
        let now_ms = self.now_ms;
        let mut out = Vec::new();
        let offset_ms = self.stores[index].clock_offset_ms;
        let Some(node) = self.stores[index].node.as_mut() else { return };
        node.handle(Instant::from_millis(now_ms + offset_ms), input, &mut out);
        for output in out {
            self.execute_output(index, output);
        }
        self.start_sync(index);
        self.arm_tick(index);
    }

    fn execute_output(&mut self, index: usize, output: Output) {
        match output {
            Output::Append { ticket, record } => self.stores[index].disk.append(self.now_ms, ticket, record),
            Output::ToDispatcher { connection, message } => {
                for dispatcher in 0..self.dispatchers.len() {
                    let link = LinkId::between(End::Store(index), End::Dispatcher(dispatcher));
                    if self.links.get(link).connection == connection.0 {
                        let payload = Payload::ToDispatcher(message);
                        self.send(End::Store(index), End::Dispatcher(dispatcher), payload);
                        return;
                    }
                }
            }
            Output::ToStore { store, message } => {
                if let Some(other) = self.store_index(store) {
                    self.send(End::Store(index), End::Store(other), Payload::Stores(message));
                }
            }
            Output::CloseDispatcher { connection } => {
                for dispatcher in 0..self.dispatchers.len() {
                    let link = LinkId::between(End::Store(index), End::Dispatcher(dispatcher));
                    if self.links.get(link).connection == connection.0 {
                        self.close(link, 2);
                    }
                }
            }
            Output::CaughtUp { shard } => {
                self.stores[index].caught_up.insert(shard);
            }
            Output::Orphaned { id, cause } => self.orphans.push(Orphan { at_ms: self.now_ms, id, cause }),
            Output::Released { id } => {
                self.stores[index].released.insert(id);
            }
        }
    }

    fn start_sync(&mut self, index: usize) {
        let store = &mut self.stores[index];
        if store.disk.start_sync() {
            let (sync_ms, incarnation) = (store.sync_ms, store.incarnation);
            self.schedule(self.now_ms + sync_ms, Event::Synced { store: index, incarnation });
        }
    }

    pub fn synced(&mut self, index: usize, incarnation: u32) {
        if self.stores[index].incarnation != incarnation || !self.stores[index].is_up() {
            return;
        }
        if let Some(ticket) = self.stores[index].disk.end_sync() {
            self.input(index, Input::Synced { ticket });
        }
    }

    fn arm_tick(&mut self, index: usize) {
        let store = &mut self.stores[index];
        let Some(deadline) = store.node.as_ref().and_then(StoreNode::next_deadline) else { return };
        let deadline_ms = deadline.as_millis().saturating_sub(store.clock_offset_ms);
        if store.ticking_at.is_some_and(|at_ms| at_ms <= deadline_ms) {
            return;
        }
        store.ticking_at = Some(deadline_ms);
        let incarnation = store.incarnation;
        self.schedule(deadline_ms, Event::StoreTick { store: index, incarnation });
    }

    pub fn store_tick(&mut self, index: usize, incarnation: u32) {
        let store = &mut self.stores[index];
        if store.incarnation != incarnation {
            return;
        }
        if store.ticking_at.is_some_and(|at_ms| at_ms <= self.now_ms) {
            store.ticking_at = None;
        }
        self.input(index, Input::Tick);
    }
}
