//! Inputs and outputs of intake.

use millrudder_clock::Instant;
use millrudder_protocol::message::Message;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::{FromDispatcher, ToDispatcher};
use millrudder_protocol::{LeaseToken, MessageId, StoreId};
use std::time::Duration;

/// Number that the embedder gives a client's request; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// The shard that a message must be in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetShard {
    /// Any shard: the nearest store accepts it.
    Any,
    /// The shard of this name (an order key, or a service with a rate limit).
    ByName(String),
}

/// A message that is to be accepted by a store.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The message.
    pub message: Message,
    /// The shard that it must be in.
    pub target: TargetShard,
    /// When the client must have its answer.
    pub deadline: Instant,
}

/// Final answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionResult {
    /// The message is durable: the client may be answered with 202.
    Accepted {
        /// Identifier of the message.
        id: MessageId,
    },
    /// No store has the message or will have it: it never runs.
    Rejected {
        /// When the client may try again.
        retry_after: Duration,
    },
    /// A store may have the message; it is being withdrawn, but may have run.
    InDoubt,
}

/// Final answer to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryResult {
    /// The message has not ended.
    Queued,
    /// The message was completed.
    Completed {
        /// The worker's `X-Response-Signature`.
        signature: String,
    },
    /// The message is dead-lettered.
    DeadLetter,
    /// The body that was asked for.
    Body {
        /// The body.
        body: Vec<u8>,
    },
    /// No replica knows the message.
    Unknown,
    /// Too few replicas have answered to tell.
    Unavailable,
}

/// Inputs of intake.
#[derive(Clone, Debug)]
pub enum Input {
    /// A placement is in force.
    Placement(Placement),
    /// A connection to a store has opened.
    StoreConnected {
        /// The store.
        store: StoreId,
    },
    /// The connection to a store has closed.
    StoreClosed {
        /// The store.
        store: StoreId,
    },
    /// A store has sent a message that may answer a request of intake.
    FromStore {
        /// The store.
        store: StoreId,
        /// The message.
        message: ToDispatcher,
    },
    /// A store has sent anything else: it is responsive.
    StoreActive {
        /// The store.
        store: StoreId,
    },
    /// A client submits a message. Answered with [`Output::SubmissionEnded`].
    Submit {
        /// The client's request.
        call: CallNumber,
        /// The message.
        submission: Box<Submission>,
    },
    /// A client queries a message. Answered with [`Output::QueryEnded`].
    Query {
        /// The client's request.
        call: CallNumber,
        /// The message.
        id: MessageId,
        /// It asks for the body.
        with_body: bool,
    },
    /// Time has passed.
    Tick,
}

/// Outputs of intake.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a store; dropped if there is no connection.
    ToStore {
        /// The store.
        store: StoreId,
        /// The message.
        message: FromDispatcher,
    },
    /// Final answer to a submission.
    SubmissionEnded {
        /// The client's request.
        call: CallNumber,
        /// The answer.
        result: SubmissionResult,
    },
    /// The store grants this dispatcher the lease of a message that was just accepted.
    Deliver {
        /// The store.
        store: StoreId,
        /// The message.
        id: MessageId,
        /// Token of the lease.
        token: LeaseToken,
        /// The client's request.
        call: CallNumber,
    },
    /// Final answer to a query.
    QueryEnded {
        /// The client's request.
        call: CallNumber,
        /// The answer.
        result: QueryResult,
    },
}
