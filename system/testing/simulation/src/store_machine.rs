//! A store machine: the true state machine in a shell like that of the system's program.

use crate::clock::{whole_millis, Clock};
use crate::event::{Connection, Effect, Payload, ProcessInput, Target};
use crate::mechanism::{Mechanism, Mutant};
use crate::store_disk::StoreDisk;
use millrudder_clock::Instant;
use millrudder_protocol::control::{CaughtUpShard, FromCore, Registrant, ToCore};
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::BetweenStores;
use millrudder_protocol::{Address, Epoch, StoreId};
use millrudder_queue::{Config, ConnectionId, DiskRecord, Input, Output, StoreNode};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Pause between two heartbeats to the core.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two reports of shards that have caught up.
const FILLED_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Settings of a store process.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Identity of its disk.
    pub id: StoreId,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its internal address.
    pub address: SocketAddr,
    /// Addresses of all core machines.
    pub seeds: Vec<SocketAddr>,
}

/// The peer of a connection that was opened to this store.
#[derive(Clone, Copy, Debug)]
enum Inbound {
    /// A peer that means this store, and has not identified itself yet.
    Caller,
    Dispatcher,
    Store {
        id: StoreId,
    },
}

/// Shards that this store has caught up with, reported until the placement has it as their replica.
#[derive(Clone, Debug, Default)]
struct Filled {
    shards: BTreeSet<CaughtUpShard>,
    report_at: Instant,
}

/// The running process of a store.
#[derive(Clone)]
pub struct StoreProcess {
    /// The production state machine of the store.
    pub node: StoreNode,
    settings: StoreSettings,
    mutant: Mutant,
    cores: Vec<SocketAddr>,
    to_cores: BTreeMap<SocketAddr, Connection>,
    placement: Placement,
    configuration_version: u64,
    inbound: BTreeMap<Connection, Inbound>,
    /// Connections to stores that this one opened.
    dialed: BTreeMap<StoreId, Connection>,
    /// Connections that other stores opened.
    accepted: BTreeMap<StoreId, Connection>,
    filled: Filled,
    heartbeat_at: Instant,
}

/// The environment in which a store process handles an input.
pub struct StoreContext<'a> {
    /// Reading of the machine's steady clock.
    pub now: Instant,
    /// True time, for the ages of records on the disk.
    pub true_now: Instant,
    /// The machine's disk.
    pub disk: &'a mut StoreDisk,
    /// Receives the effects.
    pub effects: &'a mut Vec<Effect>,
}

impl StoreProcess {
    /// Starts a process with the records of the disk.
    pub fn start(
        settings: StoreSettings,
        mutant: Mutant,
        disk: &StoreDisk,
        seed: u64,
        now: Instant,
        true_now: Instant,
    ) -> Self {
        let config = Config { seed, ..Config::default() };
        let recovered = disk.recover(true_now).into_iter();
        let node = StoreNode::new(config, settings.id, settings.zone.clone(), whole_millis(now), recovered);
        StoreProcess {
            node,
            cores: settings.seeds.clone(),
            to_cores: BTreeMap::new(),
            placement: Placement::default(),
            configuration_version: 0,
            inbound: BTreeMap::new(),
            dialed: BTreeMap::new(),
            accepted: BTreeMap::new(),
            filled: Filled::default(),
            heartbeat_at: now,
            settings,
            mutant,
        }
    }

    /// Sets which mechanisms are disabled.
    pub fn set_mutant(&mut self, mutant: Mutant) {
        self.mutant = mutant;
    }

    /// Targets to which a connection is missing.
    pub fn missing_connections(&self) -> Vec<Target> {
        let cores = self.cores.iter().filter(|address| !self.to_cores.contains_key(address)).copied();
        let others = self.placement.stores.iter();
        let above =
            others.filter(|store| self.settings.id < store.id && !self.dialed.contains_key(&store.id));
        cores.map(Target::core).chain(above.map(|store| Target::store(store.address.0, store.id))).collect()
    }

    /// When the next tick is due, by the machine's steady clock.
    pub fn next_deadline(&self) -> Instant {
        let node = self.node.next_deadline().map(whole_millis);
        node.map_or(self.heartbeat_at, |due| due.min(self.heartbeat_at))
    }

    /// The placement that it has adopted.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Whether it serves every shard of which it is the primary.
    pub fn serves_all(&self, now: Instant) -> bool {
        let led = self.placement.shards_of_primary(self.settings.id).count();
        self.node.health(whole_millis(now)).primary_shards as usize == led
    }

    /// Whether other stores have taken over all its shards.
    pub fn can_leave(&self, now: Instant) -> bool {
        self.node.health(whole_millis(now)).primary_shards == 0
    }

    /// Handles an input.
    pub fn handle(&mut self, context: &mut StoreContext<'_>, input: ProcessInput) {
        match input {
            ProcessInput::Connected { connection, target } => {
                self.handle_connected(context, connection, target)
            }
            ProcessInput::Closed { connection } => self.handle_closed(context, connection),
            ProcessInput::Received { connection, payload } => {
                self.handle_payload(context, connection, payload)
            }
            ProcessInput::Synced => {
                if let Some(ticket) = context.disk.end_sync() {
                    self.feed_node(context, Input::Synced { ticket });
                }
            }
            ProcessInput::Tick => {}
            ProcessInput::ShutdownRequested => {
                self.feed_node(context, Input::ShutdownRequested);
                self.heartbeat_at = Instant::ORIGIN;
            }
            ProcessInput::OperatorCall { .. } => {}
        }
        self.tick(context);
    }

    fn tick(&mut self, context: &mut StoreContext<'_>) {
        let now = whole_millis(context.now);
        if self.node.next_deadline().is_some_and(|due| due <= now) {
            self.feed_node(context, Input::Tick);
        }
        if self.heartbeat_at > context.now {
            return;
        }
        self.heartbeat_at = context.now + HEARTBEAT_INTERVAL;
        let health = Some(self.node.health(now));
        self.send_to_cores(context, &ToCore::Heartbeat { health });
        if !self.filled.shards.is_empty() && context.now >= self.filled.report_at {
            self.filled.report_at = context.now + FILLED_REPORT_INTERVAL;
            let shards = self.filled.shards.iter().copied().collect();
            self.send_to_cores(context, &ToCore::LearnerCaughtUp { shards });
        }
    }

    fn send_to_cores(&self, context: &mut StoreContext<'_>, message: &ToCore) {
        for connection in self.to_cores.values() {
            let payload = Payload::ToCore(message.clone());
            context.effects.push(Effect::Send { connection: *connection, payload });
        }
    }

    fn handle_connected(&mut self, context: &mut StoreContext<'_>, connection: Connection, target: Target) {
        let Some(store) = target.store else {
            self.to_cores.insert(target.address, connection);
            return self.register(context, connection);
        };
        self.dialed.insert(store, connection);
        let hello = BetweenStores::Hello { store: self.settings.id, epoch: Epoch::default() };
        for payload in [Payload::Addressed { store }, Payload::Stores(hello)] {
            context.effects.push(Effect::Send { connection, payload });
        }
        self.feed_node(context, Input::StoreConnected { store });
    }

    fn register(&mut self, context: &mut StoreContext<'_>, connection: Connection) {
        let StoreSettings { id, name, zone, address, .. } = self.settings.clone();
        let registrant = Registrant::Store { id, name, zone, address: Address(address), bootstrap: false };
        let message = ToCore::Register {
            registrant,
            configuration_version: self.configuration_version,
            placement_epoch: self.placement.epoch.0,
        };
        context.effects.push(Effect::Send { connection, payload: Payload::ToCore(message) });
    }

    fn handle_closed(&mut self, context: &mut StoreContext<'_>, connection: Connection) {
        self.to_cores.retain(|_, open| *open != connection);
        let dialed = self.dialed.iter().find(|(_, open)| **open == connection).map(|(store, _)| *store);
        if let Some(store) = dialed {
            self.dialed.remove(&store);
            self.feed_node(context, Input::StoreClosed { store });
        }
        match self.inbound.remove(&connection) {
            Some(Inbound::Dispatcher) => {
                let connection = ConnectionId(connection.0);
                self.feed_node(context, Input::DispatcherClosed { connection });
            }
            Some(Inbound::Store { id }) if self.accepted.get(&id) == Some(&connection) => {
                self.accepted.remove(&id);
                self.feed_node(context, Input::StoreClosed { store: id });
            }
            _ => {}
        }
    }

    fn handle_payload(&mut self, context: &mut StoreContext<'_>, connection: Connection, payload: Payload) {
        let caller = self.inbound.get(&connection).copied();
        match (payload, caller) {
            (Payload::FromCore(message), _) => self.handle_core_message(context, connection, message),
            (Payload::Addressed { store }, None) if store == self.settings.id => {
                self.inbound.insert(connection, Inbound::Caller);
            }
            (Payload::Stores(message), None) => {
                let from = self.dialed.iter().find(|(_, open)| **open == connection).map(|(id, _)| *id);
                if let Some(from) = from {
                    self.feed_node(context, Input::Store { from, message });
                }
            }
            (Payload::Stores(BetweenStores::Hello { store, .. }), Some(_)) => {
                self.inbound.insert(connection, Inbound::Store { id: store });
                if let Some(before) = self.accepted.insert(store, connection) {
                    context.effects.push(Effect::Close { connection: before });
                }
                self.feed_node(context, Input::StoreConnected { store });
            }
            (Payload::Stores(message), Some(Inbound::Store { id })) => {
                self.feed_node(context, Input::Store { from: id, message });
            }
            (Payload::FromDispatcher(message), Some(_)) => {
                self.inbound.insert(connection, Inbound::Dispatcher);
                let connection = ConnectionId(connection.0);
                self.feed_node(context, Input::Dispatcher { connection, message });
            }
            // Meant for an earlier disk of this machine.
            _ => context.effects.push(Effect::Close { connection }),
        }
    }

    fn handle_core_message(
        &mut self,
        context: &mut StoreContext<'_>,
        connection: Connection,
        message: FromCore,
    ) {
        match message {
            FromCore::Placement { placement } if placement.epoch > self.placement.epoch => {
                self.reconcile_connections(context, &placement);
                self.placement = placement.clone();
                self.feed_node(context, Input::Placement(placement));
                self.heartbeat_at = Instant::ORIGIN;
            }
            FromCore::Configuration { configuration } => {
                self.configuration_version = self.configuration_version.max(configuration.version);
            }
            FromCore::CoreAddresses { addresses } => {
                for Address(address) in addresses {
                    if !self.cores.contains(&address) {
                        self.cores.push(address);
                    }
                }
            }
            FromCore::Redirect => context.effects.push(Effect::Close { connection }),
            _ => {}
        }
    }

    /// Closes connections to stores that left the placement, and drops reports of shards that it no longer needs.
    fn reconcile_connections(&mut self, context: &mut StoreContext<'_>, placement: &Placement) {
        let old = self.placement.clone();
        let stays = |id: &StoreId| {
            let address = |placement: &Placement| placement.store(*id).map(|store| store.address);
            address(placement).is_some() && address(placement) == address(&old)
        };
        let gone: Vec<(StoreId, Connection)> =
            self.dialed.iter().filter(|(id, _)| !stays(id)).map(|(id, open)| (*id, *open)).collect();
        for (store, connection) in gone {
            self.dialed.remove(&store);
            context.effects.push(Effect::Close { connection });
            self.feed_node(context, Input::StoreClosed { store });
        }
        let self_id = self.settings.id;
        self.filled.shards.retain(|filled| {
            let change = placement.shard(filled.shard).and_then(|entry| entry.change);
            let learns =
                change.is_some_and(|change| change.joins == self_id && change.epoch == filled.change);
            learns || filled.change > placement.epoch
        });
    }

    fn feed_node(&mut self, context: &mut StoreContext<'_>, input: Input) {
        let joins = matches!(&input, Input::Store { message: BetweenStores::Promise { .. }, .. });
        let mut output = Vec::new();
        self.node.handle(whole_millis(context.now), input, &mut output);
        for action in output {
            self.carry_out(context, action, joins);
        }
    }

    fn carry_out(&mut self, context: &mut StoreContext<'_>, action: Output, joins: bool) {
        match action {
            Output::Append { ticket, record } => {
                let is_message = matches!(record, DiskRecord::Message { .. });
                let forgets = joins && is_message && !self.mutant.is_enabled(Mechanism::MergeAppended);
                if forgets {
                    // The mutant acknowledges what is on no disk.
                    return self.feed_node(context, Input::Synced { ticket });
                }
                context.disk.append(context.true_now, ticket, record);
                context.effects.push(Effect::Sync);
            }
            Output::ToDispatcher { connection, message } => {
                let (connection, payload) = (Connection(connection.0), Payload::ToDispatcher(message));
                context.effects.push(Effect::Send { connection, payload });
            }
            Output::ToStore { store, message } => {
                let open = self.dialed.get(&store).or_else(|| self.accepted.get(&store));
                if let Some(connection) = open.copied() {
                    context.effects.push(Effect::Send { connection, payload: Payload::Stores(message) });
                }
            }
            Output::CloseDispatcher { connection } => {
                context.effects.push(Effect::Close { connection: Connection(connection.0) });
            }
            Output::CaughtUp { shard } => {
                self.filled.shards.insert(shard);
                self.filled.report_at = Instant::ORIGIN;
                self.heartbeat_at = Instant::ORIGIN;
            }
            Output::Orphaned { .. } | Output::Released { .. } => {}
        }
    }
}

/// A store machine: disk, clock, and the process while it runs.
#[derive(Clone)]
pub struct StoreMachine {
    /// Its process; `None` while it is down.
    pub process: Option<StoreProcess>,
    /// Its disk.
    pub disk: StoreDisk,
    /// Its steady clock.
    pub clock: Clock,
    /// Identity of the disk.
    pub id: StoreId,
}
