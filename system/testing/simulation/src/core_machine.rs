//! A core machine: the true node and placement manager in a shell like that of the system's program.

use crate::clock::Clock;
use crate::control_machine::ControlMachine;
use crate::event::{Call, Connection, Effect, Happening, Observation, Payload, Target};
use crate::history::{Answer, Order};
use crate::mechanism::{Mechanism, Mutant};
use crate::orders::{Orders, Step};
use crate::{MILLISECOND, SECOND};
use millrudder_chain::{
    CoreConfig, CoreNode, DiskWrite, FencingToken, Input, NodeId, Output, RequestId, Role, SimulatedDisk,
};
use millrudder_clock::Instant;
use millrudder_control_state::{Command, ControlState, Reply};
use millrudder_placement::{Input as PlacementInput, PlacementManager, Registration};
use millrudder_protocol::control::{FromCore, Registrant, ToCore, WorkerList};
use millrudder_protocol::{Address, StoreId};
use millrudder_staleness::{
    ConnectionId, CurrentWorkerList, Input as GateInput, Output as GateOutput, ReadBarrier, ReadNumber,
    RegistrantKind, RegistrantTime, StatePart, StateVersions, WorkerListVersion,
};
use speedy::Writable;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One role for all that one core machine does for all of them.
const CONTROLLER: &str = "controller";
/// Pause between two readings of the platform's list.
const READ_LIST_EVERY: u64 = 400 * MILLISECOND;
/// Orders that have waited too long are looked for this often.
const SWEEP: u64 = SECOND / 4;
/// A checkpoint after records of this many bytes, so that hundreds of changes bring many.
const CHECKPOINT_BYTES: usize = 4 << 10;
/// Commands kept in memory, so few that peers that were away need a snapshot.
const KEPT_ENTRIES: usize = 20;

/// What does not change while the machine lives.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// The machine may take part in the founding of a core.
    pub bootstrap: bool,
    pub tolerated_losses: u32,
}

#[derive(Clone, Debug)]
struct Registered {
    registrant: Registrant,
}

/// The running process of a core machine.
#[derive(Clone)]
pub struct CoreProcess<M: ControlMachine> {
    pub node: CoreNode<M>,
    manager: PlacementManager,
    settings: CoreSettings,
    mutant: Mutant,
    orders: Orders,
    /// Connections to other core machines, by address.
    dialed: BTreeMap<SocketAddr, Connection>,
    known: Vec<SocketAddr>,
    peers: BTreeMap<Connection, NodeId>,
    addresses: BTreeMap<NodeId, SocketAddr>,
    registrants: BTreeMap<Connection, Registered>,
    workers: WorkerList,
    current_list: CurrentWorkerList,
    gate: ReadBarrier,
    confirming: Option<Confirming>,
    followed_epoch: u64,
    fencing: Option<FencingToken>,
    read_list_at: u64,
    sweep_at: u64,
    leaving: bool,
    /// For how long the machine is known to have stood still in all (microseconds).
    stood_still: u64,
}

/// The read under way that confirms the state here.
#[derive(Clone, Copy, Debug)]
struct Confirming {
    request_id: RequestId,
    round: ReadNumber,
}

/// Gives the process its happenings together with what it works on.
pub struct CoreScene<'a> {
    /// Steady clock of the machine (microseconds).
    pub now: u64,
    /// By how much the time of day has run ahead of it, since it stood still (microseconds).
    pub stood_still: u64,
    pub disk: &'a mut SimulatedDisk,
    pub effects: &'a mut Vec<Effect>,
}

impl<M: ControlMachine> CoreProcess<M> {
    /// Starts on what the disk holds.
    pub fn start(settings: CoreSettings, mutant: Mutant, disk: &SimulatedDisk, seed: u64, now: u64) -> Self {
        let state = match mutant.has(Mechanism::RecordsReplayed) {
            true => disk.state(),
            false => disk.state_at_checkpoint(),
        };
        let mut config = CoreConfig::new(settings.address.to_string());
        config.minimum_members = settings.tolerated_losses as usize + 1;
        config.roles = vec![Role(CONTROLLER.to_owned())];
        config.checkpoint_bytes = CHECKPOINT_BYTES;
        config.kept_entries = KEPT_ENTRIES;
        if settings.bootstrap && state.is_none() {
            config.founders = settings.seeds.iter().map(SocketAddr::to_string).collect();
        }
        let node = CoreNode::<M>::new(config, state, seed, now).expect("the settings fit together");
        let mut manager = PlacementManager::new(settings.tolerated_losses);
        let held = node.machine().state();
        manager.handle(
            Instant::from_millis(now / MILLISECOND),
            PlacementInput::Committed(held.placement().clone()),
        );
        let mut process = CoreProcess {
            manager,
            orders: Orders::new(seed),
            dialed: BTreeMap::new(),
            known: settings.seeds.clone(),
            peers: BTreeMap::new(),
            addresses: BTreeMap::new(),
            registrants: BTreeMap::new(),
            workers: WorkerList::default(),
            current_list: CurrentWorkerList::default(),
            gate: ReadBarrier::new(numbers(held, &WorkerList::default())),
            confirming: None,
            followed_epoch: held.placement().epoch.0,
            fencing: None,
            read_list_at: u64::MAX,
            sweep_at: now,
            leaving: false,
            stood_still: u64::MAX,
            settings,
            mutant,
            node,
        };
        process.know_view();
        process
    }

    /// Switches mechanisms off or on again.
    pub fn set_mutant(&mut self, mutant: Mutant) {
        self.mutant = mutant;
    }

    /// Addresses to which a connection is wanted.
    pub fn wanted(&self) -> Vec<Target> {
        let others = self.known.iter().filter(|address| **address != self.settings.address);
        others.filter(|address| !self.dialed.contains_key(address)).copied().map(Target::core).collect()
    }

    /// When a tick is due, by the machine's steady clock (microseconds).
    pub fn next_deadline(&self, now: u64) -> u64 {
        let manager = self
            .manager
            .next_deadline(Instant::from_millis(now / MILLISECOND))
            .map(|due| due.as_millis() * MILLISECOND);
        let gate = self.gate.next_deadline().map(|due| due.as_millis() * MILLISECOND);
        let shell = manager.into_iter().chain(gate).chain([self.read_list_at, self.sweep_at]).min();
        self.node.next_deadline().min(shell.unwrap_or(u64::MAX))
    }

    /// Takes one happening and does what follows.
    pub fn handle(&mut self, scene: &mut CoreScene<'_>, happening: Happening) {
        self.look_at_clocks(scene);
        match happening {
            Happening::Dialed { connection, target } => self.on_dialed(scene, connection, target.address),
            Happening::Accepted { .. } => {}
            Happening::Closed { connection } => self.on_closed(scene, connection),
            Happening::Arrived { connection, payload } => self.on_payload(scene, connection, payload),
            Happening::Synced => {}
            Happening::Tick => self.on_tick(scene),
            Happening::Leaving => {
                self.leaving = true;
                self.guard(scene, GateInput::ShuttingDown);
                self.node.handle(scene.now, Input::Leave);
            }
            Happening::Called { call, order } => self.on_order(scene, call, order),
        }
        self.finish(scene);
    }

    /// Everything up to this write is durable.
    pub fn persisted(&mut self, scene: &mut CoreScene<'_>, token: millrudder_chain::PersistToken) {
        self.look_at_clocks(scene);
        self.node.handle(scene.now, Input::Persisted { token });
        self.finish(scene);
    }

    /// After a standstill nothing that was confirmed before is known to be recent.
    fn look_at_clocks(&mut self, scene: &mut CoreScene<'_>) {
        let before = std::mem::replace(&mut self.stood_still, scene.stood_still);
        if scene.stood_still > before {
            self.node.handle(scene.now, Input::ClockStalled);
            self.guard(scene, GateInput::ClockStalled);
            self.finish(scene);
        }
    }

    fn finish(&mut self, scene: &mut CoreScene<'_>) {
        let contact = self.has_contact(scene.now);
        if self.gate.is_due(Instant::from_millis(scene.now / MILLISECOND), contact) {
            self.guard(scene, GateInput::Tick);
        }
        self.carry_out(scene);
    }

    fn has_contact(&self, now: u64) -> bool {
        !self.mutant.has(Mechanism::QuorumContact) || self.node.has_majority_contact(now)
    }

    /// Whether the core can do without this process, which was told to end.
    pub fn may_go(&self, now: u64) -> bool {
        self.leaving && self.node.may_go(now)
    }

    /// Gives the gate an input and does what it asks for.
    fn guard(&mut self, scene: &mut CoreScene<'_>, input: GateInput) {
        let mut output = Vec::new();
        let contact = self.has_contact(scene.now);
        self.gate.handle(Instant::from_millis(scene.now / MILLISECOND), contact, input, &mut output);
        for output in output {
            self.follow(scene, output);
        }
    }

    fn follow(&mut self, scene: &mut CoreScene<'_>, output: GateOutput) {
        match output {
            GateOutput::StartRead { read } => self.start_confirming(scene, read),
            GateOutput::AbandonRead { read: round } => {
                if let Some(confirming) = self.confirming.take_if(|confirming| confirming.round == round) {
                    let request_id = confirming.request_id;
                    self.node.handle(scene.now, Input::Abandon { request_id });
                }
            }
            GateOutput::Send { connection, part } => self.tell_part(scene, connection, part),
            GateOutput::Confirm { connection, sent_at } => self.vouch(scene, connection, sent_at.0),
            GateOutput::NoQuorum { connection } => {
                tell(scene, Connection(connection.0), &FromCore::NoQuorum);
            }
            GateOutput::Redirect { connection } => {
                tell(scene, Connection(connection.0), &FromCore::Redirect);
            }
        }
    }

    fn start_confirming(&mut self, scene: &mut CoreScene<'_>, round: ReadNumber) {
        if !self.mutant.has(Mechanism::QuorumContact) {
            // Confirmed by nobody.
            return self.guard(scene, GateInput::ReadCompleted { read: round });
        }
        let request_id = self.orders.own_request(&self.mutant);
        self.confirming = Some(Confirming { request_id, round });
        self.node.handle(scene.now, Input::Read { request_id });
    }

    fn tell_part(&self, scene: &mut CoreScene<'_>, connection: ConnectionId, part: StatePart) {
        let (connection, state) = (Connection(connection.0), self.node.machine().state());
        match part {
            StatePart::Configuration => tell_configuration(scene, connection, state.configuration().clone()),
            StatePart::Placement => {
                let placement = state.placement().clone();
                tell(scene, connection, &FromCore::Placement { placement });
            }
            StatePart::Workers => {
                let list = self.workers.clone();
                tell(scene, connection, &FromCore::Workers { list });
            }
        }
    }

    fn vouch(&self, scene: &mut CoreScene<'_>, connection: ConnectionId, moment_ms: u64) {
        let state = self.node.machine().state();
        let message = FromCore::Heartbeat {
            configuration_version: state.configuration().version,
            placement_epoch: state.placement().epoch.0,
            moment_ms,
        };
        tell(scene, Connection(connection.0), &message);
    }

    /// Whether this process acts as holder of the lease.
    pub fn holds(&self, now: u64) -> Option<FencingToken> {
        self.node.holds(now, &Role(CONTROLLER.to_owned()))
    }

    fn on_dialed(&mut self, scene: &mut CoreScene<'_>, connection: Connection, address: SocketAddr) {
        self.dialed.insert(address, connection);
        let payload = Payload::Peer { id: self.node.id(), address: self.settings.address.to_string() };
        scene.effects.push(Effect::Send { connection, payload });
        let payload = Payload::Workers { list: self.workers.clone() };
        scene.effects.push(Effect::Send { connection, payload });
        self.guard(scene, GateInput::PeerOpened);
    }

    fn on_closed(&mut self, scene: &mut CoreScene<'_>, connection: Connection) {
        self.dialed.retain(|_, dialed| *dialed != connection);
        self.peers.remove(&connection);
        self.registrants.remove(&connection);
        self.guard(scene, GateInput::Closed { connection: ConnectionId(connection.0) });
    }

    fn on_payload(&mut self, scene: &mut CoreScene<'_>, connection: Connection, payload: Payload) {
        match payload {
            Payload::Peer { id, address } => self.on_peer(scene, connection, id, &address),
            Payload::Core { to, message } => {
                let from = self.peers.get(&connection).copied().filter(|_| to == self.node.id());
                if let Some(from) = from {
                    self.node.handle(scene.now, Input::Message { from, message });
                }
            }
            Payload::Workers { list } if self.current_list.adopt_received(WorkerListVersion::from(&list)) => {
                self.workers = list;
                self.tell_news(scene);
            }
            Payload::ToCore(message) => self.on_client(scene, connection, message),
            _ => {}
        }
    }

    fn on_peer(&mut self, scene: &mut CoreScene<'_>, connection: Connection, id: NodeId, text: &str) {
        let Ok(address) = text.parse::<SocketAddr>() else { return };
        self.peers.insert(connection, id);
        self.addresses.insert(id, address);
        self.know(address);
        self.node.handle(scene.now, Input::PeerSeen { id, address: text.to_owned() });
        let addresses = self.core_addresses();
        self.tell_all(scene, &addresses);
    }

    fn on_client(&mut self, scene: &mut CoreScene<'_>, connection: Connection, message: ToCore) {
        match message {
            ToCore::Register { registrant, configuration_version, placement_epoch } => {
                self.on_register(scene, connection, registrant, configuration_version, placement_epoch);
            }
            // The simulated machine vouches for nothing.
            ToCore::Ask { moment_ms } => {
                let connection = ConnectionId(connection.0);
                self.guard(
                    scene,
                    GateInput::StalenessCheck { connection, sent_at: RegistrantTime(moment_ms) },
                );
            }
            ToCore::Heartbeat { health } => {
                if let (Some(id), Some(health)) = (self.store(connection), health) {
                    self.manage(scene, PlacementInput::Heartbeat { id, health });
                }
            }
            ToCore::CaughtUp { shards } => {
                if let Some(id) = self.store(connection) {
                    self.manage(scene, PlacementInput::CaughtUp { id, shards });
                }
            }
        }
    }

    fn store(&self, connection: Connection) -> Option<StoreId> {
        match self.registrants.get(&connection)?.registrant {
            Registrant::Store { id, .. } => Some(id),
            Registrant::Dispatcher { .. } => None,
        }
    }

    fn on_register(
        &mut self,
        scene: &mut CoreScene<'_>,
        connection: Connection,
        registrant: Registrant,
        version: u64,
        epoch: u64,
    ) {
        if let Registrant::Store { id, name, zone, address, .. } = &registrant {
            let (name, zone) = (name.clone(), zone.clone());
            self.manage(
                scene,
                PlacementInput::Registered(Registration { id: *id, name, zone, address: *address }),
            );
        }
        let kind = match registrant {
            Registrant::Dispatcher { .. } => RegistrantKind::Dispatcher,
            Registrant::Store { .. } => RegistrantKind::Store,
        };
        self.registrants.insert(connection, Registered { registrant });
        let addresses = self.core_addresses();
        tell(scene, connection, &addresses);
        let workers = WorkerListVersion::default();
        let versions = StateVersions { configuration_version: version, placement_epoch: epoch, workers };
        let connection = ConnectionId(connection.0);
        self.guard(scene, GateInput::Registered { connection, kind, versions });
    }

    fn on_tick(&mut self, scene: &mut CoreScene<'_>) {
        self.node.handle(scene.now, Input::Tick);
        self.manage(scene, PlacementInput::Tick);
        self.read_list(scene);
        self.sweep(scene);
    }

    fn sweep(&mut self, scene: &mut CoreScene<'_>) {
        if scene.now < self.sweep_at {
            return;
        }
        self.sweep_at = scene.now + SWEEP;
        for (request_id, call) in self.orders.take_overdue(scene.now) {
            self.node.handle(scene.now, Input::Abandon { request_id });
            scene.effects.push(Effect::Answer { call, answer: Answer::Unavailable });
        }
    }

    fn read_list(&mut self, scene: &mut CoreScene<'_>) {
        let fencing = match self.mutant.has(Mechanism::LeaseChecked) {
            true => self.holds(scene.now),
            false => self.fencing,
        };
        let Some(fencing) = fencing.filter(|_| scene.now >= self.read_list_at) else { return };
        self.read_list_at = scene.now + READ_LIST_EVERY;
        scene.effects.push(Effect::Seen(Observation::ActedAsHolder { fencing }));
        let same = self.workers.fencing == fencing.0;
        let number = if same { self.workers.number + 1 } else { 1 };
        let list = WorkerList { fencing: fencing.0, number, workers: Vec::new() };
        self.adopt_own_list(scene, list);
    }

    /// Takes a list that this machine has read, and tells it to the other core machines too.
    fn adopt_own_list(&mut self, scene: &mut CoreScene<'_>, list: WorkerList) {
        let lease = self.holds(scene.now).map(|fencing| fencing.0);
        let lease = lease.or(Some(list.fencing).filter(|_| !self.mutant.has(Mechanism::LeaseChecked)));
        if !self.current_list.adopt_own(WorkerListVersion::from(&list), lease) {
            return;
        }
        for connection in self.dialed.values() {
            let payload = Payload::Workers { list: list.clone() };
            scene.effects.push(Effect::Send { connection: *connection, payload });
        }
        self.workers = list;
        self.tell_news(scene);
    }

    /// Reports this machine's present state to the gate, which has it told to whom it may concern.
    fn tell_news(&mut self, scene: &mut CoreScene<'_>) {
        let numbers = numbers(self.node.machine().state(), &self.workers);
        self.guard(scene, GateInput::StateChanged(numbers));
    }

    fn on_order(&mut self, scene: &mut CoreScene<'_>, call: Call, order: Order) {
        let open = self.gate.accepts_requests(Instant::from_millis(scene.now / MILLISECOND));
        let state = self.node.machine().state();
        let step = self.orders.take(scene.now, call, order, open, state, &self.mutant);
        match step {
            Step::Answer(answer) => scene.effects.push(Effect::Answer { call, answer }),
            Step::Submit { request_id, command } => {
                self.node.handle(scene.now, Input::Submit { request_id, command });
                if !self.mutant.has(Mechanism::CommitBeforeAnswer) {
                    scene.effects.push(Effect::Answer { call, answer: Answer::Accepted });
                }
            }
            Step::Read { request_id } => self.node.handle(scene.now, Input::Read { request_id }),
        }
    }

    fn manage(&mut self, scene: &mut CoreScene<'_>, input: PlacementInput) {
        if let Some(placement) = self.manager.handle(Instant::from_millis(scene.now / MILLISECOND), input) {
            let request_id = self.orders.own_request(&self.mutant);
            let command = Command::SetPlacement { placement };
            self.node.handle(scene.now, Input::Submit { request_id, command });
        }
    }

    /// Carries out what the node asks for, until nothing more comes.
    fn carry_out(&mut self, scene: &mut CoreScene<'_>) {
        while let Some(output) = self.node.next_output() {
            match output {
                Output::Send { to, message } => self.send(scene, to, Payload::Core { to, message }),
                Output::Persist { token, record } => {
                    scene.disk.begin(DiskWrite::Append { token, record });
                    self.written(scene, token);
                }
                Output::Checkpoint { token, state } => {
                    scene.disk.begin(DiskWrite::Checkpoint { token, state });
                    scene.effects.push(Effect::Sync);
                }
                Output::Committed { sequence, request_id, command, reply } => {
                    let command_bytes = command.write_to_vec().unwrap_or_default();
                    let seen = Observation::Committed {
                        sequence: sequence.0,
                        request_id,
                        command: command_bytes,
                        reply,
                    };
                    scene.effects.push(Effect::Seen(seen));
                    self.on_committed(scene, reply);
                }
                Output::Replaced { .. } => self.follow_state(scene),
                Output::Reply { request_id, reply } => {
                    if let Some((call, answer)) = self.orders.replied(request_id, reply, &self.mutant) {
                        scene.effects.push(Effect::Answer { call, answer });
                    }
                }
                Output::ReadReady { request_id } => self.on_read_ready(scene, request_id),
                Output::ViewChanged(view) => {
                    scene.effects.push(Effect::Seen(Observation::ViewEntered { view }));
                    self.know_view();
                }
                // Contact is asked for where it counts.
                Output::LeaseGranted { fencing, .. } => {
                    scene.effects.push(Effect::Seen(Observation::LeaseGranted { fencing }));
                    self.on_lease(scene, Some(fencing));
                }
                Output::LeaseLost { .. } => self.on_lease(scene, None),
                Output::QuorumContactGained | Output::QuorumContactLost => self.guard(scene, GateInput::Tick),
            }
        }
    }

    fn written(&mut self, scene: &mut CoreScene<'_>, token: millrudder_chain::PersistToken) {
        scene.effects.push(Effect::Sync);
        if !self.mutant.has(Mechanism::SyncBeforePersisted) {
            self.node.handle(scene.now, Input::Persisted { token });
        }
    }

    fn on_read_ready(&mut self, scene: &mut CoreScene<'_>, request_id: RequestId) {
        let confirming = self.confirming.take_if(|confirming| confirming.request_id == request_id);
        if let Some(confirming) = confirming {
            return self.guard(scene, GateInput::ReadCompleted { read: confirming.round });
        }
        if let Some((call, answer)) = self.orders.read_ready(request_id, self.node.machine().state()) {
            scene.effects.push(Effect::Answer { call, answer });
        }
    }

    fn on_committed(&mut self, scene: &mut CoreScene<'_>, reply: Reply) {
        if matches!(reply, Reply::ConfigurationAccepted | Reply::PlacementSet) {
            self.follow_state(scene);
        }
    }

    /// Something may have come into force.
    fn follow_state(&mut self, scene: &mut CoreScene<'_>) {
        self.tell_news(scene);
        let placement = self.node.machine().state().placement();
        if placement.epoch.0 > self.followed_epoch {
            let placement = placement.clone();
            self.followed_epoch = placement.epoch.0;
            self.manage(scene, PlacementInput::Committed(placement));
        }
    }

    fn on_lease(&mut self, scene: &mut CoreScene<'_>, fencing: Option<FencingToken>) {
        self.fencing = fencing;
        self.read_list_at = fencing.map_or(u64::MAX, |_| scene.now);
        self.guard(scene, GateInput::ControllerLease { is_held: fencing.is_some() });
        self.manage(scene, PlacementInput::ControllerLease { is_held: fencing.is_some() });
    }

    fn send(&self, scene: &mut CoreScene<'_>, to: NodeId, payload: Payload) {
        let known = self.addresses.get(&to).copied();
        let address = known.or_else(|| self.node.address(to)?.parse().ok());
        let connection = address.and_then(|address| self.dialed.get(&address).copied());
        if let Some(connection) = connection {
            scene.effects.push(Effect::Send { connection, payload });
        }
    }

    fn know(&mut self, address: SocketAddr) {
        if !self.known.contains(&address) {
            self.known.push(address);
        }
    }

    fn know_view(&mut self) {
        let Some(view) = self.node.view().cloned() else { return };
        for member in &view.voters {
            if let Ok(address) = member.address.parse() {
                self.addresses.insert(member.id, address);
                self.know(address);
            }
        }
    }

    fn core_addresses(&self) -> FromCore {
        FromCore::Core { addresses: self.known.iter().copied().map(Address).collect() }
    }

    fn tell_all(&self, scene: &mut CoreScene<'_>, message: &FromCore) {
        for connection in self.registrants.keys() {
            tell(scene, *connection, message);
        }
    }
}

/// The versions of a machine's state.
fn numbers(state: &ControlState, list: &WorkerList) -> StateVersions {
    StateVersions {
        configuration_version: state.configuration().version,
        placement_epoch: state.placement().epoch.0,
        workers: WorkerListVersion::from(list),
    }
}

fn tell(scene: &mut CoreScene<'_>, connection: Connection, message: &FromCore) {
    scene.effects.push(Effect::Send { connection, payload: Payload::FromCore(message.clone()) });
}

fn tell_configuration(
    scene: &mut CoreScene<'_>,
    connection: Connection,
    configuration: millrudder_protocol::control::ConfigurationText,
) {
    let version = configuration.version;
    scene.effects.push(Effect::Seen(Observation::ToldConfiguration { version }));
    tell(scene, connection, &FromCore::Configuration { configuration });
}

/// A core machine with its disk and clock, whether or not its process runs.
#[derive(Clone)]
pub struct CoreMachine<M: ControlMachine> {
    pub process: Option<CoreProcess<M>>,
    pub disk: SimulatedDisk,
    pub clock: Clock,
    /// The machine had another disk before.
    pub lost_a_disk: bool,
}
