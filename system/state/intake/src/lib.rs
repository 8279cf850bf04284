//! A dispatcher's intake, without I/O: has messages kept by stores and asks stores about messages.
//!
//! Time is the caller's steady clock in milliseconds. Nothing is refused that may lie on a disk: such a request ends
//! in doubt, and the stores that may hold the message are told to withdraw it.

mod accept;
mod query;
mod stores;
mod withdrawals;

pub use accept::{AcceptAnswer, Place, Submission};
pub use query::QueryResult;

use accept::Accepts;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::{FromDispatcher, ToDispatcher};
use millrudder_protocol::{LeaseToken, MessageId, ShardId, StoreId};
use millrudder_topology::Location;
use query::Queries;
use stores::Stores;

/// A silent store is asked for a sign of life this often (ms).
const ASK_SILENT_MS: u64 = 100;

/// Number that the caller gave a client's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    Placement(Placement),
    StoreConnected {
        store: StoreId,
    },
    StoreClosed {
        store: StoreId,
    },
    FromStore {
        store: StoreId,
        message: ToDispatcher,
    },
    /// Anything else came from a store: it lives.
    Heard {
        store: StoreId,
    },
    Submit {
        call: CallNumber,
        submission: Box<Submission>,
    },
    Query {
        call: CallNumber,
        id: MessageId,
        body: bool,
    },
    Tick,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    ToStore {
        store: StoreId,
        message: FromDispatcher,
    },
    /// Final answer to a submission.
    Answered {
        call: CallNumber,
        answer: AcceptAnswer,
    },
    /// The store lets this dispatcher deliver a message that was just accepted.
    Deliver {
        store: StoreId,
        id: MessageId,
        token: LeaseToken,
        call: CallNumber,
    },
    /// Final answer to a query.
    Known {
        call: CallNumber,
        result: QueryResult,
    },
}

/// The intake of one dispatcher.
pub struct Intake {
    stores: Stores,
    accepts: Accepts,
    queries: Queries,
    /// When silent stores are asked next.
    ask_at: u64,
}

impl Intake {
    /// `location` is this dispatcher's; `seed` decides names and spreads load.
    pub fn new(location: impl Into<Location>, seed: u64) -> Self {
        Intake {
            stores: Stores::new(location.into()),
            accepts: Accepts::new(seed),
            queries: Queries::default(),
            ask_at: 0,
        }
    }

    pub fn handle(&mut self, now: u64, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Placement(placement) => {
                self.stores.set_placement(placement);
                self.accepts.on_stores_changed(now, &self.stores, out);
                self.queries.on_placement(now, &self.stores, out);
            }
            Input::StoreConnected { store } => {
                self.stores.connected(now, store);
                self.accepts.on_stores_changed(now, &self.stores, out);
            }
            Input::StoreClosed { store } => {
                self.stores.closed(now, store);
                self.accepts.on_closed(now, store, &self.stores, out);
                self.queries.on_closed(now, store, &self.stores, out);
            }
            Input::FromStore { store, message } => {
                self.on_store(now, store, message, out);
                self.heard(now, store, out);
            }
            Input::Heard { store } => self.heard(now, store, out),
            Input::Submit { call, submission } => {
                self.accepts.submit(now, call, *submission, &self.stores, out);
            }
            Input::Query { call, id, body } => self.queries.ask(now, call, id, body, &self.stores, out),
            Input::Tick => {
                for overdue in self.accepts.overdue(now) {
                    self.stores.overdue(now, overdue.store, overdue.sent);
                }
                self.ask_silent(now, out);
                self.accepts.on_tick(now, &self.stores, out);
                self.queries.on_tick(now, &self.stores, out);
            }
        }
    }

    /// Messages of these shards whose fate is open: a store that becomes their primary must not let others run them.
    pub fn in_doubt(&self, of: impl Fn(ShardId) -> bool) -> Vec<MessageId> {
        self.accepts.in_doubt(of)
    }

    /// When the next `Tick` is due.
    pub fn next_deadline(&self) -> Option<u64> {
        let ask = self.stores.silent().next().map(|_| self.ask_at);
        let deadlines = [self.accepts.next_deadline(), self.queries.next_deadline(), ask];
        deadlines.into_iter().flatten().min()
    }

    fn heard(&mut self, now: u64, store: StoreId, out: &mut Vec<Output>) {
        if self.stores.heard(now, store) {
            self.accepts.advance_all(now, &self.stores, out);
        }
    }

    /// Asks silent stores for a sign of life.
    fn ask_silent(&mut self, now: u64, out: &mut Vec<Output>) {
        if now < self.ask_at {
            return;
        }
        self.ask_at = now + ASK_SILENT_MS;
        let pings =
            self.stores.silent().map(|store| Output::ToStore { store, message: FromDispatcher::Ping });
        out.extend(pings);
    }

    fn on_store(&mut self, now: u64, store: StoreId, message: ToDispatcher, out: &mut Vec<Output>) {
        match message {
            ToDispatcher::Accepted { request, token } => {
                self.accepts.on_accepted(now, store, request, token, &self.stores, out);
            }
            ToDispatcher::Rejected { request, reason } => {
                self.accepts.on_not_accepted(now, request, reason, &self.stores, out);
            }
            ToDispatcher::Withdrawn { id } => self.accepts.on_withdrawn(id),
            ToDispatcher::State { request, answer } => {
                self.queries.on_state(now, store, request, answer, &self.stores, out);
            }
            _ => {}
        }
    }
}
