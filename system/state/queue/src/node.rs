//! The state machine of one store process: takes an event, hands it to the part that it concerns.

use crate::api::{ConnectionId, DiskRecord, Input, Output, Recovered};
use crate::callbacks::Callbacks;
use crate::config::Config;
use crate::disk::Disk;
use crate::dispatchers::Dispatchers;
use crate::follower::Dump;
use crate::keys::Keys;
use crate::peers::Peer;
use crate::reign::Reign;
use crate::replication::Change;
use crate::schedule::{is_ceiling, ServiceIndex, Services};
use crate::table::Table;
use crate::time::Time;
use crate::timers::{Timer, Timers};
use millrudder_protocol::control::StoreHealth;
use millrudder_protocol::message::MessageState;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::{BetweenStores, FromDispatcher, ServiceRate, ToDispatcher};
use millrudder_protocol::{Epoch, MessageId, ShardId, StoreId};
use millrudder_topology::Location;
use std::collections::{BTreeMap, BTreeSet};

/// All decisions of one store process.
#[derive(Clone, Debug)]
pub struct StoreNode {
    pub(crate) config: Config,
    pub(crate) me: StoreId,
    pub(crate) location: Location,
    pub(crate) now: Time,
    pub(crate) out: Vec<Output>,
    pub(crate) placement: Placement,
    pub(crate) promises: BTreeMap<ShardId, Epoch>,
    pub(crate) reigns: BTreeMap<ShardId, Reign>,
    pub(crate) table: Table,
    pub(crate) timers: Timers,
    pub(crate) disk: Disk,
    pub(crate) peers: BTreeMap<StoreId, Peer>,
    /// Messages whose latest version is not on as many disks as promised.
    pub(crate) pending: BTreeSet<MessageId>,
    /// What became known since the last flush.
    pub(crate) changes: Vec<Change>,
    pub(crate) services: Services,
    pub(crate) rates: BTreeMap<ServiceIndex, f64>,
    pub(crate) keys: Keys,
    pub(crate) dispatchers: Dispatchers,
    pub(crate) callbacks: Callbacks,
    pub(crate) dumps: BTreeMap<(StoreId, ShardId), Dump>,
    /// The watchdog is to look once all other timers that are due have gone off.
    watch_due: bool,
    /// The message that the watchdog looked at last.
    pub(crate) watched: Option<MessageId>,
    pub(crate) silence_at: Option<Time>,
    pub(crate) random: fastrand::Rng,
    leaving: bool,
}

impl StoreNode {
    /// A store process that starts at `now_ms` (steady clock) with what its disk holds, in the order of the appends.
    pub fn new(
        config: Config,
        me: StoreId,
        location: impl Into<Location>,
        now_ms: u64,
        recovered: impl Iterator<Item = Recovered>,
    ) -> Self {
        let random = fastrand::Rng::with_seed(config.seed ^ me.0);
        let mut node = StoreNode {
            config,
            me,
            location: location.into(),
            now: Time::from_steady(now_ms),
            out: Vec::new(),
            placement: Placement::default(),
            promises: BTreeMap::new(),
            reigns: BTreeMap::new(),
            table: Table::default(),
            timers: Timers::default(),
            disk: Disk::new(),
            peers: BTreeMap::new(),
            pending: BTreeSet::new(),
            changes: Vec::new(),
            services: Services::default(),
            rates: BTreeMap::new(),
            keys: Keys::default(),
            dispatchers: Dispatchers::default(),
            callbacks: Callbacks::default(),
            dumps: BTreeMap::new(),
            watch_due: false,
            watched: None,
            silence_at: None,
            random,
            leaving: false,
        };
        node.recover(recovered);
        node.set_scrub_timer();
        node.set_watch_timer();
        node
    }

    fn recover(&mut self, recovered: impl Iterator<Item = Recovered>) {
        for Recovered { record, age_ms } in recovered {
            match record {
                DiskRecord::Promised { shard, term: since } => {
                    let promise = self.promises.entry(shard).or_default();
                    *promise = since.max(*promise);
                }
                DiskRecord::Message { record } => self.learn(record, age_ms),
            }
        }
        let ids: Vec<MessageId> = self.table.ids().collect();
        for id in ids {
            self.set_expiry(id);
        }
    }

    /// Takes one event; what is to be done is added to `out`. Time never goes back.
    pub fn handle(&mut self, now_ms: u64, input: Input, out: &mut Vec<Output>) {
        self.now = self.now.max(Time::from_steady(now_ms));
        self.fire_timers();
        self.settle();
        // After all that was due: a process that was halted finds many timers due at once.
        if std::mem::take(&mut self.watch_due) {
            self.watch();
            self.settle();
        }
        self.take(input);
        self.settle();
        out.append(&mut self.out);
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Placement(placement) => self.adopt_placement(placement),
            Input::Rates(rates) => self.set_rates(&rates),
            Input::Dispatcher { connection, message } => self.take_from_dispatcher(connection, message),
            Input::DispatcherClosed { connection } => self.dispatcher_closed(connection),
            Input::Store { from, message } => self.take_from_store(from, message),
            Input::StoreConnected { store } => self.store_connected(store),
            Input::StoreClosed { store } => self.store_closed(store),
            Input::Synced { ticket } => self.local_synced(ticket),
            Input::DiskFailed => self.disk_failed(),
            Input::Leaving => self.leaving = true,
            Input::Tick => {}
        }
    }

    /// Grants what can be granted, then writes and sends what became known.
    fn settle(&mut self) {
        self.grant_wanted();
        self.grant_callbacks();
        self.flush();
        self.pump();
    }

    fn fire_timers(&mut self) {
        self.hedge();
        while let Some(timer) = self.timers.pop(self.now) {
            match timer {
                Timer::Wake(id) => self.wake(id),
                Timer::Expiry(id) => self.expire(id),
                Timer::Unconfirmed(dispatcher) => self.release_unconfirmed(dispatcher),
                Timer::Permit(service) => self.permit_due(service),
                Timer::Receiver(receiver) => {
                    self.callbacks.wanted.insert(receiver);
                }
                Timer::Silence => self.close_silent(),
                Timer::Piece(store, shard) => self.send_piece(store, shard),
                Timer::Scrub => self.scrub(),
                Timer::Watch => self.watch_due = true,
            }
        }
    }

    fn take_from_dispatcher(&mut self, connection: ConnectionId, message: FromDispatcher) {
        self.dispatchers.heard(connection, self.now);
        match message {
            FromDispatcher::Hello { dispatcher, name: _, zone, epoch, active_leases: held, in_doubt } => {
                self.hello(connection, dispatcher, &zone, epoch, &held, in_doubt);
            }
            FromDispatcher::Accept { request, id, message, wants_lease: lease } => {
                self.accept(connection, request, id, message, lease);
            }
            FromDispatcher::Withdraw { id } => self.withdraw(connection, id),
            FromDispatcher::Attempted { id, token, outcome } => {
                self.attempted(connection, id, token, outcome)
            }
            FromDispatcher::CalledBack { id, token, done, retry_after_ms } => {
                self.called_back(connection, id, token, done, retry_after_ms);
            }
            FromDispatcher::NeedBody { id, token } => self.need_body(connection, id, token),
            FromDispatcher::Credits { credits } => self.set_credits(connection, &credits),
            FromDispatcher::Query { request, id, with_body: body } => {
                self.query(connection, request, id, body)
            }
            FromDispatcher::ShuttingDown => self.dispatcher_leaving(connection),
            FromDispatcher::Ping => self.tell(connection, ToDispatcher::Pong),
            FromDispatcher::Barrier { number } => {
                self.tell(connection, ToDispatcher::BarrierReached { number })
            }
        }
    }

    fn take_from_store(&mut self, from: StoreId, message: BetweenStores) {
        match message {
            BetweenStores::Hello { .. } | BetweenStores::Pong => {}
            BetweenStores::Write { number, shard, term: since, records } => {
                self.write(from, number, shard, since, records);
            }
            BetweenStores::Written { number } => self.written(from, number),
            BetweenStores::Fenced { shard, term: since, .. } => self.fenced(shard, since),
            BetweenStores::Prepare { shard, term: since } => self.promise(from, shard, since),
            BetweenStores::Promise { shard, term: since, states, last } => {
                self.promised(from, shard, since, states, last);
            }
            BetweenStores::Scrub { shard, term: since, entries } => {
                self.compare(from, shard, since, &entries)
            }
            BetweenStores::Scrubbed { shard, term: since, differing } => {
                self.scrubbed(from, shard, since, &differing);
            }
            BetweenStores::LearnerCaughtUp { shard, term: since, change } => {
                self.filled(shard, since, change)
            }
            BetweenStores::Ping => self.tell_store(from, BetweenStores::Pong),
        }
    }

    fn adopt_placement(&mut self, placement: Placement) {
        if placement.epoch <= self.placement.epoch {
            return;
        }
        self.placement = placement;
        let count = u16::try_from(self.placement.shards.len()).unwrap_or(u16::MAX);
        for number in 0..count {
            self.adopt_shard(ShardId(number));
        }
    }

    fn set_rates(&mut self, rates: &[ServiceRate]) {
        let mut by_service = BTreeMap::new();
        for rate in rates.iter().filter(|rate| is_ceiling(rate)) {
            by_service.insert(self.service(&rate.service), rate.per_second);
        }
        self.services.set_rates(&by_service, self.now);
        self.rates = by_service;
    }

    /// Nothing on this disk can be promised any more.
    fn disk_failed(&mut self) {
        self.disk.failed = true;
        self.dumps.clear();
        let shards: Vec<ShardId> = self.reigns.keys().copied().collect();
        for shard in shards {
            self.step_down(shard);
        }
    }

    /// Time at which `Tick` is wanted at the latest.
    pub fn next_deadline(&self) -> Option<u64> {
        let peers = self.peers.values().filter_map(|peer| peer.deadline(&self.config));
        let local = self.disk.deadline(self.config.max_write_wait_ms);
        let first = peers.chain(local).chain(self.timers.first()).min();
        first.map(Time::to_steady)
    }

    /// What the process tells the core of itself.
    pub fn health(&self, now_ms: u64) -> StoreHealth {
        let now = Time::from_steady(now_ms).max(self.now);
        let serving = self.reigns.values().filter(|reign| reign.is_serving()).count();
        let oldest_unsynced_ms = if self.disk.failed { u64::MAX } else { self.disk.oldest_unsynced_ms(now) };
        StoreHealth {
            oldest_unsynced_ms: u32::try_from(oldest_unsynced_ms).unwrap_or(u32::MAX),
            disk_bytes: self.table.bytes(),
            live_messages: self.table.live(),
            is_shutting_down: self.leaving,
            primary_shards: u32::try_from(serving).unwrap_or(u32::MAX),
        }
    }

    /// All that is known of a message, for the compaction of segments; `None` after `Released`.
    pub fn state_of(&self, id: MessageId) -> Option<MessageState> {
        self.table.get(id).map(|entry| entry.state(self.now))
    }

    /// Promises in force, for the compaction of segments.
    pub fn promises(&self) -> Vec<DiskRecord> {
        let promise =
            |(shard, since): (&ShardId, &Epoch)| DiskRecord::Promised { shard: *shard, term: *since };
        self.promises.iter().map(promise).collect()
    }

    /// Sends to a dispatcher whose connection is still there.
    pub(crate) fn tell(&mut self, connection: ConnectionId, message: ToDispatcher) {
        if self.dispatchers.is_connected(connection) {
            self.out.push(Output::ToDispatcher { connection, message });
        }
    }

    pub(crate) fn tell_store(&mut self, store: StoreId, message: BetweenStores) {
        self.out.push(Output::ToStore { store, message });
    }

    /// This store orders, accepts and grants in the shard now.
    pub(crate) fn is_serving(&self, shard: ShardId) -> bool {
        self.reigns.get(&shard).is_some_and(Reign::is_serving)
    }
}
