//! The state machine of one store process: routes each input to the components that it concerns.
//!
//! [`StoreNode`] owns the components. Each component owns its state, which only its own methods change.
//! Operations that involve several components, such as taking a message from its acceptance to its end, are in
//! the submodules, which are named after the input that starts them.

mod accept;
mod attempts;
mod callbacks;
mod connections;
mod expiry;
mod grants;
mod replica;
mod replication;
mod scrub;
mod takeover;
mod watchdog;

use crate::api::{ConnectionId, DiskRecord, Input, Output, Recovered};
use crate::callbacks::Callbacks;
use crate::config::Config;
use crate::context::Context;
use crate::deferred_reports::DeferredReports;
use crate::dispatchers::Dispatchers;
use crate::message_table::MessageTable;
use crate::primary_term::PrimaryTerms;
use crate::promises::Promises;
use crate::replication::Replication;
use crate::scheduling::{is_limiting, OrderKeys, Services};
use crate::time::{millis_u32, Instant};
use crate::timers::Timer;
use millrudder_protocol::control::StoreHealth;
use millrudder_protocol::message::MessageState;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::{BetweenStores, FromDispatcher, ServiceRate, ToDispatcher};
use millrudder_protocol::{MessageId, ShardId, StoreId};
use millrudder_topology::Location;
use std::collections::BTreeMap;
use watchdog::Watchdog;

/// The state machine of one store process.
///
/// It is given one input at a time with a reading of the monotonic clock, and returns its decisions as outputs.
#[derive(Clone, Debug)]
pub struct StoreNode {
    context: Context,
    /// All known messages of all shards.
    table: MessageTable,
    /// As a replica: the terms promised to primaries.
    promises: Promises,
    /// As a primary: the terms in which this store is one, and takeovers.
    primary_terms: PrimaryTerms,
    /// As a primary: writes to the local disk and to other stores.
    replication: Replication,
    /// Ready messages, credits and rate limits by service.
    services: Services,
    /// Queues of messages by order key.
    keys: OrderKeys,
    dispatchers: Dispatchers,
    callbacks: Callbacks,
    deferred_reports: DeferredReports,
    watchdog: Watchdog,
    /// The process was asked to stop. It keeps serving until the placement has moved its shards to other
    /// stores.
    is_shutting_down: bool,
}

impl StoreNode {
    /// Creates the node of a store process that starts at `now`. `recovered` are the records on its disk, in
    /// the order in which they were appended.
    pub fn new(
        config: Config,
        local_id: StoreId,
        location: impl Into<Location>,
        now: millrudder_clock::Instant,
        recovered: impl Iterator<Item = Recovered>,
    ) -> Self {
        let mut node = StoreNode {
            context: Context::new(config, local_id, location.into(), Instant::from(now)),
            table: MessageTable::default(),
            promises: Promises::default(),
            primary_terms: PrimaryTerms::default(),
            replication: Replication::new(),
            services: Services::default(),
            keys: OrderKeys::default(),
            dispatchers: Dispatchers::default(),
            callbacks: Callbacks::default(),
            deferred_reports: DeferredReports::default(),
            watchdog: Watchdog::default(),
            is_shutting_down: false,
        };
        node.recover(recovered);
        node.set_scrub_timer();
        node.set_watchdog_timer();
        node
    }

    fn recover(&mut self, recovered: impl Iterator<Item = Recovered>) {
        for Recovered { record, age } in recovered {
            match record {
                DiskRecord::Promised { shard, term } => self.promises.recover(shard, term),
                DiskRecord::Message { record } => self.apply_received_record(record, age),
            }
        }
        let ids: Vec<MessageId> = self.table.ids().collect();
        for id in ids {
            self.set_expiry(id);
        }
    }

    /// Handles one input at `now` and adds the resulting actions to `outputs`. A clock reading that is earlier
    /// than a former one is replaced by that one.
    pub fn handle(&mut self, now: millrudder_clock::Instant, input: Input, outputs: &mut Vec<Output>) {
        self.context.now = self.context.now.max(Instant::from(now));
        self.fire_timers();
        self.process_pending_work();
        // The watchdog runs after all due timers, because a process that was paused finds many of them due at
        // once.
        if self.watchdog.take_due() {
            self.run_watchdog();
            self.process_pending_work();
        }
        self.handle_input(input);
        self.process_pending_work();
        outputs.append(&mut self.context.outputs);
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
            Input::ShutdownRequested => self.is_shutting_down = true,
            Input::Tick => {}
        }
    }

    /// Grants all messages that can be granted, then writes and sends the resulting changes.
    fn process_pending_work(&mut self) {
        self.grant_runnable_services();
        self.grant_callbacks();
        self.flush();
        self.replication.send_catch_up(&mut self.context, &mut self.table, &self.primary_terms);
    }

    fn fire_timers(&mut self) {
        self.replication.hedge(&mut self.context, &mut self.table, &self.primary_terms);
        while let Some(timer) = self.context.timers.pop(self.context.now) {
            match timer {
                Timer::BackoffOver(id) => self.handle_backoff_over(id),
                Timer::Expiry(id) => self.handle_expiry(id),
                Timer::UnconfirmedLeases(dispatcher) => self.reschedule_unconfirmed_leases(dispatcher),
                Timer::PermitAvailable(service) => self.handle_permit_due(service),
                Timer::ReceiverReady(receiver) => {
                    self.callbacks.mark_runnable(receiver);
                }
                Timer::HeartbeatCheck => self.close_unresponsive(),
                Timer::SnapshotChunk(store, shard) => {
                    self.promises.send_chunk(&mut self.context, &self.table, store, shard);
                }
                Timer::Scrub => self.scrub(),
                Timer::Watchdog => self.watchdog.set_due(),
            }
        }
    }

    fn handle_dispatcher_message(&mut self, connection: ConnectionId, message: FromDispatcher) {
        self.dispatchers.record_activity(connection, self.context.now);
        match message {
            FromDispatcher::Hello { dispatcher, name: _, zone, epoch, active_leases, in_doubt } => {
                self.handle_hello(connection, dispatcher, &zone, epoch, &active_leases, in_doubt);
            }
            FromDispatcher::Accept { request, id, message, wants_lease: lease } => {
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
            FromDispatcher::Query { request, id, with_body: body } => {
                self.handle_query(connection, request, id, body)
            }
            FromDispatcher::ShuttingDown => self.handle_dispatcher_shutdown(connection),
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
            BetweenStores::LearnerCaughtUp { shard, term, change } => {
                self.handle_learner_caught_up(shard, term, change)
            }
            BetweenStores::Ping => self.context.send_to_store(from, BetweenStores::Pong),
        }
    }

    fn handle_placement(&mut self, placement: Placement) {
        if placement.epoch <= self.context.placement.epoch {
            return;
        }
        self.context.placement = placement;
        let count = u16::try_from(self.context.placement.shards.len()).unwrap_or(u16::MAX);
        for number in 0..count {
            self.apply_shard_placement(ShardId(number));
        }
    }

    fn handle_rates(&mut self, rates: &[ServiceRate]) {
        let mut by_service = BTreeMap::new();
        for rate in rates.iter().filter(|rate| is_limiting(rate)) {
            by_service.insert(self.find_or_add_service(&rate.service), rate.per_second);
        }
        self.services.set_rates(&by_service, self.context.now);
    }

    /// Handles a failure of the local disk: nothing on it can be relied on any more, so this store steps down
    /// as primary of all shards.
    fn handle_disk_failed(&mut self) {
        self.replication.fail_disk();
        self.promises.cancel_all_transfers();
        for shard in self.primary_terms.shards() {
            self.step_down(shard);
        }
    }

    /// Latest time at which the shell must call with [`Input::Tick`].
    pub fn next_deadline(&self) -> Option<millrudder_clock::Instant> {
        let first =
            self.replication.deadline(&self.context).into_iter().chain(self.context.timers.first()).min();
        first.map(millrudder_clock::Instant::from)
    }

    /// The health that the process reports to the core in its heartbeats.
    pub fn health(&self, now: millrudder_clock::Instant) -> StoreHealth {
        let now = Instant::from(now).max(self.context.now);
        let serving = self.primary_terms.serving_shards().len();
        StoreHealth {
            oldest_unsynced_ms: millis_u32(self.replication.oldest_unsynced(now)),
            disk_bytes: self.table.bytes(),
            live_messages: self.table.live(),
            is_shutting_down: self.is_shutting_down,
            primary_shards: u32::try_from(serving).unwrap_or(u32::MAX),
        }
    }

    /// How often a message was considered for further replicas since the start of the process: the work of repair.
    pub fn repair_assignments(&self) -> u64 {
        self.replication.assignments()
    }

    /// The full state of a message, for the compaction of log segments; `None` after `Released`.
    pub fn state_of(&self, id: MessageId) -> Option<MessageState> {
        self.table.get(id).map(|entry| entry.state(self.context.now))
    }

    /// The current promises, for the compaction of log segments.
    pub fn promised_terms(&self) -> Vec<DiskRecord> {
        self.promises.records()
    }

    /// Sends a message to a dispatcher, if its connection is still open.
    pub(super) fn send_to_dispatcher(&mut self, connection: ConnectionId, message: ToDispatcher) {
        if self.dispatchers.is_connected(connection) {
            self.context.outputs.push(Output::ToDispatcher { connection, message });
        }
    }
}
