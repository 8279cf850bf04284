//! A model of a dispatcher: adopts the state that core machines publish, submits messages to stores, executes those that
//! they lease to it.

use crate::event::{Connection, Effect, Observation, Payload, ProcessInput, Target};
use crate::mechanism::{Mechanism, Mutant};
use millrudder_clock::Instant;
use millrudder_protocol::control::{FromCore, Registrant, ToCore, WorkerList};
use millrudder_protocol::message::Message;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::{
    AcceptRejection, ActiveLease, AttemptOutcome, FromDispatcher, ToDispatcher,
};
use millrudder_protocol::{Address, DispatcherId, LeaseToken, MessageId, RequestNumber, ShardId, StoreId};
use millrudder_staleness::{ConnectionPlanner, ConnectionStep};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of core machines to which a dispatcher is connected.
const CORE_LINKS: usize = 2;
/// Pause between two polls for retries.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between two staleness checks.
const STALENESS_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// A request without a response is retried after this time.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// A client gives up after this time.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(4_000);
/// A process that polls so much later than scheduled has stalled, as in `millrudder-delivery`.
const STALL_THRESHOLD: Duration = Duration::from_millis(1_000);
/// For so long after a stall, messages may be stale when they are read: they are returned and not executed.
const STALE_READ_WINDOW: Duration = Duration::from_millis(100);
/// Pause between two pings to a store.
const PING_INTERVAL: Duration = Duration::from_millis(1_000);

/// Settings of a dispatcher process.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    /// Its identity.
    pub id: DispatcherId,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Addresses of all core machines.
    pub seeds: Vec<SocketAddr>,
    /// Pause between two messages of its clients.
    pub message_interval: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    first: Instant,
    sent: Instant,
}

/// The requests in flight on one connection.
#[derive(Clone, Debug, Default)]
struct StoreLink {
    requests: BTreeMap<RequestNumber, MessageId>,
    last: u64,
}

/// The running process of a dispatcher.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    settings: DispatcherSettings,
    mutant: Mutant,
    random: fastrand::Rng,
    connection_planner: ConnectionPlanner,
    /// Core machines to connect to, with the open connections.
    cores: BTreeMap<SocketAddr, Option<Connection>>,
    configuration: u64,
    placement: Placement,
    workers: WorkerList,
    stores: BTreeMap<StoreId, Connection>,
    links: BTreeMap<Connection, StoreLink>,
    /// The store that each connection was opened to, closed ones included.
    owners: BTreeMap<Connection, StoreId>,
    pending: BTreeMap<MessageId, Pending>,
    reports: BTreeMap<(MessageId, LeaseToken), Instant>,
    executed: BTreeSet<MessageId>,
    last_unique: u64,
    poll_at: Instant,
    message_at: Instant,
    ping_at: Instant,
    ask_at: Instant,
    /// Leases that are read before this time are returned.
    stale_until: Instant,
    /// Total duration of the clock stalls handled so far.
    stalled: Option<Duration>,
    /// Barriers that were not reached yet, by connection.
    barriers: BTreeMap<Connection, u64>,
    last_barrier: u64,
    /// Whether its clients send messages.
    pub sending: bool,
}

/// The environment in which a dispatcher process handles an input.
pub struct DispatcherContext<'a> {
    /// Reading of the machine's steady clock.
    pub now: Instant,
    /// Total duration of the clock's stalls.
    pub stalled: Duration,
    /// Receives the effects.
    pub effects: &'a mut Vec<Effect>,
}

impl Dispatcher {
    /// Starts a process without state.
    pub fn start(settings: DispatcherSettings, mutant: Mutant, seed: u64, now: Instant) -> Self {
        let mut connection_planner = ConnectionPlanner::new(CORE_LINKS, seed);
        for address in &settings.seeds {
            connection_planner.add_address(*address);
        }
        Dispatcher {
            connection_planner,
            cores: BTreeMap::new(),
            configuration: 0,
            placement: Placement::default(),
            workers: WorkerList::default(),
            stores: BTreeMap::new(),
            links: BTreeMap::new(),
            owners: BTreeMap::new(),
            pending: BTreeMap::new(),
            reports: BTreeMap::new(),
            executed: BTreeSet::new(),
            last_unique: 0,
            poll_at: now,
            message_at: now,
            ping_at: now,
            ask_at: now,
            stale_until: Instant::ORIGIN,
            stalled: None,
            barriers: BTreeMap::new(),
            last_barrier: 0,
            sending: true,
            random: fastrand::Rng::with_seed(seed),
            settings,
            mutant,
        }
    }

    /// Sets which mechanisms are disabled.
    pub fn set_mutant(&mut self, mutant: Mutant) {
        self.mutant = mutant;
    }

    /// Version of the configuration that it has adopted.
    pub fn configuration(&self) -> u64 {
        self.configuration
    }

    /// The placement that it has adopted.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Targets to which a connection is missing.
    pub fn missing_connections(&self) -> Vec<Target> {
        let cores = self.cores.iter().filter(|(_, open)| open.is_none());
        let stores = self.placement.stores.iter().filter(|store| !self.stores.contains_key(&store.id));
        let cores = cores.map(|(address, _)| Target::core(*address));
        cores.chain(stores.map(|store| Target::store(store.address.0, store.id))).collect()
    }

    /// When the next tick is due, by the machine's steady clock.
    pub fn next_deadline(&self) -> Instant {
        self.poll_at
    }

    /// Handles an input.
    pub fn handle(&mut self, context: &mut DispatcherContext<'_>, input: ProcessInput) {
        if context.now > self.poll_at + STALL_THRESHOLD {
            self.stale_until = context.now + STALE_READ_WINDOW;
            self.send_barriers(context);
        }
        let before = self.stalled.replace(context.stalled);
        if before.is_some_and(|before| context.stalled > before) {
            self.send_barriers(context);
        }
        match input {
            ProcessInput::Connected { connection, target } => {
                self.handle_connected(context, connection, target)
            }
            ProcessInput::Closed { connection } => self.handle_closed(context, connection),
            ProcessInput::Received { connection, payload } => match payload {
                Payload::FromCore(message) => self.handle_core_message(context, connection, message),
                Payload::ToDispatcher(message) => self.handle_store_message(context, connection, message),
                _ => {}
            },
            ProcessInput::Tick => self.poll(context),
            _ => {}
        }
    }

    /// Sends a barrier on each connection to a store: messages that arrive before it is reached may have been delayed by
    /// a stall.
    fn send_barriers(&mut self, context: &mut DispatcherContext<'_>) {
        for connection in self.stores.values() {
            self.last_barrier += 1;
            self.barriers.insert(*connection, self.last_barrier);
            send(context, *connection, FromDispatcher::Barrier { number: self.last_barrier });
        }
    }

    fn poll(&mut self, context: &mut DispatcherContext<'_>) {
        self.poll_at = context.now + POLL_INTERVAL;
        self.apply_connection_plan(context);
        if context.now >= self.ask_at {
            self.ask_at = context.now + STALENESS_CHECK_INTERVAL;
            for connection in self.cores.values().flatten() {
                ask(context, *connection);
            }
        }
        self.drop_clients(context.now);
        if self.sending && context.now >= self.message_at {
            self.message_at = context.now + self.settings.message_interval;
            self.new_message(context);
        }
        let now = context.now;
        let due = |sent: Instant| now - sent >= RETRY_INTERVAL;
        let late = self.pending.iter().filter(|(_, pending)| due(pending.sent));
        for id in late.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.send_accept(context, id);
        }
        let late = self.reports.iter().filter(|(_, sent)| due(**sent));
        for (id, token) in late.map(|(report, _)| *report).collect::<Vec<_>>() {
            self.report(context, id, token);
        }
        if context.now >= self.ping_at {
            self.ping_at = context.now + PING_INTERVAL;
            for connection in self.stores.values() {
                send(context, *connection, FromDispatcher::Ping);
            }
        }
    }

    /// Moves connections from core machines that do not confirm their state to others.
    fn apply_connection_plan(&mut self, context: &mut DispatcherContext<'_>) {
        for step in self.connection_planner.poll(Instant::from_millis(context.now.as_millis())) {
            match step {
                ConnectionStep::Open(address) => {
                    self.cores.insert(address, None);
                }
                ConnectionStep::Close(address) => {
                    if let Some(connection) = self.cores.remove(&address).flatten() {
                        context.effects.push(Effect::Close { connection });
                    }
                }
            }
        }
    }

    fn handle_connected(
        &mut self,
        context: &mut DispatcherContext<'_>,
        connection: Connection,
        target: Target,
    ) {
        let Some(store) = target.store else { return self.register(context, connection, target.address) };
        self.stores.insert(store, connection);
        self.links.insert(connection, StoreLink::default());
        self.owners.insert(connection, store);
        let payload = Payload::Addressed { store };
        context.effects.push(Effect::Send { connection, payload });
        self.hello(context, store, connection);
    }

    fn register(&mut self, context: &mut DispatcherContext<'_>, connection: Connection, address: SocketAddr) {
        if let Some(open) = self.cores.get_mut(&address) {
            *open = Some(connection);
            self.connection_planner.handle_opened(Instant::from_millis(context.now.as_millis()), address);
            let DispatcherSettings { name, zone, .. } = self.settings.clone();
            let message = ToCore::Register {
                registrant: Registrant::Dispatcher { name, zone },
                configuration_version: self.configuration,
                placement_epoch: self.placement.epoch.0,
            };
            context.effects.push(Effect::Send { connection, payload: Payload::ToCore(message) });
            ask(context, connection);
        }
    }

    fn handle_closed(&mut self, context: &mut DispatcherContext<'_>, connection: Connection) {
        if let Some(address) = self.core_of(connection) {
            self.cores.insert(address, None);
            self.connection_planner.handle_closed(Instant::from_millis(context.now.as_millis()), address);
        }
        self.stores.retain(|_, open| *open != connection);
        if self.mutant.is_enabled(Mechanism::ResponseOnSameConnection) {
            self.links.remove(&connection);
        }
    }

    /// The core machine to which a connection is open.
    fn core_of(&self, connection: Connection) -> Option<SocketAddr> {
        let open = self.cores.iter().find(|(_, open)| **open == Some(connection));
        open.map(|(address, _)| *address)
    }

    fn handle_core_message(
        &mut self,
        context: &mut DispatcherContext<'_>,
        connection: Connection,
        message: FromCore,
    ) {
        let Some(core) = self.core_of(connection) else { return };
        let now = Instant::from_millis(context.now.as_millis());
        let any = !self.mutant.is_enabled(Mechanism::OnlyNewerAdopted);
        match message {
            FromCore::Configuration { configuration }
                if any || configuration.version > self.configuration =>
            {
                self.configuration = configuration.version;
                self.adopted(context);
            }
            FromCore::Placement { placement } if any || placement.epoch > self.placement.epoch => {
                self.adopt_placement(context, placement);
                self.adopted(context);
            }
            FromCore::Workers { list } if any || list.is_newer_than(&self.workers) => {
                self.workers = list;
                self.adopted(context);
            }
            FromCore::CoreAddresses { addresses } => {
                for Address(address) in addresses {
                    self.connection_planner.add_address(address);
                }
            }
            FromCore::StalenessConfirmed { sent_at_ms, .. } => {
                self.connection_planner.handle_confirmation(now, core, Instant::from_millis(sent_at_ms))
            }
            FromCore::NoQuorum => self.connection_planner.handle_rejection(now, core),
            FromCore::Redirect => {
                self.connection_planner.handle_rejection(now, core);
                context.effects.push(Effect::Close { connection });
            }
            _ => {}
        }
    }

    fn adopted(&self, context: &mut DispatcherContext<'_>) {
        let (configuration, placement) = (self.configuration, self.placement.epoch.0);
        let workers = (self.workers.fencing, self.workers.number);
        context.effects.push(Effect::Observe(Observation::Adopted { configuration, placement, workers }));
    }

    fn adopt_placement(&mut self, context: &mut DispatcherContext<'_>, placement: Placement) {
        let gone = self.stores.iter().filter(|(id, _)| {
            placement.store(**id).map(|store| store.address)
                != self.placement.store(**id).map(|store| store.address)
        });
        for connection in gone.map(|(_, connection)| *connection).collect::<Vec<_>>() {
            context.effects.push(Effect::Close { connection });
        }
        self.placement = placement;
        for (store, connection) in self.stores.clone() {
            self.hello(context, store, connection);
        }
        for id in self.pending.keys().copied().collect::<Vec<_>>() {
            self.send_accept(context, id);
        }
    }

    fn hello(&mut self, context: &mut DispatcherContext<'_>, store: StoreId, connection: Connection) {
        let is_primary = |id: &MessageId| self.primary(*id) == Some(store);
        let held = self.reports.keys().filter(|(id, _)| is_primary(id));
        let held = held.map(|(id, token)| ActiveLease { id: *id, token: *token }).collect();
        let hello = FromDispatcher::Hello {
            dispatcher: self.settings.id,
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            epoch: self.placement.epoch,
            active_leases: held,
            in_doubt: self.pending.keys().copied().collect(),
        };
        send(context, connection, hello);
    }

    fn primary(&self, id: MessageId) -> Option<StoreId> {
        self.placement.shard(id.shard).map(|shard| shard.primary)
    }

    fn new_message(&mut self, context: &mut DispatcherContext<'_>) {
        let shards = self.placement.shards.len() as u16;
        if shards == 0 {
            return;
        }
        self.last_unique += 1;
        let unique = self.settings.id.0 << 32 | self.last_unique;
        let id = MessageId { shard: ShardId(self.random.u16(0..shards)), unique };
        self.pending.insert(id, Pending { first: context.now, sent: context.now });
        self.send_accept(context, id);
    }

    fn send_accept(&mut self, context: &mut DispatcherContext<'_>, id: MessageId) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.sent = context.now;
        let primary = self.primary(id).and_then(|store| self.stores.get(&store));
        let Some(connection) = primary.copied() else { return };
        let Some(link) = self.links.get_mut(&connection) else { return };
        link.last += 1;
        let request = RequestNumber(link.last);
        link.requests.insert(request, id);
        let message = Box::new(plain_message(id));
        send(context, connection, FromDispatcher::Accept { request, id, message, wants_lease: false });
    }

    /// Drops clients that have given up; the outcome of their messages stays in doubt.
    fn drop_clients(&mut self, now: Instant) {
        self.pending.retain(|_, pending| now - pending.first < CLIENT_TIMEOUT);
    }

    /// The link on which the request of a response was sent.
    fn request_link(&mut self, connection: Connection) -> Option<&mut StoreLink> {
        if self.mutant.is_enabled(Mechanism::ResponseOnSameConnection) {
            return self.links.get_mut(&connection);
        }
        let store = self.owners.get(&connection)?;
        let current = self.stores.get(store).copied();
        self.links.get_mut(&current.unwrap_or(connection))
    }

    fn handle_store_message(
        &mut self,
        context: &mut DispatcherContext<'_>,
        connection: Connection,
        message: ToDispatcher,
    ) {
        let answers = matches!(message, ToDispatcher::Accepted { .. } | ToDispatcher::Rejected { .. });
        let any = answers && !self.mutant.is_enabled(Mechanism::ResponseOnSameConnection);
        if !any && !self.stores.values().any(|open| *open == connection) {
            return;
        }
        match message {
            ToDispatcher::Accepted { request, .. } => {
                let requested = self.request_link(connection).and_then(|link| link.requests.remove(&request));
                let Some(id) = requested.filter(|id| self.pending.contains_key(id)) else { return };
                self.pending.remove(&id);
                context.effects.push(Effect::Observe(Observation::Accepted { id }));
            }
            ToDispatcher::Rejected { request, reason } => {
                let requested = self.request_link(connection).and_then(|link| link.requests.remove(&request));
                if let (Some(id), AcceptRejection::Full { .. }) = (requested, reason) {
                    self.pending.remove(&id);
                }
            }
            ToDispatcher::Deliver { id, token, .. } => self.deliver(context, connection, id, token),
            ToDispatcher::BarrierReached { number } if self.barriers.get(&connection) == Some(&number) => {
                self.barriers.remove(&connection);
            }
            ToDispatcher::Recorded { id, token } if self.reports.remove(&(id, token)).is_some() => {
                context.effects.push(Effect::Observe(Observation::Recorded { id }));
            }
            _ => {}
        }
    }

    /// Executes a message at once, unless its lease is of an earlier primary or may be stale.
    fn deliver(
        &mut self,
        context: &mut DispatcherContext<'_>,
        connection: Connection,
        id: MessageId,
        token: LeaseToken,
    ) {
        let term = self.placement.shard(id.shard).map(|shard| shard.term);
        if term.is_some_and(|term| token.term() < term) {
            return;
        }
        let in_doubt = context.now < self.stale_until || self.barriers.contains_key(&connection);
        if in_doubt && !self.executed.contains(&id) {
            let retry_after_ms = STALE_READ_WINDOW.as_millis() as u32;
            return self.attempted(context, id, token, AttemptOutcome::NotRun { retry_after_ms });
        }
        if self.executed.insert(id) {
            context.effects.push(Effect::Observe(Observation::Executed { id }));
        }
        self.report(context, id, token);
    }

    fn report(&mut self, context: &mut DispatcherContext<'_>, id: MessageId, token: LeaseToken) {
        self.reports.insert((id, token), context.now);
        self.attempted(context, id, token, AttemptOutcome::Succeeded { signature: id.to_string() });
    }

    fn attempted(
        &self,
        context: &mut DispatcherContext<'_>,
        id: MessageId,
        token: LeaseToken,
        outcome: AttemptOutcome,
    ) {
        let primary = self.primary(id).and_then(|store| self.stores.get(&store));
        if let Some(connection) = primary.copied() {
            send(context, connection, FromDispatcher::Attempted { id, token, outcome });
        }
    }
}

/// Asks a core machine whether the adopted state is current.
fn ask(context: &mut DispatcherContext<'_>, connection: Connection) {
    let message = ToCore::StalenessCheck { sent_at_ms: context.now.as_millis() };
    context.effects.push(Effect::Send { connection, payload: Payload::ToCore(message) });
}

fn send(context: &mut DispatcherContext<'_>, connection: Connection, message: FromDispatcher) {
    context.effects.push(Effect::Send { connection, payload: Payload::FromDispatcher(message) });
}

/// A message without an order key, due at once.
fn plain_message(id: MessageId) -> Message {
    Message {
        request_id: id.to_string(),
        method: "POST".to_owned(),
        path: "/path".to_owned(),
        host: "host".to_owned(),
        headers: Vec::new(),
        body: b"body".to_vec(),
        order_key: None,
        callback_url: None,
        service: "plain".to_owned(),
        priority: 0,
        delay_ms: 0,
        target_start_ms: 800,
        max_attempts: 3,
        retention_ms: 600_000,
    }
}
