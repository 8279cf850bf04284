//! A simulated core machine: the production node and placement manager in a shell like the production one.

use crate::clock::{whole_millis, Clock};
use crate::control_machine::ControlMachine;
use crate::event::{Call, Connection, Effect, Observation, Payload, ProcessInput, Target};
use crate::history::{Request, Response};
use crate::mechanism::{Mechanism, Mutant};
use crate::pending_requests::{PendingRequests, RequestStep};
use millrudder_chain::{
    CoreConfig, CoreNode, DiskWrite, FencingToken, Input, NodeId, Output, RequestId, Role, SimulatedDisk,
};
use millrudder_clock::Instant;
use millrudder_control_state::{Command, ControlState, Reply};
use millrudder_placement::{Input as PlacementInput, PlacementManager, Registration};
use millrudder_protocol::control::{FromCore, Registrant, ToCore, WorkerList};
use millrudder_protocol::{Address, StoreId};
use millrudder_staleness::{
    ConnectionId, CurrentWorkerList, Input as BarrierInput, Output as BarrierOutput, ReadBarrier, ReadNumber,
    RegistrantKind, RegistrantTime, StatePart, StateVersions, WorkerListVersion,
};
use speedy::Writable;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The singleton role of the core machine that acts for all of them.
const CONTROLLER: &str = "controller";
/// Pause between two reads of the platform's worker list.
const LIST_INTERVAL: Duration = Duration::from_millis(400);
/// Pause between two sweeps for requests that timed out.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Records of this many bytes cause a checkpoint: few, so that hundreds of changes cause many checkpoints.
const CHECKPOINT_BYTES: usize = 4 << 10;
/// Commands retained in memory: so few that a peer that was down needs a snapshot.
const RETAINED_ENTRIES: usize = 20;

/// Settings of a core process.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// Its internal address.
    pub address: SocketAddr,
    /// Addresses of all core machines.
    pub seeds: Vec<SocketAddr>,
    /// Whether the machine may bootstrap a core.
    pub bootstrap: bool,
    /// Number of disks that may be lost at the same time.
    pub tolerated_losses: u32,
}

/// The running process of a core machine.
#[derive(Clone)]
pub struct CoreProcess<M: ControlMachine> {
    /// The production state machine of the core.
    pub node: CoreNode<M>,
    manager: PlacementManager,
    settings: CoreSettings,
    mutant: Mutant,
    pending_requests: PendingRequests,
    /// Connections to other core machines, by address.
    dialed: BTreeMap<SocketAddr, Connection>,
    core_addresses: Vec<SocketAddr>,
    peers: BTreeMap<Connection, NodeId>,
    addresses: BTreeMap<NodeId, SocketAddr>,
    registrants: BTreeMap<Connection, Registrant>,
    workers: WorkerList,
    current_list: CurrentWorkerList,
    read_barrier: ReadBarrier,
    confirming: Option<Confirming>,
    followed_epoch: u64,
    fencing: Option<FencingToken>,
    /// When the worker list is read next; `None` without the lease.
    read_list_at: Option<Instant>,
    sweep_at: Instant,
    leaving: bool,
    /// Total duration of the clock stalls handled so far.
    stalled: Option<Duration>,
}

/// The linearizable read in flight that confirms the state of this machine.
#[derive(Clone, Copy, Debug)]
struct Confirming {
    request_id: RequestId,
    read: ReadNumber,
}

/// The environment in which a core process handles an input.
pub struct CoreContext<'a> {
    /// Reading of the machine's steady clock.
    pub now: Instant,
    /// Total duration of the clock's stalls.
    pub stalled: Duration,
    /// The machine's disk.
    pub disk: &'a mut SimulatedDisk,
    /// Receives the effects.
    pub effects: &'a mut Vec<Effect>,
}

impl<M: ControlMachine> CoreProcess<M> {
    /// Starts a process with the contents of the disk.
    ///
    /// # Panics
    /// The settings are invalid.
    pub fn start(
        settings: CoreSettings,
        mutant: Mutant,
        disk: &SimulatedDisk,
        seed: u64,
        now: Instant,
    ) -> Self {
        let state = if mutant.is_enabled(Mechanism::RecordsReplayed) {
            disk.state()
        } else {
            disk.state_at_checkpoint()
        };
        let mut config = CoreConfig::new(settings.address.to_string());
        config.minimum_members = settings.tolerated_losses as usize + 1;
        config.roles = vec![Role(CONTROLLER.to_owned())];
        config.checkpoint_bytes = CHECKPOINT_BYTES;
        config.retained_entries = RETAINED_ENTRIES;
        if settings.bootstrap && state.is_none() {
            config.bootstrap_addresses = settings.seeds.iter().map(SocketAddr::to_string).collect();
        }
        let node = CoreNode::<M>::new(config, state, seed, now).expect("the settings fit together");
        let mut manager = PlacementManager::new(settings.tolerated_losses);
        let control_state = node.machine().state();
        manager.handle(whole_millis(now), PlacementInput::Committed(control_state.placement().clone()));
        let mut process = CoreProcess {
            manager,
            pending_requests: PendingRequests::new(seed),
            dialed: BTreeMap::new(),
            core_addresses: settings.seeds.clone(),
            peers: BTreeMap::new(),
            addresses: BTreeMap::new(),
            registrants: BTreeMap::new(),
            workers: WorkerList::default(),
            current_list: CurrentWorkerList::default(),
            read_barrier: ReadBarrier::new(state_versions(control_state, &WorkerList::default())),
            confirming: None,
            followed_epoch: control_state.placement().epoch.0,
            fencing: None,
            read_list_at: None,
            sweep_at: now,
            leaving: false,
            stalled: None,
            settings,
            mutant,
            node,
        };
        process.add_view_addresses();
        process
    }

    /// Sets which mechanisms are disabled.
    pub fn set_mutant(&mut self, mutant: Mutant) {
        self.mutant = mutant;
    }

    /// Targets to which a connection is missing.
    pub fn missing_connections(&self) -> Vec<Target> {
        let others = self.core_addresses.iter().filter(|address| **address != self.settings.address);
        others.filter(|address| !self.dialed.contains_key(address)).copied().map(Target::core).collect()
    }

    /// When the next tick is due, by the machine's steady clock.
    pub fn next_deadline(&self, now: Instant) -> Instant {
        let manager = self.manager.next_deadline(whole_millis(now)).map(whole_millis);
        let read_barrier = self.read_barrier.next_deadline().map(whole_millis);
        let shell =
            manager.into_iter().chain(read_barrier).chain(self.read_list_at).chain([self.sweep_at]).min();
        let node = self.node.next_deadline();
        shell.map_or(node, |shell| shell.min(node))
    }

    /// Handles an input.
    pub fn handle(&mut self, context: &mut CoreContext<'_>, input: ProcessInput) {
        self.detect_clock_stall(context);
        match input {
            ProcessInput::Connected { connection, target } => {
                self.handle_connected(context, connection, target.address)
            }
            ProcessInput::Closed { connection } => self.handle_closed(context, connection),
            ProcessInput::Received { connection, payload } => {
                self.handle_payload(context, connection, payload)
            }
            ProcessInput::Synced => {}
            ProcessInput::Tick => self.handle_tick(context),
            ProcessInput::ShutdownRequested => {
                self.leaving = true;
                self.drive_barrier(context, BarrierInput::ShuttingDown);
                self.node.handle(context.now, Input::Leave);
            }
            ProcessInput::OperatorCall { call, request } => {
                self.handle_operator_request(context, call, request)
            }
        }
        self.finish(context);
    }

    /// Handles the completion of all writes up to `token`.
    pub fn handle_persisted(&mut self, context: &mut CoreContext<'_>, token: millrudder_chain::PersistToken) {
        self.detect_clock_stall(context);
        self.node.handle(context.now, Input::Persisted { token });
        self.finish(context);
    }

    /// After a clock stall, confirmations from before it may be older than they appear.
    fn detect_clock_stall(&mut self, context: &mut CoreContext<'_>) {
        let before = self.stalled.replace(context.stalled);
        if before.is_some_and(|before| context.stalled > before) {
            self.node.handle(context.now, Input::ClockStalled);
            self.drive_barrier(context, BarrierInput::ClockStalled);
            self.finish(context);
        }
    }

    fn finish(&mut self, context: &mut CoreContext<'_>) {
        let contact = self.has_quorum_contact(context.now);
        if self.read_barrier.is_due(whole_millis(context.now), contact) {
            self.drive_barrier(context, BarrierInput::Tick);
        }
        self.carry_out(context);
    }

    fn has_quorum_contact(&self, now: Instant) -> bool {
        !self.mutant.is_enabled(Mechanism::QuorumContact) || self.node.has_quorum_contact(now)
    }

    /// Whether this process, which got SIGTERM, has left the core.
    pub fn can_leave(&self, now: Instant) -> bool {
        self.leaving && self.node.can_leave(now)
    }

    /// Passes an input to the read barrier and applies its outputs.
    fn drive_barrier(&mut self, context: &mut CoreContext<'_>, input: BarrierInput) {
        let mut output = Vec::new();
        let contact = self.has_quorum_contact(context.now);
        self.read_barrier.handle(whole_millis(context.now), contact, input, &mut output);
        for output in output {
            self.apply_barrier_output(context, output);
        }
    }

    fn apply_barrier_output(&mut self, context: &mut CoreContext<'_>, output: BarrierOutput) {
        match output {
            BarrierOutput::StartRead { read } => self.start_confirmation(context, read),
            BarrierOutput::AbandonRead { read } => {
                if let Some(confirming) = self.confirming.take_if(|confirming| confirming.read == read) {
                    let request_id = confirming.request_id;
                    self.node.handle(context.now, Input::Abandon { request_id });
                }
            }
            BarrierOutput::Send { connection, part } => self.send_state_part(context, connection, part),
            BarrierOutput::Confirm { connection, sent_at } => {
                self.send_confirmation(context, connection, sent_at.0)
            }
            BarrierOutput::NoQuorum { connection } => {
                send_from_core(context, Connection(connection.0), &FromCore::NoQuorum);
            }
            BarrierOutput::Redirect { connection } => {
                send_from_core(context, Connection(connection.0), &FromCore::Redirect);
            }
        }
    }

    fn start_confirmation(&mut self, context: &mut CoreContext<'_>, read: ReadNumber) {
        if !self.mutant.is_enabled(Mechanism::QuorumContact) {
            // The mutant completes the read without a confirmation.
            return self.drive_barrier(context, BarrierInput::ReadCompleted { read });
        }
        let request_id = self.pending_requests.next_request_id(&self.mutant);
        self.confirming = Some(Confirming { request_id, read });
        self.node.handle(context.now, Input::Read { request_id });
    }

    fn send_state_part(&self, context: &mut CoreContext<'_>, connection: ConnectionId, part: StatePart) {
        let (connection, state) = (Connection(connection.0), self.node.machine().state());
        match part {
            StatePart::Configuration => {
                send_configuration(context, connection, state.configuration().clone())
            }
            StatePart::Placement => {
                let placement = state.placement().clone();
                send_from_core(context, connection, &FromCore::Placement { placement });
            }
            StatePart::Workers => {
                let list = self.workers.clone();
                send_from_core(context, connection, &FromCore::Workers { list });
            }
        }
    }

    fn send_confirmation(&self, context: &mut CoreContext<'_>, connection: ConnectionId, sent_at_ms: u64) {
        let state = self.node.machine().state();
        let message = FromCore::StalenessConfirmed {
            configuration_version: state.configuration().version,
            placement_epoch: state.placement().epoch.0,
            sent_at_ms,
        };
        send_from_core(context, Connection(connection.0), &message);
    }

    /// The fencing token if this process holds the controller's lease.
    pub fn holds(&self, now: Instant) -> Option<FencingToken> {
        self.node.holds(now, &Role(CONTROLLER.to_owned()))
    }

    fn handle_connected(
        &mut self,
        context: &mut CoreContext<'_>,
        connection: Connection,
        address: SocketAddr,
    ) {
        self.dialed.insert(address, connection);
        let payload = Payload::Peer { id: self.node.id(), address: self.settings.address.to_string() };
        context.effects.push(Effect::Send { connection, payload });
        let payload = Payload::Workers { list: self.workers.clone() };
        context.effects.push(Effect::Send { connection, payload });
        self.drive_barrier(context, BarrierInput::PeerOpened);
    }

    fn handle_closed(&mut self, context: &mut CoreContext<'_>, connection: Connection) {
        self.dialed.retain(|_, dialed| *dialed != connection);
        self.peers.remove(&connection);
        self.registrants.remove(&connection);
        self.drive_barrier(context, BarrierInput::Closed { connection: ConnectionId(connection.0) });
    }

    fn handle_payload(&mut self, context: &mut CoreContext<'_>, connection: Connection, payload: Payload) {
        match payload {
            Payload::Peer { id, address } => self.handle_peer(context, connection, id, &address),
            Payload::Core { to, message } => {
                let from = self.peers.get(&connection).copied().filter(|_| to == self.node.id());
                if let Some(from) = from {
                    self.node.handle(context.now, Input::Message { from, message });
                }
            }
            Payload::Workers { list } if self.current_list.adopt_received(WorkerListVersion::from(&list)) => {
                self.workers = list;
                self.publish_state(context);
            }
            Payload::ToCore(message) => self.handle_registrant_message(context, connection, message),
            _ => {}
        }
    }

    fn handle_peer(&mut self, context: &mut CoreContext<'_>, connection: Connection, id: NodeId, text: &str) {
        let Ok(address) = text.parse::<SocketAddr>() else { return };
        self.peers.insert(connection, id);
        self.addresses.insert(id, address);
        self.add_core_address(address);
        self.node.handle(context.now, Input::PeerSeen { id, address: text.to_owned() });
        let addresses = self.core_addresses();
        self.send_to_registrants(context, &addresses);
    }

    fn handle_registrant_message(
        &mut self,
        context: &mut CoreContext<'_>,
        connection: Connection,
        message: ToCore,
    ) {
        match message {
            ToCore::Register { registrant, configuration_version, placement_epoch } => {
                self.handle_registration(
                    context,
                    connection,
                    registrant,
                    configuration_version,
                    placement_epoch,
                );
            }
            // The read barrier decides whether the state may be confirmed.
            ToCore::StalenessCheck { sent_at_ms } => {
                let connection = ConnectionId(connection.0);
                self.drive_barrier(
                    context,
                    BarrierInput::StalenessCheck { connection, sent_at: RegistrantTime(sent_at_ms) },
                );
            }
            ToCore::Heartbeat { health } => {
                if let (Some(id), Some(health)) = (self.store(connection), health) {
                    self.manage(context, PlacementInput::Heartbeat { id, health });
                }
            }
            ToCore::LearnerCaughtUp { shards } => {
                if let Some(id) = self.store(connection) {
                    self.manage(context, PlacementInput::LearnerCaughtUp { id, shards });
                }
            }
        }
    }

    fn store(&self, connection: Connection) -> Option<StoreId> {
        match self.registrants.get(&connection)? {
            Registrant::Store { id, .. } => Some(*id),
            Registrant::Dispatcher { .. } => None,
        }
    }

    fn handle_registration(
        &mut self,
        context: &mut CoreContext<'_>,
        connection: Connection,
        registrant: Registrant,
        version: u64,
        epoch: u64,
    ) {
        if let Registrant::Store { id, name, zone, address, .. } = &registrant {
            let (name, zone) = (name.clone(), zone.clone());
            self.manage(
                context,
                PlacementInput::Registered(Registration { id: *id, name, zone, address: *address }),
            );
        }
        let kind = match registrant {
            Registrant::Dispatcher { .. } => RegistrantKind::Dispatcher,
            Registrant::Store { .. } => RegistrantKind::Store,
        };
        self.registrants.insert(connection, registrant);
        let addresses = self.core_addresses();
        send_from_core(context, connection, &addresses);
        let workers = WorkerListVersion::default();
        let versions = StateVersions { configuration_version: version, placement_epoch: epoch, workers };
        let connection = ConnectionId(connection.0);
        self.drive_barrier(context, BarrierInput::Registered { connection, kind, versions });
    }

    fn handle_tick(&mut self, context: &mut CoreContext<'_>) {
        self.node.handle(context.now, Input::Tick);
        self.manage(context, PlacementInput::Tick);
        self.read_list(context);
        self.sweep(context);
    }

    fn sweep(&mut self, context: &mut CoreContext<'_>) {
        if context.now < self.sweep_at {
            return;
        }
        self.sweep_at = context.now + SWEEP_INTERVAL;
        for (request_id, call) in self.pending_requests.take_overdue(context.now) {
            self.node.handle(context.now, Input::Abandon { request_id });
            context.effects.push(Effect::Response { call, response: Response::Unavailable });
        }
    }

    fn read_list(&mut self, context: &mut CoreContext<'_>) {
        let fencing = if self.mutant.is_enabled(Mechanism::LeaseChecked) {
            self.holds(context.now)
        } else {
            self.fencing
        };
        let Some(fencing) = fencing.filter(|_| self.read_list_at.is_some_and(|at| context.now >= at)) else {
            return;
        };
        self.read_list_at = Some(context.now + LIST_INTERVAL);
        context.effects.push(Effect::Observe(Observation::ActedAsLeaseHolder { fencing }));
        let same = self.workers.fencing == fencing.0;
        let number = if same { self.workers.number + 1 } else { 1 };
        let list = WorkerList { fencing: fencing.0, number, workers: Vec::new() };
        self.adopt_own_list(context, list);
    }

    /// Adopts a worker list that this machine has read, and sends it to the other core machines.
    fn adopt_own_list(&mut self, context: &mut CoreContext<'_>, list: WorkerList) {
        let lease = self.holds(context.now).map(|fencing| fencing.0);
        let lease = lease.or(Some(list.fencing).filter(|_| !self.mutant.is_enabled(Mechanism::LeaseChecked)));
        if !self.current_list.adopt_own(WorkerListVersion::from(&list), lease) {
            return;
        }
        for connection in self.dialed.values() {
            let payload = Payload::Workers { list: list.clone() };
            context.effects.push(Effect::Send { connection: *connection, payload });
        }
        self.workers = list;
        self.publish_state(context);
    }

    /// Reports the versions of this machine's state to the read barrier, which decides to whom it is sent.
    fn publish_state(&mut self, context: &mut CoreContext<'_>) {
        let versions = state_versions(self.node.machine().state(), &self.workers);
        self.drive_barrier(context, BarrierInput::StateChanged(versions));
    }

    fn handle_operator_request(&mut self, context: &mut CoreContext<'_>, call: Call, request: Request) {
        let open = self.read_barrier.accepts_requests(whole_millis(context.now));
        let state = self.node.machine().state();
        let step =
            self.pending_requests.handle_request(context.now, call, request, open, state, &self.mutant);
        match step {
            RequestStep::Response(response) => context.effects.push(Effect::Response { call, response }),
            RequestStep::Submit { request_id, command } => {
                self.node.handle(context.now, Input::Submit { request_id, command });
                if !self.mutant.is_enabled(Mechanism::CommitBeforeResponse) {
                    context.effects.push(Effect::Response { call, response: Response::Accepted });
                }
            }
            RequestStep::Read { request_id } => self.node.handle(context.now, Input::Read { request_id }),
        }
    }

    fn manage(&mut self, context: &mut CoreContext<'_>, input: PlacementInput) {
        if let Some(placement) = self.manager.handle(whole_millis(context.now), input) {
            let request_id = self.pending_requests.next_request_id(&self.mutant);
            let command = Command::SetPlacement { placement };
            self.node.handle(context.now, Input::Submit { request_id, command });
        }
    }

    /// Applies the node's outputs until there are none left.
    fn carry_out(&mut self, context: &mut CoreContext<'_>) {
        while let Some(output) = self.node.next_output() {
            match output {
                Output::Send { to, message } => self.send(context, to, Payload::Core { to, message }),
                Output::Persist { token, record } => {
                    context.disk.begin(DiskWrite::Append { token, record });
                    self.written(context, token);
                }
                Output::Checkpoint { token, state } => {
                    context.disk.begin(DiskWrite::Checkpoint { token, state });
                    context.effects.push(Effect::Sync);
                }
                Output::Committed { sequence, request_id, command, reply } => {
                    let command_bytes = command.write_to_vec().unwrap_or_default();
                    let observation = Observation::Committed {
                        sequence: sequence.0,
                        request_id,
                        command: command_bytes,
                        reply,
                    };
                    context.effects.push(Effect::Observe(observation));
                    self.handle_committed(context, reply);
                }
                Output::SnapshotInstalled { .. } => self.follow_state(context),
                Output::Reply { request_id, reply } => {
                    if let Some((call, response)) =
                        self.pending_requests.handle_reply(request_id, reply, &self.mutant)
                    {
                        context.effects.push(Effect::Response { call, response });
                    }
                }
                Output::ReadReady { request_id } => self.handle_read_ready(context, request_id),
                Output::ViewChanged(view) => {
                    context.effects.push(Effect::Observe(Observation::ViewEntered { view }));
                    self.add_view_addresses();
                }
                Output::LeaseGranted { fencing_token: fencing, .. } => {
                    context.effects.push(Effect::Observe(Observation::LeaseGranted { fencing }));
                    self.handle_lease_change(context, Some(fencing));
                }
                Output::LeaseLost { .. } => self.handle_lease_change(context, None),
                Output::QuorumContactGained | Output::QuorumContactLost => {
                    self.drive_barrier(context, BarrierInput::Tick)
                }
            }
        }
    }

    fn written(&mut self, context: &mut CoreContext<'_>, token: millrudder_chain::PersistToken) {
        context.effects.push(Effect::Sync);
        if !self.mutant.is_enabled(Mechanism::SyncBeforePersisted) {
            self.node.handle(context.now, Input::Persisted { token });
        }
    }

    fn handle_read_ready(&mut self, context: &mut CoreContext<'_>, request_id: RequestId) {
        let confirming = self.confirming.take_if(|confirming| confirming.request_id == request_id);
        if let Some(confirming) = confirming {
            return self.drive_barrier(context, BarrierInput::ReadCompleted { read: confirming.read });
        }
        if let Some((call, response)) =
            self.pending_requests.handle_read_ready(request_id, self.node.machine().state())
        {
            context.effects.push(Effect::Response { call, response });
        }
    }

    fn handle_committed(&mut self, context: &mut CoreContext<'_>, reply: Reply) {
        if matches!(reply, Reply::ConfigurationAccepted | Reply::PlacementSet) {
            self.follow_state(context);
        }
    }

    /// Publishes the state, which may have changed.
    fn follow_state(&mut self, context: &mut CoreContext<'_>) {
        self.publish_state(context);
        let placement = self.node.machine().state().placement();
        if placement.epoch.0 > self.followed_epoch {
            let placement = placement.clone();
            self.followed_epoch = placement.epoch.0;
            self.manage(context, PlacementInput::Committed(placement));
        }
    }

    fn handle_lease_change(&mut self, context: &mut CoreContext<'_>, fencing: Option<FencingToken>) {
        self.fencing = fencing;
        self.read_list_at = fencing.map(|_| context.now);
        self.drive_barrier(context, BarrierInput::ControllerLease { is_held: fencing.is_some() });
        self.manage(context, PlacementInput::ControllerLease { is_held: fencing.is_some() });
    }

    fn send(&self, context: &mut CoreContext<'_>, to: NodeId, payload: Payload) {
        let known = self.addresses.get(&to).copied();
        let address = known.or_else(|| self.node.address(to)?.parse().ok());
        let connection = address.and_then(|address| self.dialed.get(&address).copied());
        if let Some(connection) = connection {
            context.effects.push(Effect::Send { connection, payload });
        }
    }

    fn add_core_address(&mut self, address: SocketAddr) {
        if !self.core_addresses.contains(&address) {
            self.core_addresses.push(address);
        }
    }

    fn add_view_addresses(&mut self) {
        let Some(view) = self.node.view().cloned() else { return };
        for member in &view.voters {
            if let Ok(address) = member.address.parse() {
                self.addresses.insert(member.id, address);
                self.add_core_address(address);
            }
        }
    }

    fn core_addresses(&self) -> FromCore {
        FromCore::CoreAddresses { addresses: self.core_addresses.iter().copied().map(Address).collect() }
    }

    fn send_to_registrants(&self, context: &mut CoreContext<'_>, message: &FromCore) {
        for connection in self.registrants.keys() {
            send_from_core(context, *connection, message);
        }
    }
}

/// The versions of a core machine's state.
fn state_versions(state: &ControlState, list: &WorkerList) -> StateVersions {
    StateVersions {
        configuration_version: state.configuration().version,
        placement_epoch: state.placement().epoch.0,
        workers: WorkerListVersion::from(list),
    }
}

fn send_from_core(context: &mut CoreContext<'_>, connection: Connection, message: &FromCore) {
    context.effects.push(Effect::Send { connection, payload: Payload::FromCore(message.clone()) });
}

fn send_configuration(
    context: &mut CoreContext<'_>,
    connection: Connection,
    configuration: millrudder_protocol::control::ConfigurationText,
) {
    let version = configuration.version;
    context.effects.push(Effect::Observe(Observation::ConfigurationPublished { version }));
    send_from_core(context, connection, &FromCore::Configuration { configuration });
}

/// A core machine: disk, clock, and the process while it runs.
#[derive(Clone)]
pub struct CoreMachine<M: ControlMachine> {
    /// Its process; `None` while it is down.
    pub process: Option<CoreProcess<M>>,
    /// Its disk.
    pub disk: SimulatedDisk,
    /// Its steady clock.
    pub clock: Clock,
    /// Whether the machine lost a disk before.
    pub lost_a_disk: bool,
}
