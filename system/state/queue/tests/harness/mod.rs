//! A test harness of stores that are connected directly to each other, on a clock controlled by the test.
//! Messages are delivered and appends are synced immediately, unless the test pauses a store's inbound messages
//! or stalls its disk.

#![allow(dead_code)]

#[path = "../support/message.rs"]
mod message_builder;

use message_builder::message_of;
use millrudder_clock::Instant;
use millrudder_protocol::control::CaughtUpShard;
use millrudder_protocol::message::{Message, MessageState};
use millrudder_protocol::placement::{Placement, ShardEntry, StoreEntry};
use millrudder_protocol::store::{
    ActiveLease, AttemptOutcome, BetweenStores, FromDispatcher, ServiceCredit, ServiceRate, ToDispatcher,
};
use millrudder_protocol::{
    Address, DispatcherId, Epoch, LeaseToken, MessageId, RequestNumber, ShardId, StoreId,
};
use millrudder_queue::{
    Config, ConnectionId, DiskRecord, Input, OrphanCause, Output, Recovered, StoreNode, Ticket,
};
use millrudder_topology::{Location, Topology};
use speedy::{LittleEndian, Writable};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// The only shard of the harness.
pub const SHARD: ShardId = ShardId(0);

/// A grant that was delivered to a dispatcher.
#[derive(Clone, Debug)]
pub struct Granted {
    pub connection: ConnectionId,
    pub id: MessageId,
    pub token: LeaseToken,
    pub message: Option<Message>,
    pub at_ms: u64,
}

/// An orphaned message that a store reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Orphan {
    pub id: MessageId,
    pub cause: OrphanCause,
}

/// One store process of the harness, with its disk.
#[derive(Clone)]
pub struct StoreProcess {
    pub node: Option<StoreNode>,
    pub records: Vec<(u64, DiskRecord)>,
    last: Ticket,
    /// Number of records that are synced.
    synced: usize,
    /// The disk is stalled: nothing is synced.
    pub stalled: bool,
    /// Messages from other stores are not delivered but wait in `inbound`.
    pub is_inbound_paused: bool,
    inbound: VecDeque<(StoreId, BetweenStores)>,
}

/// All stores, and everything that was sent to dispatchers.
#[derive(Clone)]
pub struct StoreHarness {
    pub now_ms: u64,
    pub config: Config,
    topology: Topology,
    pub processes: Vec<StoreProcess>,
    pub placement: Placement,
    /// Messages sent to dispatchers, in order.
    pub sent_to_dispatchers: Vec<(ConnectionId, ToDispatcher)>,
    pub grants: Vec<Granted>,
    pub closed: Vec<ConnectionId>,
    pub released: BTreeSet<MessageId>,
    pub caught_up: Vec<(usize, CaughtUpShard)>,
    pub orphans: Vec<Orphan>,
    /// Number of `Write` messages sent between stores so far.
    pub sent_writes: u64,
    /// Length of the longest message sent between stores so far, in bytes as it is encoded.
    pub longest_sent_bytes: usize,
    links_down: BTreeSet<(usize, usize)>,
    queue: VecDeque<(usize, StoreId, BetweenStores)>,
    requests: u64,
    allocated_ids: u64,
}

impl StoreProcess {
    /// The waiting messages and the state of the disk as text, for the comparison of states.
    pub fn inbound_description(&self) -> String {
        format!("{:?} {} {} {}", self.inbound, self.stalled, self.is_inbound_paused, self.synced)
    }

    /// Drops the waiting messages.
    pub fn drop_inbound(&mut self) {
        self.inbound.clear();
    }
}

pub fn store_id(index: usize) -> StoreId {
    StoreId(10 + index as u64)
}

pub fn zone(index: usize) -> String {
    format!("zone-{index}")
}

impl StoreHarness {
    /// Creates `stores` replicas of one shard; the first is the primary.
    pub fn new(stores: usize, tolerated_losses: u32) -> Self {
        StoreHarness::with(stores, tolerated_losses, Config::default())
    }

    pub fn with(stores: usize, tolerated_losses: u32, config: Config) -> Self {
        StoreHarness::with_topology(stores, tolerated_losses, config, Topology::default())
    }

    /// Creates one store per zone; `regions` are the regions of the zones in order.
    pub fn in_regions(tolerated_losses: u32, regions: &[&str]) -> Self {
        let zones: Vec<String> = (0..regions.len()).map(zone).collect();
        let pairs = zones.iter().map(String::as_str).zip(regions.iter().copied());
        StoreHarness::with_topology(regions.len(), tolerated_losses, Config::default(), Topology::new(pairs))
    }

    fn with_topology(stores: usize, tolerated_losses: u32, config: Config, topology: Topology) -> Self {
        let entry = |index: usize| StoreEntry {
            id: store_id(index),
            name: format!("store-{index}"),
            zone: zone(index),
            address: Address(SocketAddr::from(([127, 0, 0, 1], 1))),
            alive: true,
        };
        let replicas: Vec<StoreId> = (0..stores).map(store_id).collect();
        let shard = ShardEntry { primary: replicas[0], replicas, change: None, term: Epoch(1) };
        let placement = Placement {
            epoch: Epoch(1),
            tolerated_losses,
            stores: (0..stores).map(entry).collect(),
            shards: vec![shard],
        };
        let mut harness = StoreHarness {
            now_ms: 1_000,
            config,
            topology,
            processes: Vec::new(),
            placement,
            sent_to_dispatchers: Vec::new(),
            grants: Vec::new(),
            closed: Vec::new(),
            released: BTreeSet::new(),
            caught_up: Vec::new(),
            orphans: Vec::new(),
            sent_writes: 0,
            longest_sent_bytes: 0,
            links_down: BTreeSet::new(),
            queue: VecDeque::new(),
            requests: 0,
            allocated_ids: 0,
        };
        for _ in 0..stores {
            harness.add_process();
        }
        for index in 0..stores {
            harness.start(index);
        }
        harness
    }

    pub fn add_process(&mut self) -> usize {
        self.processes.push(StoreProcess {
            node: None,
            records: Vec::new(),
            last: Ticket::default(),
            synced: 0,
            stalled: false,
            is_inbound_paused: false,
            inbound: VecDeque::new(),
        });
        self.processes.len() - 1
    }

    /// The reading of the stores' clocks.
    pub fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    /// Starts a process, which recovers from its disk.
    pub fn start(&mut self, index: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let recovered: Vec<Recovered> = self.processes[index]
            .records
            .iter()
            .map(|(at_ms, record)| Recovered {
                record: record.clone(),
                age: Duration::from_millis(now_ms - at_ms),
            })
            .collect();
        let location = Location::new(&zone(index), self.topology.clone());
        let (config, local_id) = (self.config.clone(), store_id(index));
        let node = StoreNode::new(config, local_id, location, now, recovered.into_iter());
        self.processes[index].node = Some(node);
        self.input(index, Input::Placement(self.placement.clone()));
        for other in 0..self.processes.len() {
            self.connect(index, other);
        }
    }

    fn connect(&mut self, one: usize, other: usize) {
        let is_up = |index: usize| self.processes[index].node.is_some();
        if one == other || !is_up(one) || !is_up(other) || self.is_down(one, other) {
            return;
        }
        self.input(one, Input::StoreConnected { store: store_id(other) });
        self.input(other, Input::StoreConnected { store: store_id(one) });
    }

    fn is_down(&self, one: usize, other: usize) -> bool {
        self.links_down.contains(&(one.min(other), one.max(other)))
    }

    /// Breaks or restores the connection between two stores.
    pub fn set_link(&mut self, one: usize, other: usize, up: bool) {
        let link = (one.min(other), one.max(other));
        if up {
            self.links_down.remove(&link);
            self.connect(one, other);
            return;
        }
        self.links_down.insert(link);
        self.input(one, Input::StoreClosed { store: store_id(other) });
        self.input(other, Input::StoreClosed { store: store_id(one) });
    }

    /// Kills a process. Its disk keeps all records, synced or not.
    pub fn kill(&mut self, index: usize) {
        self.processes[index].node = None;
        self.processes[index].inbound.clear();
        for other in 0..self.processes.len() {
            self.input(other, Input::StoreClosed { store: store_id(index) });
        }
    }

    /// Simulates a power failure: records that were not synced are lost.
    pub fn lose_power(&mut self, index: usize) {
        self.kill(index);
        let process = &mut self.processes[index];
        process.last = Ticket::default();
        process.records.truncate(process.synced);
    }

    /// Makes another store the primary in a new epoch, and sends the placement to all stores.
    pub fn move_primary(&mut self, index: usize) {
        self.placement.epoch = Epoch(self.placement.epoch.0 + 1);
        self.placement.shards[0].primary = store_id(index);
        self.placement.shards[0].term = self.placement.epoch;
        self.publish_placement();
    }

    /// Sends the placement to all stores whose inbound messages are not paused.
    pub fn publish_placement(&mut self) {
        for index in 0..self.processes.len() {
            if !self.processes[index].is_inbound_paused {
                self.input(index, Input::Placement(self.placement.clone()));
            }
        }
    }

    pub fn input(&mut self, index: usize, input: Input) {
        self.handle(index, input);
        self.deliver_queued();
    }

    fn handle(&mut self, index: usize, input: Input) {
        let now = self.now();
        let mut out = Vec::new();
        let Some(node) = self.processes[index].node.as_mut() else { return };
        node.handle(now, input, &mut out);
        for output in out {
            self.execute_output(index, output);
        }
        self.sync(index);
    }

    /// Syncs all appended records, unless the disk is stalled.
    pub fn sync(&mut self, index: usize) {
        let process = &self.processes[index];
        let (ticket, stalled) = (process.last, process.stalled);
        if stalled || process.node.is_none() || ticket == Ticket::default() {
            return;
        }
        self.processes[index].last = Ticket::default();
        self.processes[index].synced = self.processes[index].records.len();
        self.handle(index, Input::Synced { ticket });
    }

    fn execute_output(&mut self, index: usize, output: Output) {
        match output {
            Output::Append { ticket, record } => {
                self.processes[index].last = ticket;
                self.processes[index].records.push((self.now_ms, record));
            }
            Output::ToDispatcher { connection, message } => self.record_sent(connection, message),
            Output::ToStore { store, message } => {
                self.sent_writes += u64::from(matches!(message, BetweenStores::Write { .. }));
                let bytes = Writable::<LittleEndian>::bytes_needed(&message).unwrap();
                self.longest_sent_bytes = self.longest_sent_bytes.max(bytes);
                let to = (0..self.processes.len()).find(|other| store_id(*other) == store);
                if let Some(to) = to.filter(|to| !self.is_down(index, *to)) {
                    self.queue.push_back((to, store_id(index), message));
                }
            }
            Output::CloseDispatcher { connection } => self.closed.push(connection),
            Output::CaughtUp { shard } => self.caught_up.push((index, shard)),
            Output::Orphaned { id, cause } => self.orphans.push(Orphan { id, cause }),
            Output::Released { id } => {
                self.released.insert(id);
            }
        }
    }

    fn record_sent(&mut self, connection: ConnectionId, message: ToDispatcher) {
        if let ToDispatcher::Deliver { id, token, message, .. } = &message {
            let message = message.as_deref().cloned();
            self.grants.push(Granted { connection, id: *id, token: *token, message, at_ms: self.now_ms });
        }
        self.sent_to_dispatchers.push((connection, message));
    }

    fn deliver_queued(&mut self) {
        while let Some((to, from, message)) = self.queue.pop_front() {
            if self.processes[to].is_inbound_paused {
                self.processes[to].inbound.push_back((from, message));
            } else {
                self.handle(to, Input::Store { from, message });
            }
        }
    }

    /// Resumes the inbound messages of a store and delivers the waiting ones.
    pub fn resume_inbound(&mut self, index: usize) {
        self.processes[index].is_inbound_paused = false;
        while let Some((from, message)) = self.processes[index].inbound.pop_front() {
            self.input(index, Input::Store { from, message });
        }
    }

    /// Advances the clock, and calls each store at its deadlines on the way.
    pub fn advance(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        loop {
            let deadlines = self.processes.iter().enumerate();
            let deadlines = deadlines.filter(|(_, process)| !process.is_inbound_paused);
            let deadline = |(index, process): (usize, &StoreProcess)| {
                process.node.as_ref().and_then(StoreNode::next_deadline).map(|at| (at.as_millis(), index))
            };
            let Some((at_ms, index)) =
                deadlines.filter_map(deadline).min().filter(|(at_ms, _)| *at_ms <= until_ms)
            else {
                break;
            };
            self.now_ms = self.now_ms.max(at_ms);
            self.input(index, Input::Tick);
        }
        self.now_ms = until_ms;
    }

    /// Connects a dispatcher to a store, where it announces its leases.
    pub fn hello(
        &mut self,
        store: usize,
        connection: u64,
        dispatcher: u64,
        zone: &str,
        leases: Vec<ActiveLease>,
    ) {
        self.hello_in_doubt(store, connection, dispatcher, zone, leases, Vec::new());
    }

    /// Like [`StoreHarness::hello`], with messages of which the dispatcher does not know whether they were
    /// accepted.
    pub fn hello_in_doubt(
        &mut self,
        store: usize,
        connection: u64,
        dispatcher: u64,
        zone: &str,
        leases: Vec<ActiveLease>,
        in_doubt: Vec<MessageId>,
    ) {
        let hello = FromDispatcher::Hello {
            dispatcher: DispatcherId(dispatcher),
            name: format!("dispatcher-{dispatcher}"),
            zone: zone.to_owned(),
            epoch: self.placement.epoch,
            active_leases: leases,
            in_doubt,
        };
        self.send_from_dispatcher(store, connection, hello);
    }

    pub fn send_from_dispatcher(&mut self, store: usize, connection: u64, message: FromDispatcher) {
        self.input(store, Input::Dispatcher { connection: ConnectionId(connection), message });
    }

    pub fn next_message_id(&mut self) -> MessageId {
        self.allocated_ids += 1;
        MessageId { shard: SHARD, unique: self.allocated_ids }
    }

    /// Sends a message for acceptance and returns its identifier.
    pub fn accept(&mut self, store: usize, connection: u64, message: Message, lease: bool) -> MessageId {
        let id = self.next_message_id();
        self.accept_as(store, connection, id, message, lease);
        id
    }

    pub fn accept_as(&mut self, store: usize, connection: u64, id: MessageId, message: Message, lease: bool) {
        self.requests += 1;
        let request = RequestNumber(self.requests);
        let message = Box::new(message);
        self.send_from_dispatcher(
            store,
            connection,
            FromDispatcher::Accept { request, id, message, wants_lease: lease },
        );
    }

    /// The token in the latest acknowledgement of an acceptance; `Some(None)` if that came without a lease.
    pub fn last_accepted(&self) -> Option<Option<LeaseToken>> {
        let token = |message: &ToDispatcher| match message {
            ToDispatcher::Accepted { token, .. } => Some(*token),
            _ => None,
        };
        self.sent_to_dispatchers.iter().rev().find_map(|(_, message)| token(message))
    }

    pub fn acceptances(&self) -> usize {
        self.sent_to_dispatchers
            .iter()
            .filter(|(_, message)| matches!(message, ToDispatcher::Accepted { .. }))
            .count()
    }

    pub fn is_recorded(&self, id: MessageId, token: LeaseToken) -> bool {
        self.sent_to_dispatchers.iter().any(|(_, message)| *message == ToDispatcher::Recorded { id, token })
    }

    pub fn attempted(
        &mut self,
        store: usize,
        connection: u64,
        id: MessageId,
        token: LeaseToken,
        outcome: AttemptOutcome,
    ) {
        self.send_from_dispatcher(store, connection, FromDispatcher::Attempted { id, token, outcome });
    }

    pub fn succeed(&mut self, store: usize, connection: u64, granted: &Granted) {
        let outcome = AttemptOutcome::Succeeded { signature: format!("signature of {}", granted.id) };
        self.attempted(store, connection, granted.id, granted.token, outcome);
    }

    pub fn take_grants(&mut self) -> Vec<Granted> {
        std::mem::take(&mut self.grants)
    }

    pub fn credits(&mut self, store: usize, connection: u64, service: &str, limit: u32) {
        let credits = vec![ServiceCredit { service: service.to_owned(), limit }];
        self.send_from_dispatcher(store, connection, FromDispatcher::Credits { credits });
    }

    pub fn rate(&mut self, store: usize, service: &str, per_second: f64) {
        self.input(store, Input::Rates(vec![ServiceRate { service: service.to_owned(), per_second }]));
    }

    pub fn state(&self, store: usize, id: MessageId) -> Option<MessageState> {
        self.processes[store].node.as_ref()?.state_of(id)
    }
}

/// A single store with one connected dispatcher.
pub fn one_store() -> StoreHarness {
    let mut harness = StoreHarness::new(1, 0);
    harness.hello(0, 1, 1, "zone-0", Vec::new());
    harness
}

/// The token in the latest acknowledgement of an acceptance, which must have come with a lease.
pub fn accepted_token(harness: &StoreHarness) -> LeaseToken {
    harness.last_accepted().expect("accepted").expect("with a lease")
}

/// A message that is due at once.
pub fn message() -> Message {
    message_of("service")
}

/// A message that is due at once and has an order key.
pub fn with_key(key: &str) -> Message {
    Message { order_key: Some(key.to_owned()), ..message() }
}
