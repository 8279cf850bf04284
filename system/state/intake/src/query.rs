//! Asks stores what is known of a message: its shard's primary first, other replicas when that is slow or away.

use crate::stores::Stores;
use crate::{CallNumber, Output};
use millrudder_protocol::message::End;
use millrudder_protocol::store::{FromDispatcher, QueryAnswer};
use millrudder_protocol::{MessageId, RequestNumber, StoreId};
use std::collections::{BTreeMap, BTreeSet};

/// After this long (ms) without an answer the next replica is asked as well.
const NEXT_REPLICA_MS: u64 = 250;
/// Callers wait two seconds, of which the ways there and back take a part; by then (ms) they get what is known.
const ANSWER_WITHIN_MS: u64 = 1500;

/// What a caller is told of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryResult {
    Queued,
    Completed {
        signature: String,
    },
    DeadLetter,
    Body {
        body: Vec<u8>,
    },
    /// No replica knows it.
    Unknown,
    /// Too few replicas answered to tell.
    Unavailable,
}

struct Query {
    id: MessageId,
    body: bool,
    /// Replicas in the order in which they are asked, and how many were.
    holders: Vec<StoreId>,
    asked: usize,
    /// Asked and without an answer yet.
    awaited: BTreeMap<RequestNumber, StoreId>,
    /// Replicas that answered that they do not know it.
    unknown: usize,
    /// A replica that is not its primary has it queued; the primary may know better.
    queued: bool,
    deadline: u64,
    due: u64,
}

/// All queries without a final answer.
#[derive(Default)]
pub struct Queries {
    next_request: u64,
    queries: BTreeMap<CallNumber, Query>,
    by_request: BTreeMap<RequestNumber, CallNumber>,
    due: BTreeSet<(u64, CallNumber)>,
}

impl Queries {
    pub fn ask(
        &mut self,
        now: u64,
        call: CallNumber,
        id: MessageId,
        body: bool,
        stores: &Stores,
        out: &mut Vec<Output>,
    ) {
        let query = Query {
            id,
            body,
            holders: stores.holders(id.shard),
            asked: 0,
            awaited: BTreeMap::new(),
            unknown: 0,
            queued: false,
            deadline: now + ANSWER_WITHIN_MS,
            due: now,
        };
        self.due.insert((now, call));
        self.queries.insert(call, query);
        self.ask_next(now, call, stores, out);
    }

    pub fn next_deadline(&self) -> Option<u64> {
        self.due.first().map(|(due, _)| *due)
    }

    pub fn on_tick(&mut self, now: u64, stores: &Stores, out: &mut Vec<Output>) {
        while let Some((due, call)) = self.due.first().copied() {
            if due > now {
                break;
            }
            self.ask_next(now, call, stores, out);
        }
    }

    /// Another placement is in force: where it names other replicas, what the former ones did not know says nothing.
    pub fn on_placement(&mut self, now: u64, stores: &Stores, out: &mut Vec<Output>) {
        let is_moved = |query: &Query| query.holders != stores.holders(query.id.shard);
        let moved = self.queries.iter().filter(|(_, query)| is_moved(query));
        let calls: Vec<CallNumber> = moved.map(|(call, _)| *call).collect();
        for call in calls {
            if let Some(query) = self.queries.get_mut(&call) {
                for request in std::mem::take(&mut query.awaited).into_keys() {
                    self.by_request.remove(&request);
                }
                query.holders = stores.holders(query.id.shard);
                query.asked = 0;
                query.unknown = 0;
            }
            self.ask_next(now, call, stores, out);
        }
    }

    pub fn on_closed(&mut self, now: u64, store: StoreId, stores: &Stores, out: &mut Vec<Output>) {
        let waits = |query: &Query| query.awaited.values().any(|other| *other == store);
        let waiting = self.queries.iter().filter(|(_, query)| waits(query));
        let calls: Vec<CallNumber> = waiting.map(|(call, _)| *call).collect();
        for call in calls {
            if let Some(query) = self.queries.get_mut(&call) {
                query.awaited.retain(|_, other| *other != store);
            }
            self.ask_next(now, call, stores, out);
        }
    }

    pub fn on_state(
        &mut self,
        now: u64,
        store: StoreId,
        request: RequestNumber,
        answer: QueryAnswer,
        stores: &Stores,
        out: &mut Vec<Output>,
    ) {
        let Some(call) = self.by_request.remove(&request) else { return };
        let Some(query) = self.queries.get_mut(&call) else { return };
        query.awaited.remove(&request);
        let primary = query.holders.first() == Some(&store);
        match answer {
            QueryAnswer::Ended { end } => self.finish(call, ended(end), out),
            QueryAnswer::Body { body } => self.finish(call, QueryResult::Body { body }, out),
            QueryAnswer::Queued if primary => self.finish(call, QueryResult::Queued, out),
            QueryAnswer::Queued => {
                query.queued = true;
                self.ask_next(now, call, stores, out);
            }
            QueryAnswer::Unknown => {
                query.unknown += 1;
                self.ask_next(now, call, stores, out);
            }
            // It may never have been told of the message.
            QueryAnswer::NotReplica => self.ask_next(now, call, stores, out),
        }
    }

    /// Asks the next replica that can be reached; ends the query where nothing more can come.
    fn ask_next(&mut self, now: u64, call: CallNumber, stores: &Stores, out: &mut Vec<Output>) {
        let Some(query) = self.queries.get_mut(&call) else { return };
        if now >= query.deadline {
            let result = query.best();
            return self.finish(call, result, out);
        }
        while let Some(store) = query.holders.get(query.asked).copied() {
            query.asked += 1;
            if !stores.is_open(store) {
                continue;
            }
            self.next_request += 1;
            let request = RequestNumber(self.next_request);
            query.awaited.insert(request, store);
            self.by_request.insert(request, call);
            let message = FromDispatcher::Query { request, id: query.id, with_body: query.body };
            out.push(Output::ToStore { store, message });
            break;
        }
        if query.awaited.is_empty() {
            let result = query.best();
            return self.finish(call, result, out);
        }
        let due = (now + NEXT_REPLICA_MS).min(query.deadline);
        self.due.remove(&(query.due, call));
        query.due = due;
        self.due.insert((due, call));
    }

    fn finish(&mut self, call: CallNumber, result: QueryResult, out: &mut Vec<Output>) {
        let Some(query) = self.queries.remove(&call) else { return };
        self.due.remove(&(query.due, call));
        for request in query.awaited.keys() {
            self.by_request.remove(request);
        }
        out.push(Output::Known { call, result });
    }
}

impl Query {
    /// What can be said when no more answers come.
    fn best(&self) -> QueryResult {
        if self.queued && !self.body {
            QueryResult::Queued
        } else if !self.holders.is_empty() && self.unknown == self.holders.len() {
            QueryResult::Unknown
        } else {
            QueryResult::Unavailable
        }
    }
}

fn ended(end: End) -> QueryResult {
    match end {
        End::Completed { signature } => QueryResult::Completed { signature },
        End::DeadLetter => QueryResult::DeadLetter,
        End::Withdrawn => QueryResult::Unknown,
    }
}
