//! A model of a dispatcher: adopts what core machines tell, has messages kept by stores, runs what they grant.

use crate::event::{Connection, Effect, Happening, Observation, Payload, Target};
use crate::mechanism::{Mechanism, Mutant};
use crate::MILLISECOND;
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

/// Core machines to which a dispatcher keeps connections.
const CORE_LINKS: usize = 2;
/// Pause between two looks at what needs sending again.
const LOOK: u64 = 50 * MILLISECOND;
/// Pause between two questions whether what is held is current.
const ASK: u64 = 400 * MILLISECOND;
/// What has no answer is sent again after so long.
const REPEAT: u64 = 250 * MILLISECOND;
/// A client is given up after so long.
const GIVE_UP: u64 = 4_000 * MILLISECOND;
/// A process that looks so much later than it wanted to has stood still, as `millrudder-delivery` judges it.
const HALTED: u64 = 1_000 * MILLISECOND;
/// For so long after that, what it reads may have been waiting for it meanwhile: it is given back and not run.
const STALE: u64 = 100 * MILLISECOND;
/// Pause between two pings of a store.
const PING: u64 = 1_000 * MILLISECOND;

/// What does not change while the process lives.
#[derive(Clone, Debug)]
pub struct DispatcherSettings {
    pub id: DispatcherId,
    pub name: String,
    pub zone: String,
    pub seeds: Vec<SocketAddr>,
    /// Pause between two messages of its clients (microseconds).
    pub message_every: u64,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    first: u64,
    sent: u64,
}

/// Where requests go on one connection.
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
    plan: ConnectionPlanner,
    /// Core machines to be connected to, with the open connections.
    cores: BTreeMap<SocketAddr, Option<Connection>>,
    configuration: u64,
    placement: Placement,
    workers: WorkerList,
    stores: BTreeMap<StoreId, Connection>,
    links: BTreeMap<Connection, StoreLink>,
    /// Which store each connection was opened to, also of those that have ended.
    owners: BTreeMap<Connection, StoreId>,
    pending: BTreeMap<MessageId, Pending>,
    reports: BTreeMap<(MessageId, LeaseToken), u64>,
    ran: BTreeSet<MessageId>,
    names: u64,
    look_at: u64,
    message_at: u64,
    ping_at: u64,
    ask_at: u64,
    /// Grants that are read before this moment are given back.
    stale_until: u64,
    /// For how long the machine is known to have stood still in all (microseconds).
    stood_still: u64,
    /// Barriers that a store has not answered on the connection.
    barriers: BTreeMap<Connection, u64>,
    last_barrier: u64,
    /// Its clients send.
    pub sending: bool,
}

/// Gives the process its happenings together with what it works on.
pub struct DispatcherScene<'a> {
    /// Steady clock of the machine (microseconds).
    pub now: u64,
    /// By how much the time of day has run ahead of it, since it stood still (microseconds).
    pub stood_still: u64,
    pub effects: &'a mut Vec<Effect>,
}

impl Dispatcher {
    /// Starts with nothing.
    pub fn start(settings: DispatcherSettings, mutant: Mutant, seed: u64, now: u64) -> Self {
        let mut plan = ConnectionPlanner::new(CORE_LINKS, seed);
        for address in &settings.seeds {
            plan.add_address(*address);
        }
        Dispatcher {
            plan,
            cores: BTreeMap::new(),
            configuration: 0,
            placement: Placement::default(),
            workers: WorkerList::default(),
            stores: BTreeMap::new(),
            links: BTreeMap::new(),
            owners: BTreeMap::new(),
            pending: BTreeMap::new(),
            reports: BTreeMap::new(),
            ran: BTreeSet::new(),
            names: 0,
            look_at: now,
            message_at: now,
            ping_at: now,
            ask_at: now,
            stale_until: 0,
            stood_still: u64::MAX,
            barriers: BTreeMap::new(),
            last_barrier: 0,
            sending: true,
            random: fastrand::Rng::with_seed(seed),
            settings,
            mutant,
        }
    }

    /// Switches mechanisms off or on again.
    pub fn set_mutant(&mut self, mutant: Mutant) {
        self.mutant = mutant;
    }

    /// Version of the configuration that it holds.
    pub fn configuration(&self) -> u64 {
        self.configuration
    }

    /// The placement that it holds.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Addresses to which a connection is wanted.
    pub fn wanted(&self) -> Vec<Target> {
        let cores = self.cores.iter().filter(|(_, open)| open.is_none());
        let stores = self.placement.stores.iter().filter(|store| !self.stores.contains_key(&store.id));
        let cores = cores.map(|(address, _)| Target::core(*address));
        cores.chain(stores.map(|store| Target::store(store.address.0, store.id))).collect()
    }

    /// When a tick is due (microseconds of its steady clock).
    pub fn next_deadline(&self) -> u64 {
        self.look_at
    }

    /// Takes one happening and does what follows.
    pub fn handle(&mut self, scene: &mut DispatcherScene<'_>, happening: Happening) {
        if scene.now > self.look_at + HALTED {
            self.stale_until = scene.now + STALE;
            self.send_barriers(scene);
        }
        let before = std::mem::replace(&mut self.stood_still, scene.stood_still);
        if scene.stood_still > before {
            self.send_barriers(scene);
        }
        match happening {
            Happening::Dialed { connection, target } => self.on_dialed(scene, connection, target),
            Happening::Closed { connection } => self.on_closed(scene, connection),
            Happening::Arrived { connection, payload } => match payload {
                Payload::FromCore(message) => self.on_core(scene, connection, message),
                Payload::ToDispatcher(message) => self.on_store(scene, connection, message),
                _ => {}
            },
            Happening::Tick => self.look(scene),
            _ => {}
        }
    }

    /// What comes from a store before it answers on the connection there is now may have lain unread.
    fn send_barriers(&mut self, scene: &mut DispatcherScene<'_>) {
        for connection in self.stores.values() {
            self.last_barrier += 1;
            self.barriers.insert(*connection, self.last_barrier);
            send(scene, *connection, FromDispatcher::Barrier { number: self.last_barrier });
        }
    }

    fn look(&mut self, scene: &mut DispatcherScene<'_>) {
        self.look_at = scene.now + LOOK;
        self.follow_plan(scene);
        if scene.now >= self.ask_at {
            self.ask_at = scene.now + ASK;
            for connection in self.cores.values().flatten() {
                ask(scene, *connection);
            }
        }
        self.drop_clients(scene.now);
        if self.sending && scene.now >= self.message_at {
            self.message_at = scene.now + self.settings.message_every;
            self.new_message(scene);
        }
        let now = scene.now;
        let due = |sent: u64| now - sent >= REPEAT;
        let late = self.pending.iter().filter(|(_, pending)| due(pending.sent));
        for id in late.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.send_accept(scene, id);
        }
        let late = self.reports.iter().filter(|(_, sent)| due(**sent));
        for (id, token) in late.map(|(report, _)| *report).collect::<Vec<_>>() {
            self.report(scene, id, token);
        }
        if scene.now >= self.ping_at {
            self.ping_at = scene.now + PING;
            for connection in self.stores.values() {
                send(scene, *connection, FromDispatcher::Ping);
            }
        }
    }

    /// Leaves core machines that do not vouch for their state for others.
    fn follow_plan(&mut self, scene: &mut DispatcherScene<'_>) {
        for step in self.plan.poll(Instant::from_millis(scene.now / MILLISECOND)) {
            match step {
                ConnectionStep::Open(address) => {
                    self.cores.insert(address, None);
                }
                ConnectionStep::Close(address) => {
                    if let Some(connection) = self.cores.remove(&address).flatten() {
                        scene.effects.push(Effect::Close { connection });
                    }
                }
            }
        }
    }

    fn on_dialed(&mut self, scene: &mut DispatcherScene<'_>, connection: Connection, target: Target) {
        let Some(store) = target.store else { return self.register(scene, connection, target.address) };
        self.stores.insert(store, connection);
        self.links.insert(connection, StoreLink::default());
        self.owners.insert(connection, store);
        let payload = Payload::Addressed { store };
        scene.effects.push(Effect::Send { connection, payload });
        self.hello(scene, store, connection);
    }

    fn register(&mut self, scene: &mut DispatcherScene<'_>, connection: Connection, address: SocketAddr) {
        if let Some(open) = self.cores.get_mut(&address) {
            *open = Some(connection);
            self.plan.handle_opened(Instant::from_millis(scene.now / MILLISECOND), address);
            let DispatcherSettings { name, zone, .. } = self.settings.clone();
            let message = ToCore::Register {
                registrant: Registrant::Dispatcher { name, zone },
                configuration_version: self.configuration,
                placement_epoch: self.placement.epoch.0,
            };
            scene.effects.push(Effect::Send { connection, payload: Payload::ToCore(message) });
            ask(scene, connection);
        }
    }

    fn on_closed(&mut self, scene: &mut DispatcherScene<'_>, connection: Connection) {
        if let Some(address) = self.core_of(connection) {
            self.cores.insert(address, None);
            self.plan.handle_closed(Instant::from_millis(scene.now / MILLISECOND), address);
        }
        self.stores.retain(|_, open| *open != connection);
        if self.mutant.has(Mechanism::AnswerOfSameConnection) {
            self.links.remove(&connection);
        }
    }

    /// The core machine to which a connection is open.
    fn core_of(&self, connection: Connection) -> Option<SocketAddr> {
        let open = self.cores.iter().find(|(_, open)| **open == Some(connection));
        open.map(|(address, _)| *address)
    }

    fn on_core(&mut self, scene: &mut DispatcherScene<'_>, connection: Connection, message: FromCore) {
        let Some(core) = self.core_of(connection) else { return };
        let now = Instant::from_millis(scene.now / MILLISECOND);
        let any = !self.mutant.has(Mechanism::OnlyNewerAdopted);
        match message {
            FromCore::Configuration { configuration }
                if any || configuration.version > self.configuration =>
            {
                self.configuration = configuration.version;
                self.adopted(scene);
            }
            FromCore::Placement { placement } if any || placement.epoch > self.placement.epoch => {
                self.adopt_placement(scene, placement);
                self.adopted(scene);
            }
            FromCore::Workers { list } if any || list.is_newer_than(&self.workers) => {
                self.workers = list;
                self.adopted(scene);
            }
            FromCore::CoreAddresses { addresses } => {
                for Address(address) in addresses {
                    self.plan.add_address(address);
                }
            }
            FromCore::StalenessConfirmed { sent_at_ms, .. } => {
                self.plan.handle_confirmation(now, core, Instant::from_millis(sent_at_ms))
            }
            FromCore::NoQuorum => self.plan.handle_rejection(now, core),
            FromCore::Redirect => {
                self.plan.handle_rejection(now, core);
                scene.effects.push(Effect::Close { connection });
            }
            _ => {}
        }
    }

    fn adopted(&self, scene: &mut DispatcherScene<'_>) {
        let (configuration, placement) = (self.configuration, self.placement.epoch.0);
        let workers = (self.workers.fencing, self.workers.number);
        scene.effects.push(Effect::Seen(Observation::Adopted { configuration, placement, workers }));
    }

    fn adopt_placement(&mut self, scene: &mut DispatcherScene<'_>, placement: Placement) {
        let gone = self.stores.iter().filter(|(id, _)| {
            placement.store(**id).map(|store| store.address)
                != self.placement.store(**id).map(|store| store.address)
        });
        for connection in gone.map(|(_, connection)| *connection).collect::<Vec<_>>() {
            scene.effects.push(Effect::Close { connection });
        }
        self.placement = placement;
        for (store, connection) in self.stores.clone() {
            self.hello(scene, store, connection);
        }
        for id in self.pending.keys().copied().collect::<Vec<_>>() {
            self.send_accept(scene, id);
        }
    }

    fn hello(&mut self, scene: &mut DispatcherScene<'_>, store: StoreId, connection: Connection) {
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
        send(scene, connection, hello);
    }

    fn primary(&self, id: MessageId) -> Option<StoreId> {
        self.placement.shard(id.shard).map(|shard| shard.primary)
    }

    fn new_message(&mut self, scene: &mut DispatcherScene<'_>) {
        let shards = self.placement.shards.len() as u16;
        if shards == 0 {
            return;
        }
        self.names += 1;
        let unique = self.settings.id.0 << 32 | self.names;
        let id = MessageId { shard: ShardId(self.random.u16(0..shards)), unique };
        self.pending.insert(id, Pending { first: scene.now, sent: scene.now });
        self.send_accept(scene, id);
    }

    fn send_accept(&mut self, scene: &mut DispatcherScene<'_>, id: MessageId) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        pending.sent = scene.now;
        let primary = self.primary(id).and_then(|store| self.stores.get(&store));
        let Some(connection) = primary.copied() else { return };
        let Some(link) = self.links.get_mut(&connection) else { return };
        link.last += 1;
        let request = RequestNumber(link.last);
        link.requests.insert(request, id);
        let message = Box::new(plain_message(id));
        send(scene, connection, FromDispatcher::Accept { request, id, message, wants_lease: false });
    }

    /// Clients that have waited long are gone; what became of their messages stays in doubt.
    fn drop_clients(&mut self, now: u64) {
        self.pending.retain(|_, pending| now - pending.first < GIVE_UP);
    }

    /// The link to whose questions an answer belongs.
    fn asked_on(&mut self, connection: Connection) -> Option<&mut StoreLink> {
        if self.mutant.has(Mechanism::AnswerOfSameConnection) {
            return self.links.get_mut(&connection);
        }
        let store = self.owners.get(&connection)?;
        let current = self.stores.get(store).copied();
        self.links.get_mut(&current.unwrap_or(connection))
    }

    fn on_store(&mut self, scene: &mut DispatcherScene<'_>, connection: Connection, message: ToDispatcher) {
        let answers = matches!(message, ToDispatcher::Accepted { .. } | ToDispatcher::Rejected { .. });
        let any = answers && !self.mutant.has(Mechanism::AnswerOfSameConnection);
        if !any && !self.stores.values().any(|open| *open == connection) {
            return;
        }
        match message {
            ToDispatcher::Accepted { request, .. } => {
                let asked = self.asked_on(connection).and_then(|link| link.requests.remove(&request));
                let Some(id) = asked.filter(|id| self.pending.contains_key(id)) else { return };
                self.pending.remove(&id);
                scene.effects.push(Effect::Seen(Observation::Accepted { id }));
            }
            ToDispatcher::Rejected { request, reason } => {
                let asked = self.asked_on(connection).and_then(|link| link.requests.remove(&request));
                if let (Some(id), AcceptRejection::Full { .. }) = (asked, reason) {
                    self.pending.remove(&id);
                }
            }
            ToDispatcher::Deliver { id, token, .. } => self.deliver(scene, connection, id, token),
            ToDispatcher::BarrierReached { number } if self.barriers.get(&connection) == Some(&number) => {
                self.barriers.remove(&connection);
            }
            ToDispatcher::Recorded { id, token } if self.reports.remove(&(id, token)).is_some() => {
                scene.effects.push(Effect::Seen(Observation::Recorded { id }));
            }
            _ => {}
        }
    }

    /// Runs a message at once, unless its grant is of a primary before the present one, or may have waited unread.
    fn deliver(
        &mut self,
        scene: &mut DispatcherScene<'_>,
        connection: Connection,
        id: MessageId,
        token: LeaseToken,
    ) {
        let since = self.placement.shard(id.shard).map(|shard| shard.term);
        if since.is_some_and(|since| token.epoch() < since) {
            return;
        }
        let in_doubt = scene.now < self.stale_until || self.barriers.contains_key(&connection);
        if in_doubt && !self.ran.contains(&id) {
            let retry_after_ms = (STALE / MILLISECOND) as u32;
            return self.attempted(scene, id, token, AttemptOutcome::NotRun { retry_after_ms });
        }
        if self.ran.insert(id) {
            scene.effects.push(Effect::Seen(Observation::Ran { id }));
        }
        self.report(scene, id, token);
    }

    fn report(&mut self, scene: &mut DispatcherScene<'_>, id: MessageId, token: LeaseToken) {
        self.reports.insert((id, token), scene.now);
        self.attempted(scene, id, token, AttemptOutcome::Succeeded { signature: id.to_string() });
    }

    fn attempted(
        &self,
        scene: &mut DispatcherScene<'_>,
        id: MessageId,
        token: LeaseToken,
        outcome: AttemptOutcome,
    ) {
        let primary = self.primary(id).and_then(|store| self.stores.get(&store));
        if let Some(connection) = primary.copied() {
            send(scene, connection, FromDispatcher::Attempted { id, token, outcome });
        }
    }
}

/// Asks a core machine whether what is held here is current.
fn ask(scene: &mut DispatcherScene<'_>, connection: Connection) {
    let message = ToCore::StalenessCheck { sent_at_ms: scene.now / MILLISECOND };
    scene.effects.push(Effect::Send { connection, payload: Payload::ToCore(message) });
}

fn send(scene: &mut DispatcherScene<'_>, connection: Connection, message: FromDispatcher) {
    scene.effects.push(Effect::Send { connection, payload: Payload::FromDispatcher(message) });
}

/// A message without an order key, to be run at once.
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
