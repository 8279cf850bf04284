//! Queries of a message's state. The primary of the shard is asked first, then other replicas if it is slow,
//! unreachable or cannot give a final answer.

use crate::deadlines::Deadlines;
use crate::interface::{CallNumber, Output, QueryResult};
use crate::store_directory::StoreDirectory;
use millrudder_clock::Instant;
use millrudder_protocol::message::End;
use millrudder_protocol::store::{FromDispatcher, QueryAnswer};
use millrudder_protocol::{MessageId, RequestNumber, StoreId};
use std::collections::BTreeMap;
use std::time::Duration;

/// If no answer arrives within this time, the next replica is asked as well (a hedged request).
const HEDGE_DELAY: Duration = Duration::from_millis(250);
/// After this time, a query ends with the best result so far. Clients wait for two seconds, which includes the network
/// latency.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1500);

/// A query without a final result.
struct PendingQuery {
    id: MessageId,
    with_body: bool,
    /// Replicas in the order in which they are asked.
    replicas: Vec<StoreId>,
    /// Index of the next replica to ask. Those before it were asked, or skipped as not connected.
    next_replica: usize,
    in_flight: BTreeMap<RequestNumber, StoreId>,
    /// Number of replicas that have answered that they do not know the message.
    unknown_answers: usize,
    /// Whether a replica other than the primary has the message queued. The primary may know a later state.
    is_queued_at_replica: bool,
    deadline: Instant,
}

impl PendingQuery {
    /// The result if no more answers arrive.
    fn best_result(&self) -> QueryResult {
        if self.is_queued_at_replica && !self.with_body {
            QueryResult::Queued
        } else if !self.replicas.is_empty() && self.unknown_answers == self.replicas.len() {
            QueryResult::Unknown
        } else {
            QueryResult::Unavailable
        }
    }

    /// Restarts with other replicas. Returns the requests whose answers are no longer needed.
    fn restart(&mut self, replicas: Vec<StoreId>) -> impl Iterator<Item = RequestNumber> {
        self.replicas = replicas;
        self.next_replica = 0;
        self.unknown_answers = 0;
        std::mem::take(&mut self.in_flight).into_keys()
    }

    /// Returns the next connected replica and advances past it.
    fn take_next_replica(&mut self, stores: &StoreDirectory) -> Option<StoreId> {
        while let Some(store) = self.replicas.get(self.next_replica).copied() {
            self.next_replica += 1;
            if stores.is_connected(store) {
                return Some(store);
            }
        }
        None
    }
}

/// All queries without a final result.
#[derive(Default)]
pub struct Queries {
    last_request: u64,
    pending: BTreeMap<CallNumber, PendingQuery>,
    by_request: BTreeMap<RequestNumber, CallNumber>,
    deadlines: Deadlines<CallNumber>,
}

impl Queries {
    /// Starts a query.
    pub fn begin(
        &mut self,
        now: Instant,
        call: CallNumber,
        id: MessageId,
        with_body: bool,
        stores: &StoreDirectory,
        outputs: &mut Vec<Output>,
    ) {
        let query = PendingQuery {
            id,
            with_body,
            replicas: stores.replicas(id.shard),
            next_replica: 0,
            in_flight: BTreeMap::new(),
            unknown_answers: 0,
            is_queued_at_replica: false,
            deadline: now + QUERY_TIMEOUT,
        };
        self.pending.insert(call, query);
        self.deadlines.set(call, now);
        self.ask_next_replica(now, call, stores, outputs);
    }

    /// When [`Queries::handle_tick`] is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.next()
    }

    /// Advances all queries whose deadline has passed.
    pub fn handle_tick(&mut self, now: Instant, stores: &StoreDirectory, outputs: &mut Vec<Output>) {
        while let Some(call) = self.deadlines.first_due(now) {
            self.ask_next_replica(now, call, stores, outputs);
        }
    }

    /// Handles a new placement. Queries whose replicas have changed restart, because it proves nothing if the former
    /// replicas do not know a message.
    pub fn handle_placement(&mut self, now: Instant, stores: &StoreDirectory, outputs: &mut Vec<Output>) {
        let has_other_replicas = |query: &PendingQuery| query.replicas != stores.replicas(query.id.shard);
        let affected = self.pending.iter().filter(|(_, query)| has_other_replicas(query));
        let calls: Vec<CallNumber> = affected.map(|(call, _)| *call).collect();
        for call in calls {
            if let Some(query) = self.pending.get_mut(&call) {
                for request in query.restart(stores.replicas(query.id.shard)) {
                    self.by_request.remove(&request);
                }
            }
            self.ask_next_replica(now, call, stores, outputs);
        }
    }

    /// Handles the closing of a connection, on which no more answers will arrive.
    pub fn handle_closed(
        &mut self,
        now: Instant,
        store: StoreId,
        stores: &StoreDirectory,
        outputs: &mut Vec<Output>,
    ) {
        let awaits_store = |query: &PendingQuery| query.in_flight.values().any(|other| *other == store);
        let waiting = self.pending.iter().filter(|(_, query)| awaits_store(query));
        let calls: Vec<CallNumber> = waiting.map(|(call, _)| *call).collect();
        for call in calls {
            if let Some(query) = self.pending.get_mut(&call) {
                query.in_flight.retain(|_, other| *other != store);
            }
            self.ask_next_replica(now, call, stores, outputs);
        }
    }

    /// Handles a store's answer.
    pub fn handle_state(
        &mut self,
        now: Instant,
        store: StoreId,
        request: RequestNumber,
        answer: QueryAnswer,
        stores: &StoreDirectory,
        outputs: &mut Vec<Output>,
    ) {
        let Some(call) = self.by_request.remove(&request) else { return };
        let Some(query) = self.pending.get_mut(&call) else { return };
        query.in_flight.remove(&request);
        let is_primary = query.replicas.first() == Some(&store);
        match answer {
            QueryAnswer::Ended { end } => return self.end(call, result_of(end), outputs),
            QueryAnswer::Body { body } => return self.end(call, QueryResult::Body { body }, outputs),
            QueryAnswer::Queued if is_primary => return self.end(call, QueryResult::Queued, outputs),
            QueryAnswer::Queued => query.is_queued_at_replica = true,
            QueryAnswer::Unknown => query.unknown_answers += 1,
            // The store may never have been sent the message, so this does not count as unknown.
            QueryAnswer::NotReplica => {}
        }
        self.ask_next_replica(now, call, stores, outputs);
    }

    /// Asks the next connected replica. Ends the query if its deadline has passed or no more answers can arrive.
    fn ask_next_replica(
        &mut self,
        now: Instant,
        call: CallNumber,
        stores: &StoreDirectory,
        outputs: &mut Vec<Output>,
    ) {
        let Some(query) = self.pending.get_mut(&call) else { return };
        if now >= query.deadline {
            let result = query.best_result();
            return self.end(call, result, outputs);
        }
        if let Some(store) = query.take_next_replica(stores) {
            self.last_request += 1;
            let request = RequestNumber(self.last_request);
            query.in_flight.insert(request, store);
            self.by_request.insert(request, call);
            let message = FromDispatcher::Query { request, id: query.id, with_body: query.with_body };
            outputs.push(Output::ToStore { store, message });
        }
        if query.in_flight.is_empty() {
            let result = query.best_result();
            return self.end(call, result, outputs);
        }
        self.deadlines.set(call, (now + HEDGE_DELAY).min(query.deadline));
    }

    fn end(&mut self, call: CallNumber, result: QueryResult, outputs: &mut Vec<Output>) {
        let Some(query) = self.pending.remove(&call) else { return };
        self.deadlines.remove(call);
        for request in query.in_flight.keys() {
            self.by_request.remove(request);
        }
        outputs.push(Output::QueryEnded { call, result });
    }
}

fn result_of(end: End) -> QueryResult {
    match end {
        End::Completed { signature } => QueryResult::Completed { signature },
        End::DeadLetter => QueryResult::DeadLetter,
        End::Withdrawn => QueryResult::Unknown,
    }
}
