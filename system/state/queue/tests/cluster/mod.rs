//! A simulated cluster around the real state machines: disks, links, dispatchers, clients, workers, a placement
//! manager and faults, all in one thread on a simulated clock. A run is reproducible by its seed.

#![allow(dead_code)]

#[path = "../support/message.rs"]
mod message_builder;

pub mod disks;
pub mod dispatcher;
pub mod faults;
pub mod links;
pub mod manager;
pub mod request_log;
pub mod runs;
pub mod stores;

use dispatcher::Dispatcher;
use links::{End, LinkId, Links};
use manager::Manager;
use message_builder::message_of;
use millrudder_protocol::message::{Header, Message};
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::{BetweenStores, FromDispatcher, ServiceRate, ToDispatcher};
use millrudder_protocol::{DispatcherId, LeaseToken, MessageId, ShardId, StoreId};
use millrudder_queue::{Config, ConnectionId, Input};
use request_log::RequestLog;
use std::collections::BTreeMap;
use std::time::Duration;
use stores::{Orphan, Store};

/// Interval at which dispatchers and the placement manager act.
const TICK_MS: u64 = 100;

/// A message on a link.
#[derive(Clone, Debug)]
pub enum Payload {
    Stores(BetweenStores),
    FromDispatcher(FromDispatcher),
    ToDispatcher(ToDispatcher),
}

/// An event at a simulated time.
#[derive(Clone, Debug)]
pub enum Event {
    Arrive {
        link: LinkId,
        connection: u64,
        to: End,
        payload: Payload,
    },
    Closed {
        link: LinkId,
        connection: u64,
        at: End,
    },
    Placement {
        at: End,
        incarnation: u32,
        placement: Placement,
    },
    Synced {
        store: usize,
        incarnation: u32,
    },
    StoreTick {
        store: usize,
        incarnation: u32,
    },
    DispatcherTick {
        dispatcher: usize,
        incarnation: u32,
    },
    WorkerDone {
        dispatcher: usize,
        incarnation: u32,
        id: MessageId,
        token: LeaseToken,
        begun_ms: u64,
        drawn: u32,
    },
    Manage,
    Client,
    StartStore {
        store: usize,
    },
    StartDispatcher {
        dispatcher: usize,
    },
    NextFault,
}

/// Size and behaviour of the simulated cluster.
#[derive(Clone)]
pub struct Options {
    pub stores: usize,
    pub dispatchers: usize,
    pub shards: u16,
    pub tolerated_losses: u32,
    pub seed: u64,
    /// Mean time between two client requests, in milliseconds.
    pub client_interval_ms: u64,
    pub config: Config,
    pub rate_limit: Option<f64>,
    /// Faults may start while others last. Disks are still lost one at a time.
    pub overlapping_faults: bool,
    /// Time that a sync of a disk takes, in milliseconds.
    pub sync_ms: u64,
    /// Dispatchers repeat a report with exponential backoff, and at once at a new connection or placement. Otherwise they
    /// repeat it every [`dispatcher::RESEND_MS`].
    pub report_backoff: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            stores: 3,
            dispatchers: 3,
            shards: 4,
            tolerated_losses: 1,
            seed: 1,
            client_interval_ms: 25,
            config: Config { heartbeat_timeout: Duration::from_millis(1_200), ..Config::default() },
            rate_limit: Some(8.0),
            overlapping_faults: false,
            sync_ms: 2,
            report_backoff: false,
        }
    }
}

/// Name of the service with a rate limit.
pub const RATE_LIMITED_SERVICE: &str = "rated";

/// The simulated cluster.
pub struct Cluster {
    pub options: Options,
    pub now_ms: u64,
    pub stores: Vec<Store>,
    pub dispatchers: Vec<Dispatcher>,
    pub links: Links,
    pub request_log: RequestLog,
    pub manager: Manager,
    pub random: fastrand::Rng,
    pub refusals: u64,
    pub faults_until_ms: u64,
    pub wiped_at_ms: Option<u64>,
    pub clients_until_ms: u64,
    /// Orphaned messages that stores reported.
    pub orphans: Vec<Orphan>,
    pub trace: bool,
    events: BTreeMap<(u64, u64), Event>,
    order: u64,
    allocated_ids: u64,
}

impl Cluster {
    pub fn new(options: Options) -> Self {
        let random = fastrand::Rng::with_seed(options.seed);
        let stores = (0..options.stores).map(|index| Store::new(index, &options)).collect();
        let zone = |index: usize| format!("zone-{}", index % options.stores);
        let dispatcher = |index: usize| Dispatcher::new(DispatcherId(1_000 + index as u64), &zone(index));
        let mut request_log = RequestLog::default();
        // The rate over five seconds, plus saved permits, plus the five additional starts that the requirement
        // allows because links delay some deliveries.
        request_log.rate_limit =
            options.rate_limit.map(|rate| (RATE_LIMITED_SERVICE.to_owned(), rate * 5.0 * 1.04 + 5.0));
        let mut cluster = Cluster {
            now_ms: 0,
            stores,
            dispatchers: (0..options.dispatchers).map(dispatcher).collect(),
            links: Links::default(),
            request_log,
            manager: Manager::new(&options),
            random,
            refusals: 0,
            faults_until_ms: 0,
            wiped_at_ms: None,
            clients_until_ms: 0,
            orphans: Vec::new(),
            trace: std::env::var("TRACE").is_ok(),
            events: BTreeMap::new(),
            order: 0,
            allocated_ids: 0,
            options,
        };
        for store in 0..cluster.stores.len() {
            cluster.start_store(store);
        }
        for dispatcher in 0..cluster.dispatchers.len() {
            cluster.schedule(0, Event::DispatcherTick { dispatcher, incarnation: 0 });
        }
        cluster.publish_placement();
        cluster.schedule(0, Event::Manage);
        cluster
    }

    pub fn schedule(&mut self, at_ms: u64, event: Event) {
        self.order += 1;
        self.events.insert((at_ms.max(self.now_ms), self.order), event);
    }

    /// Runs all events up to the given time.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some(entry) = self.events.first_entry() {
            let (at_ms, order) = *entry.key();
            if at_ms > until_ms {
                break;
            }
            let event = entry.remove();
            self.now_ms = at_ms;
            self.handle_event(order, event);
        }
        self.now_ms = until_ms;
    }

    /// Time until which the process that the event concerns is frozen.
    fn frozen_until(&self, event: &Event) -> u64 {
        let end = match event {
            Event::Arrive { to, .. } => *to,
            Event::Closed { at, .. } | Event::Placement { at, .. } => *at,
            Event::Synced { store, .. } | Event::StoreTick { store, .. } => End::Store(*store),
            Event::DispatcherTick { dispatcher, .. } => End::Dispatcher(*dispatcher),
            _ => return 0,
        };
        match end {
            End::Store(store) => self.stores[store].frozen_until_ms,
            End::Dispatcher(dispatcher) => self.dispatchers[dispatcher].frozen_until_ms,
        }
    }

    fn handle_event(&mut self, order: u64, event: Event) {
        let frozen_until_ms = self.frozen_until(&event);
        if frozen_until_ms > self.now_ms {
            self.events.insert((frozen_until_ms, order), event);
            return;
        }
        if self.trace {
            println!("{} {event:?}", self.now_ms);
        }
        match event {
            Event::Arrive { link, connection, to, payload } => self.arrive(link, connection, to, payload),
            Event::Closed { link, connection, at } => self.closed(link, connection, at),
            Event::Placement { at, incarnation, placement } => {
                self.placement_arrives(at, incarnation, placement)
            }
            Event::Synced { store, incarnation } => self.synced(store, incarnation),
            Event::StoreTick { store, incarnation } => self.store_tick(store, incarnation),
            Event::DispatcherTick { dispatcher, incarnation } => {
                let is_same = self.dispatchers[dispatcher].incarnation == incarnation
                    && self.dispatchers[dispatcher].up;
                if is_same {
                    self.dispatcher_tick(dispatcher);
                    self.schedule(self.now_ms + TICK_MS, Event::DispatcherTick { dispatcher, incarnation });
                }
            }
            Event::WorkerDone { dispatcher, incarnation, id, token, begun_ms, drawn } => {
                self.worker_done(dispatcher, incarnation, id, token, begun_ms, drawn);
            }
            Event::Manage => {
                self.manage();
                self.schedule(self.now_ms + TICK_MS, Event::Manage);
            }
            Event::Client => self.next_client(),
            Event::StartStore { store } => self.start_store(store),
            Event::StartDispatcher { dispatcher } => self.start_dispatcher(dispatcher),
            Event::NextFault => self.next_fault(),
        }
    }

    fn placement_arrives(&mut self, at: End, incarnation: u32, placement: Placement) {
        match at {
            End::Store(store) if self.stores[store].incarnation == incarnation => {
                self.input(store, Input::Placement(placement));
            }
            End::Dispatcher(dispatcher) if self.dispatchers[dispatcher].incarnation == incarnation => {
                self.apply_dispatcher_placement(dispatcher, placement);
            }
            _ => {}
        }
    }

    fn arrive(&mut self, link: LinkId, connection: u64, to: End, payload: Payload) {
        let state = self.links.get(link).clone();
        if state.connection != connection || !state.open {
            return;
        }
        if state.partitioned_until_ms > self.now_ms {
            self.schedule(state.partitioned_until_ms, Event::Arrive { link, connection, to, payload });
            return;
        }
        match (to, link.other(to), payload) {
            (End::Store(store), End::Store(from), Payload::Stores(message)) => {
                let from = self.stores[from].id;
                self.input(store, Input::Store { from, message });
            }
            (End::Store(store), End::Dispatcher(_), Payload::FromDispatcher(message)) => {
                self.input(store, Input::Dispatcher { connection: ConnectionId(connection), message });
            }
            (End::Dispatcher(at), End::Store(store), Payload::ToDispatcher(message)) => {
                self.dispatcher_receives(at, store, message);
            }
            _ => unreachable!("a payload that does not belong on this kind of link"),
        }
    }

    /// Sends a message on a link's current connection.
    pub fn send(&mut self, from: End, to: End, payload: Payload) {
        let link = LinkId::between(from, to);
        let state = self.links.get(link);
        if !state.open {
            return;
        }
        let connection = state.connection;
        let sent_ms = self.now_ms + 1 + self.random.u64(0..2);
        let at_ms = self.links.arrival(link, to, sent_ms);
        self.schedule(at_ms, Event::Arrive { link, connection, to, payload });
    }

    pub fn send_to_store(&mut self, dispatcher: usize, store: usize, message: FromDispatcher) {
        if self.dispatchers[dispatcher].connections.contains_key(&store) {
            self.send(End::Dispatcher(dispatcher), End::Store(store), Payload::FromDispatcher(message));
        }
    }

    /// Breaks the connection of a link; each end notices it after `notice_ms`.
    pub fn close(&mut self, link: LinkId, notice_ms: u64) {
        let state = self.links.get(link);
        if !state.open {
            return;
        }
        state.open = false;
        state.free_at_ms = self.now_ms + notice_ms + 20;
        let connection = state.connection;
        for at in [link.0, link.1] {
            self.schedule(self.now_ms + notice_ms, Event::Closed { link, connection, at });
        }
    }

    fn closed(&mut self, link: LinkId, connection: u64, at: End) {
        match (at, link.other(at)) {
            (End::Store(store), End::Store(other)) => {
                if self.links.get(link).connection == connection {
                    let other = self.stores[other].id;
                    self.input(store, Input::StoreClosed { store: other });
                }
            }
            (End::Store(store), End::Dispatcher(_)) => {
                self.input(store, Input::DispatcherClosed { connection: ConnectionId(connection) });
            }
            (End::Dispatcher(dispatcher), End::Store(store)) => {
                let connections = &mut self.dispatchers[dispatcher].connections;
                if connections.get(&store) == Some(&connection) {
                    connections.remove(&store);
                }
            }
            _ => unreachable!("a link between dispatchers"),
        }
    }

    /// Starts clients that send until the given time.
    pub fn clients_until(&mut self, until_ms: u64) {
        self.clients_until_ms = until_ms;
        self.schedule(self.now_ms, Event::Client);
    }

    fn next_client(&mut self) {
        if self.now_ms >= self.clients_until_ms {
            return;
        }
        let dispatcher = self.random.usize(0..self.dispatchers.len());
        let message = self.random_message();
        if let Some(id) = self.allocate_id(dispatcher, &message) {
            self.client_sends(dispatcher, id, message);
        }
        let wait_ms = self.random.u64(0..=2 * self.options.client_interval_ms);
        self.schedule(self.now_ms + wait_ms, Event::Client);
    }

    /// Allocates an identifier for a message, in the shard of its order key or rate-limited service, or else in
    /// a random one.
    pub fn allocate_id(&mut self, dispatcher: usize, message: &Message) -> Option<MessageId> {
        let placement = &self.dispatchers[dispatcher].placement;
        let by_name = message
            .order_key
            .as_deref()
            .or(Some(RATE_LIMITED_SERVICE).filter(|rated| *rated == message.service));
        let shard = match by_name {
            Some(name) => placement.shard_of(name)?,
            None if placement.shards.is_empty() => return None,
            None => ShardId(self.random.u16(0..self.options.shards)),
        };
        self.allocated_ids += 1;
        Some(MessageId { shard, unique: self.random.u64(0..1 << 32) << 20 | self.allocated_ids })
    }

    fn random_message(&mut self) -> Message {
        let mut message = plain_message();
        let random = &mut self.random;
        message.request_id = format!("r{}", random.u64(..));
        message.body = vec![random.u8(..); random.usize(0..200)];
        match random.u8(0..10) {
            0..4 => message.order_key = Some(format!("key-{}", random.u8(0..4))),
            4..6 if self.options.rate_limit.is_some() => message.service = RATE_LIMITED_SERVICE.to_owned(),
            _ => message.delay_ms = if random.u8(0..4) == 0 { u64::from(random.u32(0..1_500)) } else { 0 },
        }
        if random.u8(0..4) == 0 {
            message.callback_url = Some(format!("http://receiver-{}/done", random.u8(0..2)));
        }
        let kind = match random.u8(0..30) {
            0 => Some("poison"),
            1 => Some("refused"),
            _ => None,
        };
        message.headers.extend(kind.map(|name| Header { name: name.to_owned(), value: Vec::new() }));
        message
    }

    pub fn rates(&self) -> Vec<ServiceRate> {
        let rate = |per_second: f64| ServiceRate { service: RATE_LIMITED_SERVICE.to_owned(), per_second };
        self.options.rate_limit.map(rate).into_iter().collect()
    }

    pub fn store_index(&self, id: StoreId) -> Option<usize> {
        self.stores.iter().position(|store| store.id == id)
    }

    /// Records a fault at the current time. Repeated runs are excused for a while after it.
    pub fn record_fault(&mut self) {
        self.request_log.last_fault_ms = Some(self.now_ms);
    }
}

/// A message without an order key that is due at once.
pub fn plain_message() -> Message {
    message_of("plain")
}
