//! The state machine of one store process: takes an event, hands it to the part that it concerns.

use crate::api::{ConnectionId, DiskRecord, Input, Output, Recovered};
use crate::callbacks::Callbacks;
use crate::config::Config;
use crate::disk::Disk;
use crate::dispatchers::Dispatchers;
use crate::keys::Keys;
use crate::peers::Peer;
use crate::primary_term::PrimaryTerm;
use crate::replica::SnapshotTransfer;
use crate::replication::Change;
use crate::schedule::{is_limiting, ServiceIndex, Services};
use crate::table::Table;
use crate::time::wire_millis;
use crate::time::Instant;
use crate::timers::{Timer, Timers};
use millrudder_protocol::control::StoreHealth;
use millrudder_protocol::message::MessageState;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::{BetweenStores, FromDispatcher, ServiceRate, ToDispatcher};
use millrudder_protocol::{Epoch, MessageId, ShardId, StoreId};
use millrudder_topology::Location;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// All decisions of one store process.
#[derive(Clone, Debug)]
pub struct StoreNode {
    pub(crate) config: Config,
    pub(crate) local_id: StoreId,
    pub(crate) location: Location,
    pub(crate) now: Instant,
    pub(crate) outputs: Vec<Output>,
    pub(crate) placement: Placement,
    pub(crate) promised_terms: BTreeMap<ShardId, Epoch>,
    pub(crate) primary_terms: BTreeMap<ShardId, PrimaryTerm>,
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
    pub(crate) snapshot_transfers: BTreeMap<(StoreId, ShardId), SnapshotTransfer>,
    /// The watchdog is to look once all other timers that are due have gone off.
    is_watchdog_due: bool,
    /// The message that the watchdog looked at last.
    pub(crate) watchdog_position: Option<MessageId>,
    pub(crate) heartbeat_check_at: Option<Instant>,
    pub(crate) random: fastrand::Rng,
    leaving: bool,
}

impl StoreNode {
    /// A store process that starts at `now` with what its disk holds, in the order of the appends.
    pub fn new(
        config: Config,
        local_id: StoreId,
        location: impl Into<Location>,
        now: millrudder_clock::Instant,
        recovered: impl Iterator<Item = Recovered>,
    ) -> Self {
        let random = fastrand::Rng::with_seed(config.seed ^ local_id.0);
        let mut node = StoreNode {
            config,
            local_id,
            location: location.into(),
            now: Instant::from(now),
            outputs: Vec::new(),
            placement: Placement::default(),
            promised_terms: BTreeMap::new(),
            primary_terms: BTreeMap::new(),
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
            snapshot_transfers: BTreeMap::new(),
            is_watchdog_due: false,
            watchdog_position: None,
            heartbeat_check_at: None,
            random,
            leaving: false,
        };
        node.recover(recovered);
        node.set_scrub_timer();
        node.set_watchdog_timer();
        node
    }

    fn recover(&mut self, recovered: impl Iterator<Item = Recovered>) {
        for Recovered { record, age } in recovered {
            match record {
                DiskRecord::Promised { shard, term } => {
                    let promise = self.promised_terms.entry(shard).or_default();
                    *promise = term.max(*promise);
                }
                DiskRecord::Message { record } => self.apply_received_record(record, age),
            }
        }
        let ids: Vec<MessageId> = self.table.ids().collect();
        for id in ids {
            self.set_expiry(id);
        }
    }

    /// Takes one event; what is to be done is added to `outputs`. Time never goes back.
    pub fn handle(&mut self, now: millrudder_clock::Instant, input: Input, outputs: &mut Vec<Output>) {
        self.now = self.now.max(Instant::from(now));
        self.fire_timers();
        self.process_pending_work();
        // After all that was due: a process that was halted finds many timers due at once.
        if std::mem::take(&mut self.is_watchdog_due) {
            self.run_watchdog();
            self.process_pending_work();
        }
        self.handle_input(input);
        self.process_pending_work();
        outputs.append(&mut self.outputs);
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Placement(placement) => self.handle_placement(placement),
            Input::Rates(rates) => self.handle_rates(&rates),
            Input::Dispatcher { connection, message } => self.handle_dispatcher_message(connection, message),
            Input::DispatcherClosed { connection } => self.handle_dispatcher_closed(connection),
            Input::Store { from, message } => self.handle_store_message(from, message),
            Input::StoreConnected { store } => self.handle_store_connected(store),
            Input::StoreClosed { store } => self.handle_store_closed(store),
            Input::Synced { ticket } => self.handle_local_synced(ticket),
            Input::DiskFailed => self.handle_disk_failed(),
            Input::Leaving => self.leaving = true,
            Input::Tick => {}
        }
    }

    /// Grants what can be granted, then writes and sends what became known.
    fn process_pending_work(&mut self) {
        self.grant_runnable_services();
        self.grant_callbacks();
        self.flush();
        self.send_catch_up();
    }

    fn fire_timers(&mut self) {
        self.hedge();
        while let Some(timer) = self.timers.pop(self.now) {
            match timer {
                Timer::BackoffOver(id) => self.handle_backoff_over(id),
                Timer::Expiry(id) => self.handle_expiry(id),
                Timer::UnconfirmedLeases(dispatcher) => self.release_unconfirmed(dispatcher),
                Timer::PermitAvailable(service) => self.handle_permit_due(service),
                Timer::ReceiverReady(receiver) => {
                    self.callbacks.runnable.insert(receiver);
                }
                Timer::HeartbeatCheck => self.close_unresponsive(),
                Timer::SnapshotChunk(store, shard) => self.send_snapshot_chunk(store, shard),
                Timer::Scrub => self.scrub(),
                Timer::Watchdog => self.is_watchdog_due = true,
            }
        }
    }

    fn handle_dispatcher_message(&mut self, connection: ConnectionId, message: FromDispatcher) {
        self.dispatchers.record_activity(connection, self.now);
        match message {
            FromDispatcher::Hello { dispatcher, name: _, zone, epoch, held, in_doubt } => {
                self.handle_hello(connection, dispatcher, &zone, epoch, &held, in_doubt);
            }
            FromDispatcher::Accept { request, id, message, lease } => {
                self.handle_accept(connection, request, id, message, lease);
            }
            FromDispatcher::Withdraw { id } => self.handle_withdraw(connection, id),
            FromDispatcher::Attempted { id, token, outcome } => {
                self.handle_attempted(connection, id, token, outcome)
            }
            FromDispatcher::CalledBack { id, token, done, retry_after_ms } => {
                self.handle_called_back(connection, id, token, done, retry_after_ms);
            }
            FromDispatcher::NeedBody { id, token } => self.handle_need_body(connection, id, token),
            FromDispatcher::Credits { credits } => self.handle_credits(connection, &credits),
            FromDispatcher::Query { request, id, body } => self.handle_query(connection, request, id, body),
            FromDispatcher::Leaving => self.handle_dispatcher_leaving(connection),
            FromDispatcher::Ping => self.send_to_dispatcher(connection, ToDispatcher::Pong),
            FromDispatcher::Barrier { number } => {
                self.send_to_dispatcher(connection, ToDispatcher::BarrierReached { number })
            }
        }
    }

    fn handle_store_message(&mut self, from: StoreId, message: BetweenStores) {
        match message {
            BetweenStores::Hello { .. } | BetweenStores::Pong => {}
            BetweenStores::Write { number, shard, term, records } => {
                self.handle_write(from, number, shard, term, records);
            }
            BetweenStores::Written { number } => self.handle_written(from, number),
            BetweenStores::Fenced { shard, term, .. } => self.handle_fenced(shard, term),
            BetweenStores::Prepare { shard, term } => self.handle_prepare(from, shard, term),
            BetweenStores::Promise { shard, term, states, last } => {
                self.handle_promise(from, shard, term, states, last);
            }
            BetweenStores::Scrub { shard, term, entries } => self.handle_scrub(from, shard, term, &entries),
            BetweenStores::Scrubbed { shard, term, differing } => {
                self.handle_scrubbed(from, shard, term, &differing);
            }
            BetweenStores::Filled { shard, term, change } => self.handle_filled(shard, term, change),
            BetweenStores::Ping => self.send_to_store(from, BetweenStores::Pong),
        }
    }

    fn handle_placement(&mut self, placement: Placement) {
        if placement.epoch <= self.placement.epoch {
            return;
        }
        self.placement = placement;
        let count = u16::try_from(self.placement.shards.len()).unwrap_or(u16::MAX);
        for number in 0..count {
            self.apply_shard_placement(ShardId(number));
        }
    }

    fn handle_rates(&mut self, rates: &[ServiceRate]) {
        let mut by_service = BTreeMap::new();
        for rate in rates.iter().filter(|rate| is_limiting(rate)) {
            by_service.insert(self.service(&rate.service), rate.per_second);
        }
        self.services.set_rates(&by_service, self.now);
        self.rates = by_service;
    }

    /// Nothing on this disk can be promised any more.
    fn handle_disk_failed(&mut self) {
        self.disk.failed = true;
        self.snapshot_transfers.clear();
        let shards: Vec<ShardId> = self.primary_terms.keys().copied().collect();
        for shard in shards {
            self.step_down(shard);
        }
    }

    /// Time at which `Tick` is runnable at the latest.
    pub fn next_deadline(&self) -> Option<millrudder_clock::Instant> {
        let peers = self.peers.values().filter_map(|peer| peer.deadline(&self.config));
        let local = self.disk.deadline(self.config.max_write_timeout);
        let first = peers.chain(local).chain(self.timers.first()).min();
        first.map(millrudder_clock::Instant::from)
    }

    /// What the process tells the core of itself.
    pub fn health(&self, now: millrudder_clock::Instant) -> StoreHealth {
        let now = Instant::from(now).max(self.now);
        let serving = self.primary_terms.values().filter(|primary_term| primary_term.is_serving()).count();
        let oldest_unsynced = if self.disk.failed { Duration::MAX } else { self.disk.oldest_unsynced(now) };
        StoreHealth {
            oldest_unsynced_ms: wire_millis(oldest_unsynced),
            disk_bytes: self.table.bytes(),
            live_messages: self.table.live(),
            leaving: self.leaving,
            serving: u32::try_from(serving).unwrap_or(u32::MAX),
        }
    }

    /// All that is known of a message, for the compaction of segments; `None` after `Released`.
    pub fn state_of(&self, id: MessageId) -> Option<MessageState> {
        self.table.get(id).map(|entry| entry.state(self.now))
    }

    /// Promises in force, for the compaction of segments.
    pub fn promised_terms(&self) -> Vec<DiskRecord> {
        let promise = |(shard, term): (&ShardId, &Epoch)| DiskRecord::Promised { shard: *shard, term: *term };
        self.promised_terms.iter().map(promise).collect()
    }

    /// Sends to a dispatcher whose connection is still there.
    pub(crate) fn send_to_dispatcher(&mut self, connection: ConnectionId, message: ToDispatcher) {
        if self.dispatchers.is_connected(connection) {
            self.outputs.push(Output::ToDispatcher { connection, message });
        }
    }

    pub(crate) fn send_to_store(&mut self, store: StoreId, message: BetweenStores) {
        self.outputs.push(Output::ToStore { store, message });
    }

    /// This store orders, accepts and grants in the shard now.
    pub(crate) fn is_serving(&self, shard: ShardId) -> bool {
        self.primary_terms.get(&shard).is_some_and(PrimaryTerm::is_serving)
    }
}
