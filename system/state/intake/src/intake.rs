//! Routes inputs to the submissions, the queries and the store directory.

use crate::interface::{Input, Output};
use crate::queries::Queries;
use crate::store_directory::StoreDirectory;
use crate::submissions::Submissions;
use millrudder_clock::Instant;
use millrudder_protocol::store::{FromDispatcher, ToDispatcher};
use millrudder_protocol::{MessageId, ShardId, StoreId};
use millrudder_topology::Location;
use std::time::Duration;

/// Interval between pings to unresponsive stores.
const PING_INTERVAL: Duration = Duration::from_millis(100);

/// The intake of one dispatcher; see the crate documentation.
pub struct Intake {
    stores: StoreDirectory,
    submissions: Submissions,
    queries: Queries,
    /// When unresponsive stores may be pinged next.
    ping_at: Instant,
}

impl Intake {
    /// Creates the intake of a dispatcher at `location`. `seed` determines the message identifiers.
    pub fn new(location: impl Into<Location>, seed: u64) -> Self {
        Intake {
            stores: StoreDirectory::new(location.into()),
            submissions: Submissions::new(seed),
            queries: Queries::default(),
            ping_at: Instant::ORIGIN,
        }
    }

    /// Handles one input at the time `now`.
    pub fn handle(&mut self, now: Instant, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Placement(placement) => {
                self.stores.set_placement(placement);
                self.submissions.handle_stores_changed(now, &self.stores, outputs);
                self.queries.handle_placement(now, &self.stores, outputs);
            }
            Input::StoreConnected { store } => {
                self.stores.handle_connected(now, store);
                self.submissions.handle_stores_changed(now, &self.stores, outputs);
            }
            Input::StoreClosed { store } => {
                self.stores.handle_closed(now, store);
                self.submissions.handle_closed(now, store, &self.stores, outputs);
                self.queries.handle_closed(now, store, &self.stores, outputs);
            }
            Input::FromStore { store, message } => {
                self.handle_message(now, store, message, outputs);
                self.handle_activity(now, store, outputs);
            }
            Input::StoreActive { store } => self.handle_activity(now, store, outputs),
            Input::Submit { call, submission } => {
                self.submissions.submit(now, call, *submission, &self.stores, outputs);
            }
            Input::Query { call, id, with_body } => {
                self.queries.begin(now, call, id, with_body, &self.stores, outputs);
            }
            Input::Tick => self.tick(now, outputs),
        }
    }

    /// Messages in the selected shards that are in doubt. A store that becomes the primary of such a shard must not let
    /// other dispatchers run them.
    pub fn in_doubt(&self, is_of_shard: impl Fn(ShardId) -> bool) -> Vec<MessageId> {
        self.submissions.in_doubt(is_of_shard)
    }

    /// Whether a store has yet to confirm that a message which got no 202 will not run. Nobody else knows of these
    /// withdrawals, so the process must not stop before.
    pub fn has_pending_withdrawals(&self) -> bool {
        self.submissions.has_pending_withdrawals()
    }

    /// When the next [`Input::Tick`] is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        let ping = self.stores.unresponsive().next().map(|_| self.ping_at);
        let deadlines = [self.submissions.next_deadline(), self.queries.next_deadline(), ping];
        deadlines.into_iter().flatten().min()
    }

    fn tick(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        for attempt in self.submissions.timed_out_attempts(now) {
            self.stores.handle_timeout(now, attempt.store, attempt.sent_at);
        }
        self.ping_unresponsive(now, outputs);
        self.submissions.handle_tick(now, &self.stores, outputs);
        self.queries.handle_tick(now, &self.stores, outputs);
    }

    fn handle_activity(&mut self, now: Instant, store: StoreId, outputs: &mut Vec<Output>) {
        if self.stores.handle_activity(now, store) {
            self.submissions.advance_all(now, &self.stores, outputs);
        }
    }

    fn ping_unresponsive(&mut self, now: Instant, outputs: &mut Vec<Output>) {
        if now < self.ping_at {
            return;
        }
        self.ping_at = now + PING_INTERVAL;
        let ping = |store| Output::ToStore { store, message: FromDispatcher::Ping };
        outputs.extend(self.stores.unresponsive().map(ping));
    }

    fn handle_message(
        &mut self,
        now: Instant,
        store: StoreId,
        message: ToDispatcher,
        outputs: &mut Vec<Output>,
    ) {
        match message {
            ToDispatcher::Accepted { request, token } => {
                self.submissions.handle_accepted(now, store, request, token, &self.stores, outputs);
            }
            ToDispatcher::Rejected { request, reason } => {
                self.submissions.handle_rejected(now, request, reason, &self.stores, outputs);
            }
            ToDispatcher::Withdrawn { id } => self.submissions.handle_withdrawn(id),
            ToDispatcher::State { request, answer } => {
                self.queries.handle_state(now, store, request, answer, &self.stores, outputs);
            }
            // These are not replies to requests of intake. The caller reports them as `Input::StoreActive`.
            ToDispatcher::Welcome { .. }
            | ToDispatcher::Deliver { .. }
            | ToDispatcher::CallBack { .. }
            | ToDispatcher::Revoke { .. }
            | ToDispatcher::Recorded { .. }
            | ToDispatcher::Pong
            | ToDispatcher::BarrierReached { .. } => {}
        }
    }
}
