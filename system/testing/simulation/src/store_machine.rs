//! A store machine: the true state machine in a shell like that of the system's program.

use crate::clock::Clock;
use crate::event::{Connection, Effect, Happening, Payload, Target};
use crate::mechanism::{Mechanism, Mutant};
use crate::store_disk::StoreDisk;
use crate::MILLISECOND;
use millrudder_clock::Instant;
use millrudder_protocol::control::{FilledShard, FromCore, Registrant, ToCore};
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::BetweenStores;
use millrudder_protocol::{Address, Epoch, StoreId};
use millrudder_queue::{Config, ConnectionId, DiskRecord, Input, Output, StoreNode};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Pause between two heartbeats to the core (microseconds).
const HEARTBEAT: u64 = 100 * MILLISECOND;
/// Pause between two tellings of shards that were filled (microseconds).
const TELL_FILLED: u64 = 500 * MILLISECOND;

/// What does not change while the machine lives.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    pub id: StoreId,
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
}

/// Who is at the other end of a connection that was opened to this store.
#[derive(Clone, Copy, Debug)]
enum Inbound {
    /// It means this store, and has not said more.
    Caller,
    Dispatcher,
    Store {
        id: StoreId,
    },
}

/// Shards that this store was filled with, told until the placement has it as their replica.
#[derive(Clone, Debug, Default)]
struct Filled {
    shards: BTreeSet<FilledShard>,
    tell_at: u64,
}

/// The running process of a store.
#[derive(Clone)]
pub struct StoreProcess {
    pub node: StoreNode,
    settings: StoreSettings,
    mutant: Mutant,
    cores: Vec<SocketAddr>,
    to_cores: BTreeMap<SocketAddr, Connection>,
    placement: Placement,
    configuration_version: u64,
    inbound: BTreeMap<Connection, Inbound>,
    /// Connections to stores that this one opened, and those that others opened.
    dialed: BTreeMap<StoreId, Connection>,
    accepted: BTreeMap<StoreId, Connection>,
    filled: Filled,
    heartbeat_at: u64,
}

/// Gives the process its happenings together with what it works on.
pub struct StoreScene<'a> {
    /// Steady clock of the machine (microseconds).
    pub now: u64,
    /// True time, for ages on the disk (microseconds).
    pub true_now: u64,
    pub disk: &'a mut StoreDisk,
    pub effects: &'a mut Vec<Effect>,
}

/// A reading of a steady clock in whole milliseconds, as the program takes it.
fn reading(micros: u64) -> Instant {
    Instant::from_millis(micros / MILLISECOND)
}

impl StoreProcess {
    /// Starts on what the disk holds.
    pub fn start(
        settings: StoreSettings,
        mutant: Mutant,
        disk: &StoreDisk,
        seed: u64,
        now: u64,
        true_now: u64,
    ) -> Self {
        let config = Config { seed, ..Config::default() };
        let recovered = disk.recover(true_now).into_iter();
        let node = StoreNode::new(config, settings.id, settings.zone.clone(), reading(now), recovered);
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

    /// Switches mechanisms off or on again.
    pub fn set_mutant(&mut self, mutant: Mutant) {
        self.mutant = mutant;
    }

    /// Addresses to which a connection is wanted.
    pub fn wanted(&self) -> Vec<Target> {
        let cores = self.cores.iter().filter(|address| !self.to_cores.contains_key(address)).copied();
        let others = self.placement.stores.iter();
        let above =
            others.filter(|store| self.settings.id < store.id && !self.dialed.contains_key(&store.id));
        cores.map(Target::core).chain(above.map(|store| Target::store(store.address.0, store.id))).collect()
    }

    /// When a tick is due, by the machine's steady clock (microseconds).
    pub fn next_deadline(&self) -> u64 {
        let node = self.node.next_deadline().map(|due| due.as_millis() * MILLISECOND);
        self.heartbeat_at.min(node.unwrap_or(u64::MAX))
    }

    /// The placement that it has adopted.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Whether it serves every shard of which it is the primary.
    pub fn serves_all(&self, now: u64) -> bool {
        let led = self.placement.shards_of_primary(self.settings.id).count();
        self.node.health(reading(now)).serving as usize == led
    }

    /// Whether others have taken all its shards.
    pub fn may_go(&self, now: u64) -> bool {
        self.node.health(reading(now)).serving == 0
    }

    /// Takes one happening and does what follows.
    pub fn handle(&mut self, scene: &mut StoreScene<'_>, happening: Happening) {
        match happening {
            Happening::Dialed { connection, target } => self.on_dialed(scene, connection, target),
            Happening::Accepted { .. } => {}
            Happening::Closed { connection } => self.on_closed(scene, connection),
            Happening::Arrived { connection, payload } => self.on_payload(scene, connection, payload),
            Happening::Synced => {
                if let Some(ticket) = scene.disk.end_sync() {
                    self.give(scene, Input::Synced { ticket });
                }
            }
            Happening::Tick => {}
            Happening::Leaving => {
                self.give(scene, Input::Leaving);
                self.heartbeat_at = 0;
            }
            Happening::Called { .. } => {}
        }
        self.tick(scene);
    }

    fn tick(&mut self, scene: &mut StoreScene<'_>) {
        let now = reading(scene.now);
        if self.node.next_deadline().is_some_and(|due| due <= now) {
            self.give(scene, Input::Tick);
        }
        if self.heartbeat_at > scene.now {
            return;
        }
        self.heartbeat_at = scene.now + HEARTBEAT;
        let health = Some(self.node.health(now));
        self.tell_cores(scene, &ToCore::Heartbeat { health });
        if !self.filled.shards.is_empty() && scene.now >= self.filled.tell_at {
            self.filled.tell_at = scene.now + TELL_FILLED;
            let shards = self.filled.shards.iter().copied().collect();
            self.tell_cores(scene, &ToCore::CaughtUp { shards });
        }
    }

    fn tell_cores(&self, scene: &mut StoreScene<'_>, message: &ToCore) {
        for connection in self.to_cores.values() {
            let payload = Payload::ToCore(message.clone());
            scene.effects.push(Effect::Send { connection: *connection, payload });
        }
    }

    fn on_dialed(&mut self, scene: &mut StoreScene<'_>, connection: Connection, target: Target) {
        let Some(store) = target.store else {
            self.to_cores.insert(target.address, connection);
            return self.register(scene, connection);
        };
        self.dialed.insert(store, connection);
        let hello = BetweenStores::Hello { store: self.settings.id, epoch: Epoch::default() };
        for payload in [Payload::Addressed { store }, Payload::Stores(hello)] {
            scene.effects.push(Effect::Send { connection, payload });
        }
        self.give(scene, Input::StoreConnected { store });
    }

    fn register(&mut self, scene: &mut StoreScene<'_>, connection: Connection) {
        let StoreSettings { id, name, zone, address, .. } = self.settings.clone();
        let registrant = Registrant::Store { id, name, zone, address: Address(address), bootstrap: false };
        let message = ToCore::Register {
            registrant,
            configuration_version: self.configuration_version,
            placement_epoch: self.placement.epoch.0,
        };
        scene.effects.push(Effect::Send { connection, payload: Payload::ToCore(message) });
    }

    fn on_closed(&mut self, scene: &mut StoreScene<'_>, connection: Connection) {
        self.to_cores.retain(|_, open| *open != connection);
        let dialed = self.dialed.iter().find(|(_, open)| **open == connection).map(|(store, _)| *store);
        if let Some(store) = dialed {
            self.dialed.remove(&store);
            self.give(scene, Input::StoreClosed { store });
        }
        match self.inbound.remove(&connection) {
            Some(Inbound::Dispatcher) => {
                let connection = ConnectionId(connection.0);
                self.give(scene, Input::DispatcherClosed { connection });
            }
            Some(Inbound::Store { id }) if self.accepted.get(&id) == Some(&connection) => {
                self.accepted.remove(&id);
                self.give(scene, Input::StoreClosed { store: id });
            }
            _ => {}
        }
    }

    fn on_payload(&mut self, scene: &mut StoreScene<'_>, connection: Connection, payload: Payload) {
        let caller = self.inbound.get(&connection).copied();
        match (payload, caller) {
            (Payload::FromCore(message), _) => self.on_core(scene, connection, message),
            (Payload::Addressed { store }, None) if store == self.settings.id => {
                self.inbound.insert(connection, Inbound::Caller);
            }
            (Payload::Stores(message), None) => {
                let from = self.dialed.iter().find(|(_, open)| **open == connection).map(|(id, _)| *id);
                if let Some(from) = from {
                    self.give(scene, Input::Store { from, message });
                }
            }
            (Payload::Stores(BetweenStores::Hello { store, .. }), Some(_)) => {
                self.inbound.insert(connection, Inbound::Store { id: store });
                if let Some(before) = self.accepted.insert(store, connection) {
                    scene.effects.push(Effect::Close { connection: before });
                }
                self.give(scene, Input::StoreConnected { store });
            }
            (Payload::Stores(message), Some(Inbound::Store { id })) => {
                self.give(scene, Input::Store { from: id, message });
            }
            (Payload::FromDispatcher(message), Some(_)) => {
                self.inbound.insert(connection, Inbound::Dispatcher);
                let connection = ConnectionId(connection.0);
                self.give(scene, Input::Dispatcher { connection, message });
            }
            // Meant for a store whose disk this machine had before.
            _ => scene.effects.push(Effect::Close { connection }),
        }
    }

    fn on_core(&mut self, scene: &mut StoreScene<'_>, connection: Connection, message: FromCore) {
        match message {
            FromCore::Placement { placement } if placement.epoch > self.placement.epoch => {
                self.follow(scene, &placement);
                self.placement = placement.clone();
                self.give(scene, Input::Placement(placement));
                self.heartbeat_at = 0;
            }
            FromCore::Configuration { configuration } => {
                self.configuration_version = self.configuration_version.max(configuration.version);
            }
            FromCore::Core { addresses } => {
                for Address(address) in addresses {
                    if !self.cores.contains(&address) {
                        self.cores.push(address);
                    }
                }
            }
            FromCore::Redirect => scene.effects.push(Effect::Close { connection }),
            _ => {}
        }
    }

    /// Connections with stores of the placement alone, and tellings of shards that are still learnt.
    fn follow(&mut self, scene: &mut StoreScene<'_>, placement: &Placement) {
        let old = self.placement.clone();
        let stays = |id: &StoreId| {
            let address = |placement: &Placement| placement.store(*id).map(|store| store.address);
            address(placement).is_some() && address(placement) == address(&old)
        };
        let gone: Vec<(StoreId, Connection)> =
            self.dialed.iter().filter(|(id, _)| !stays(id)).map(|(id, open)| (*id, *open)).collect();
        for (store, connection) in gone {
            self.dialed.remove(&store);
            scene.effects.push(Effect::Close { connection });
            self.give(scene, Input::StoreClosed { store });
        }
        let me = self.settings.id;
        self.filled.shards.retain(|filled| {
            let change = placement.shard(filled.shard).and_then(|entry| entry.change);
            let learns = change.is_some_and(|change| change.joins == me && change.epoch == filled.change);
            learns || filled.change > placement.epoch
        });
    }

    fn give(&mut self, scene: &mut StoreScene<'_>, input: Input) {
        let joins = matches!(&input, Input::Store { message: BetweenStores::Promise { .. }, .. });
        let mut output = Vec::new();
        self.node.handle(reading(scene.now), input, &mut output);
        for action in output {
            self.carry_out(scene, action, joins);
        }
    }

    fn carry_out(&mut self, scene: &mut StoreScene<'_>, action: Output, joins: bool) {
        match action {
            Output::Append { ticket, record } => {
                let is_message = matches!(record, DiskRecord::Message { .. });
                let forgets = joins && is_message && !self.mutant.has(Mechanism::JoinAppended);
                if forgets {
                    // Counted as held, and on no disk.
                    return self.give(scene, Input::Synced { ticket });
                }
                scene.disk.append(scene.true_now, ticket, record);
                scene.effects.push(Effect::Sync);
            }
            Output::ToDispatcher { connection, message } => {
                let (connection, payload) = (Connection(connection.0), Payload::ToDispatcher(message));
                scene.effects.push(Effect::Send { connection, payload });
            }
            Output::ToStore { store, message } => {
                let open = self.dialed.get(&store).or_else(|| self.accepted.get(&store));
                if let Some(connection) = open.copied() {
                    scene.effects.push(Effect::Send { connection, payload: Payload::Stores(message) });
                }
            }
            Output::CloseDispatcher { connection } => {
                scene.effects.push(Effect::Close { connection: Connection(connection.0) });
            }
            Output::CaughtUp { filled } => {
                self.filled.shards.insert(filled);
                self.filled.tell_at = 0;
                self.heartbeat_at = 0;
            }
            // Found lying and put right: the dispatcher's own checks tell whether it was late.
            Output::Orphaned { .. } | Output::Released { .. } => {}
        }
    }
}

/// A store machine with its disk and clock, whether or not its process runs.
#[derive(Clone)]
pub struct StoreMachine {
    pub process: Option<StoreProcess>,
    pub disk: StoreDisk,
    pub clock: Clock,
    /// Identity of the disk.
    pub id: StoreId,
}
