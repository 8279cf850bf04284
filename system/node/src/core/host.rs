//! Owner of a core machine's state: one queue of events, one at a time.

use crate::clock::SteadyClock;
use crate::core::journal::{Journal, Report};
use crate::core::messages::ToCorePort;
use crate::core::operator::{Order, Outcome};
use crate::core::orders::{Orders, Step};
use crate::core::peers::Peers;
use crate::core::reader::{Reader, ReaderEvent};
use crate::core::registrants::{ConnectionId, Registrants};
use crate::core::CONTROLLER;
use crate::error::RoleError;
use arc_swap::ArcSwap;
use millrudder_chain::{CoreNode, Input, NodeId, Output, Role, View};
use millrudder_control_state::{Command, ControlState, Reply};
use millrudder_placement::{Input as PlacementInput, PlacementManager};
use millrudder_protocol::control::{FromCore, Registrant, ToCore, WorkerList};
use millrudder_protocol::placement::Placement;
use millrudder_protocol::Address;
use millrudder_settings::Settings;
use millrudder_system_http::client::Client;
use millrudder_transport::{LinkEvent, Outbox};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::sleep_until;

/// Orders whose callers have gone are looked for this often.
const SWEEP: Duration = Duration::from_secs(1);

/// What happens at a core machine.
pub enum Event {
    Inbound {
        connection: ConnectionId,
        outbox: Outbox,
        event: LinkEvent<ToCorePort>,
    },
    PeerOpened {
        address: SocketAddr,
    },
    SeedFound {
        address: SocketAddr,
    },
    Operator {
        order: Order,
        reply: oneshot::Sender<Outcome>,
    },
    Reader(ReaderEvent),
    Reload {
        file: PathBuf,
    },
    /// This process is about to end.
    Leaving,
}

/// Owns the replicated state machine, the placement manager, the reader and all connections.
pub struct CoreHost {
    clock: SteadyClock,
    node: CoreNode<ControlState>,
    manager: PlacementManager,
    reader: Reader,
    orders: Orders,
    journal: Journal,
    peers: Peers,
    /// Connections that others have opened.
    inbound: BTreeMap<ConnectionId, Outbox>,
    /// Who opened which connection, of other core machines.
    peer_ids: BTreeMap<ConnectionId, NodeId>,
    addresses: BTreeMap<NodeId, SocketAddr>,
    registrants: Registrants,
    /// Dispatchers that other core machines serve, by their connection.
    others_dispatchers: BTreeMap<ConnectionId, u32>,
    told_dispatchers: u32,
    workers: WorkerList,
    told_version: u64,
    told_epoch: u64,
    settings: Settings,
    seeds: Arc<ArcSwap<Vec<SocketAddr>>>,
    client: Client,
    swept: u64,
}

impl CoreHost {
    pub fn new(
        node: CoreNode<ControlState>,
        settings: Settings,
        internal: SocketAddr,
        journal: Journal,
        client: Client,
        events: UnboundedSender<Event>,
    ) -> Self {
        let seed = crate::clock::seed();
        let mut manager = PlacementManager::new(settings.fault_tolerance.machines);
        manager.handle(0, PlacementInput::Committed(node.machine().placement().clone()));
        CoreHost {
            clock: SteadyClock::start(),
            manager,
            reader: Reader::new(&settings, client.clone(), seed, events.clone()),
            orders: Orders::new(seed),
            journal,
            peers: Peers::new(node.id(), internal, events),
            inbound: BTreeMap::new(),
            peer_ids: BTreeMap::new(),
            addresses: BTreeMap::new(),
            registrants: Registrants::default(),
            others_dispatchers: BTreeMap::new(),
            told_dispatchers: 0,
            workers: WorkerList::default(),
            told_version: node.machine().configuration().version,
            told_epoch: node.machine().placement().epoch.0,
            seeds: Arc::new(ArcSwap::from_pointee(settings.seeds.clone())),
            settings,
            client,
            swept: 0,
            node,
        }
    }

    pub fn client(&self) -> Client {
        self.client.clone()
    }

    pub fn seeds(&self) -> Arc<ArcSwap<Vec<SocketAddr>>> {
        Arc::clone(&self.seeds)
    }

    /// Connects to these core machines, and to those of the view.
    pub fn know(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.peers.know(*address);
        }
        if let Some(view) = self.node.view().cloned() {
            self.know_view(&view);
        }
    }

    /// Works through events until the disk fails.
    ///
    /// # Errors
    /// The disk failed: nothing more can be promised.
    pub async fn run(
        &mut self,
        queue: &mut UnboundedReceiver<Event>,
        reports: &mut UnboundedReceiver<Report>,
    ) -> Result<(), RoleError> {
        self.reader.read_once(self.clock.millis());
        loop {
            let deadline = self.next_deadline();
            tokio::select! {
                biased;
                event = queue.recv() => {
                    let Some(event) = event else { return Ok(()) };
                    self.take(event);
                }
                report = reports.recv() => {
                    let Some(report) = report else { return Ok(()) };
                    self.take_report(report)?;
                }
                () = sleep_until(deadline) => self.tick(),
            }
            while let Ok(event) = queue.try_recv() {
                self.take(event);
            }
            self.carry_out();
        }
    }

    /// Ends all connections: what was said on them is not known any more.
    pub fn disconnect(&mut self) {
        for outbox in self.inbound.values() {
            outbox.close();
        }
    }

    fn next_deadline(&self) -> tokio::time::Instant {
        let now = self.clock.millis();
        let node = self.clock.at_micros(self.node.next_deadline());
        let manager = self.manager.next_deadline(now).map(|due| self.clock.at_millis(due));
        let reader = self.reader.next_deadline().map(|due| self.clock.at_millis(due));
        [Some(node), manager, reader].into_iter().flatten().min().unwrap_or(node)
    }

    fn tick(&mut self) {
        self.node.handle(self.clock.micros(), Input::Tick);
        self.manage(PlacementInput::Tick);
        let now = self.clock.millis();
        self.reader.tick(now);
        if now.saturating_sub(self.swept) >= SWEEP.as_millis() as u64 {
            self.swept = now;
            for request_id in self.orders.take_abandoned() {
                self.node.handle(self.clock.micros(), Input::Abandon { request_id });
            }
        }
    }

    fn take_report(&mut self, report: Report) -> Result<(), RoleError> {
        match report {
            Report::Persisted { token } => {
                self.node.handle(self.clock.micros(), Input::Persisted { token });
                Ok(())
            }
            Report::Failed { error } => Err(error.into()),
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Inbound { connection, outbox, event } => self.on_inbound(connection, &outbox, event),
            Event::PeerOpened { address } => {
                let list = self.workers.clone();
                self.peers.send(address, &ToCorePort::Workers { list });
                let count = self.registrants.dispatchers();
                self.peers.send(address, &ToCorePort::Dispatchers { count });
            }
            Event::SeedFound { address } => self.peers.know(address),
            Event::Operator { order, reply } => self.on_order(order, reply),
            Event::Reader(event) => {
                let now = self.clock.millis();
                if let Some(list) = self.reader.take(now, event) {
                    self.adopt_workers(list, true);
                }
            }
            Event::Reload { file } => self.reload(&file),
            Event::Leaving => {
                self.registrants.tell_all(&FromCore::TryAnother);
                self.node.handle(self.clock.micros(), Input::Leave);
            }
        }
    }

    fn on_order(&mut self, order: Order, reply: oneshot::Sender<Outcome>) {
        let step = self.orders.take(order, reply, self.node.machine());
        let now = self.clock.micros();
        match step {
            Step::Done => {}
            Step::Submit { request_id, command } => {
                self.node.handle(now, Input::Submit { request_id, command });
            }
            Step::Read { request_id } => self.node.handle(now, Input::Read { request_id }),
        }
    }

    fn on_inbound(&mut self, connection: ConnectionId, outbox: &Outbox, event: LinkEvent<ToCorePort>) {
        match event {
            LinkEvent::Opened => {
                self.inbound.insert(connection, outbox.clone());
            }
            LinkEvent::Closed(_) => self.on_closed(connection),
            LinkEvent::Message(ToCorePort::Peer { id, address }) => self.on_peer(connection, id, &address),
            LinkEvent::Message(ToCorePort::Core { to, message }) => {
                let from = self.peer_ids.get(&connection).copied().filter(|_| to == self.node.id());
                if let Some(from) = from {
                    self.node.handle(self.clock.micros(), Input::Message { from, message });
                }
            }
            LinkEvent::Message(ToCorePort::Workers { list }) => self.adopt_workers(list, false),
            LinkEvent::Message(ToCorePort::Dispatchers { count }) => {
                self.others_dispatchers.insert(connection, count);
                self.tell_dispatchers();
            }
            LinkEvent::Message(ToCorePort::Client { message }) => self.on_client(connection, outbox, message),
        }
    }

    fn on_closed(&mut self, connection: ConnectionId) {
        self.inbound.remove(&connection);
        self.peer_ids.remove(&connection);
        self.others_dispatchers.remove(&connection);
        self.registrants.remove(connection);
        self.tell_dispatchers();
    }

    fn on_peer(&mut self, connection: ConnectionId, id: NodeId, text: &str) {
        let Ok(address) = text.parse() else {
            log::warn!("a core machine tells an address that cannot be read: {text}");
            return;
        };
        self.peer_ids.insert(connection, id);
        self.addresses.insert(id, address);
        self.peers.know(address);
        let seen = Input::PeerSeen { id, address: text.to_owned() };
        self.node.handle(self.clock.micros(), seen);
        self.registrants.tell_all(&self.core_addresses());
    }

    fn on_client(&mut self, connection: ConnectionId, outbox: &Outbox, message: ToCore) {
        match message {
            ToCore::Register { registrant, configuration_version, placement_epoch } => {
                self.on_register(connection, outbox, registrant, configuration_version, placement_epoch);
            }
            ToCore::Heartbeat { health } => {
                if let (Some(id), Some(health)) = (self.registrants.store(connection), health) {
                    self.manage(PlacementInput::Heartbeat { id, health });
                }
            }
            ToCore::CaughtUp { shards } => {
                if let Some(id) = self.registrants.store(connection) {
                    self.manage(PlacementInput::CaughtUp { id, shards });
                }
            }
        }
    }

    fn on_register(
        &mut self,
        connection: ConnectionId,
        outbox: &Outbox,
        registrant: Registrant,
        version: u64,
        epoch: u64,
    ) {
        let is_dispatcher = matches!(registrant, Registrant::Dispatcher { .. });
        if let Registrant::Store { id, name, zone, address, .. } = &registrant {
            log::info!("store {name} registers");
            let (name, zone) = (name.clone(), zone.clone());
            self.manage(PlacementInput::Registered { id: *id, name, zone, address: *address });
        }
        self.registrants.add(connection, outbox.clone(), registrant);
        self.registrants.tell(connection, &self.core_addresses());
        let state = self.node.machine();
        if state.configuration().version > version {
            let configuration = state.configuration().clone();
            self.registrants.tell(connection, &FromCore::Configuration { configuration });
        }
        if state.placement().epoch.0 > epoch {
            let placement = state.placement().clone();
            self.registrants.tell(connection, &FromCore::Placement { placement });
        }
        if is_dispatcher {
            let list = self.workers.clone();
            self.registrants.tell(connection, &FromCore::Workers { list });
            self.tell_dispatchers();
        }
    }

    fn core_addresses(&self) -> FromCore {
        let addresses = self.peers.addresses().into_iter().map(Address).collect();
        FromCore::Core { addresses }
    }

    /// Tells everybody how many dispatchers there are, when that has changed.
    fn tell_dispatchers(&mut self) {
        let own = self.registrants.dispatchers();
        let count = own + self.others_dispatchers.values().sum::<u32>();
        if count != self.told_dispatchers {
            self.told_dispatchers = count;
            self.peers.send_all(&ToCorePort::Dispatchers { count: own });
            self.registrants.tell_dispatchers(&FromCore::Dispatchers { count });
        }
    }

    /// Takes over a newer list; one that this machine read itself goes to the other core machines too.
    fn adopt_workers(&mut self, list: WorkerList, own: bool) {
        if !list.is_newer_than(&self.workers) {
            return;
        }
        if !own {
            self.reader.has_list();
        }
        if own {
            self.peers.send_all(&ToCorePort::Workers { list: list.clone() });
        }
        self.registrants.tell_dispatchers(&FromCore::Workers { list: list.clone() });
        self.workers = list;
    }

    fn manage(&mut self, input: PlacementInput) {
        let now = self.clock.millis();
        if let Some(placement) = self.manager.handle(now, input) {
            log::info!("placement {} is proposed", placement.epoch.0);
            let request_id = self.orders.own_request();
            let command = Command::SetPlacement { placement };
            self.node.handle(self.clock.micros(), Input::Submit { request_id, command });
        }
    }

    /// Carries out what the node asks for, until nothing more comes.
    fn carry_out(&mut self) {
        while let Some(output) = self.node.next_output() {
            match output {
                Output::Send { to, message } => self.send(to, ToCorePort::Core { to, message }),
                Output::Persist { token, record } => self.journal.append(token, &record),
                Output::Checkpoint { token, state } => self.journal.checkpoint(token, &state),
                Output::Committed { reply, .. } => self.on_committed(reply),
                Output::Replaced { .. } => self.tell_state(),
                Output::Reply { request_id, reply } => self.orders.replied(request_id, reply),
                Output::ReadReady { request_id } => {
                    self.orders.read_ready(request_id, self.node.machine());
                }
                Output::ViewChanged(view) => self.on_view(&view),
                Output::LeaseGranted { role, fencing } => self.on_lease(&role, Some(fencing.0)),
                Output::LeaseLost { role, .. } => self.on_lease(&role, None),
                Output::ContactGained | Output::ContactLost => {}
            }
        }
    }

    fn send(&self, to: NodeId, message: ToCorePort) {
        let known = self.addresses.get(&to).copied();
        let address = known.or_else(|| self.node.address(to)?.parse().ok());
        if let Some(address) = address {
            self.peers.send(address, &message);
        }
    }

    fn on_committed(&mut self, reply: Reply) {
        if matches!(reply, Reply::ConfigurationAccepted | Reply::PlacementSet) {
            self.tell_state();
        }
    }

    /// Tells everybody what has come into force.
    fn tell_state(&mut self) {
        let state = self.node.machine();
        if state.configuration().version > self.told_version {
            let configuration = state.configuration().clone();
            self.told_version = configuration.version;
            log::info!("configuration {} is in force", configuration.version);
            self.registrants.tell_all(&FromCore::Configuration { configuration });
        }
        if state.placement().epoch.0 > self.told_epoch {
            let placement: Placement = state.placement().clone();
            self.told_epoch = placement.epoch.0;
            let filled: usize = placement.shards.iter().map(|shard| shard.learners.len()).sum();
            log::info!("placement {} is in force, {filled} replicas are being filled", placement.epoch.0);
            self.registrants.tell_all(&FromCore::Placement { placement: placement.clone() });
            self.manage(PlacementInput::Committed(placement));
        }
    }

    fn on_view(&mut self, view: &View) {
        let members: Vec<&str> = view.members.iter().map(|member| member.address.as_str()).collect();
        log::info!("view {} of the core: {}", view.epoch.0, members.join(" "));
        self.know_view(view);
    }

    fn know_view(&mut self, view: &View) {
        for member in &view.members {
            if let Ok(address) = member.address.parse() {
                self.addresses.insert(member.id, address);
                self.peers.know(address);
            }
        }
    }

    fn on_lease(&mut self, role: &Role, fencing: Option<u64>) {
        if role.0 != CONTROLLER {
            return;
        }
        let now = self.clock.millis();
        log::info!(
            "{}",
            if fencing.is_some() {
                "holds the controller's lease"
            } else {
                "has lost the controller's lease"
            }
        );
        self.reader.lead(now, fencing);
        self.manage(PlacementInput::Leading(fencing.is_some()));
    }

    fn reload(&mut self, file: &std::path::Path) {
        match Settings::load(file) {
            Ok(settings) => {
                self.seeds.store(Arc::new(settings.seeds.clone()));
                self.reader.configure(&settings);
                self.settings = settings;
                log::info!("{} reads its settings again", self.settings.node_name);
            }
            Err(error) => log::warn!("the settings stay as they were: {error}"),
        }
    }
}
