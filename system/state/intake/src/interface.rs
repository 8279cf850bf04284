//! Inputs and outputs of intake.

use millrudder_clock::Instant;
use millrudder_protocol::message::Message;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::{FromDispatcher, ToDispatcher};
use millrudder_protocol::{LeaseToken, MessageId, StoreId};
use std::time::Duration;

/// Number that the caller assigns to a client's request. Numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// The shard in which a message must be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetShard {
    /// Any shard; the nearest store is preferred.
    Any,
    /// The shard to which this name is mapped (an order key, or a service with a rate limit).
    ByName(String),
}

/// A message that a store should accept.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The message.
    pub message: Message,
    /// The shard in which it must be stored.
    pub target: TargetShard,
    /// When the client must have its answer at the latest.
    pub deadline: Instant,
}

/// Final result of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionResult {
    /// The message is durable, so the client may be answered with 202.
    Accepted {
        /// Identifier of the message.
        id: MessageId,
    },
    /// No store has or will have the message, so it never runs.
    Rejected {
        /// How long the client should wait before it tries again.
        retry_after: Duration,
    },
    /// A store may have the message. It is being withdrawn, but may already have run.
    InDoubt,
}

/// Final result of a query.
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
    /// The requested body of the message.
    Body {
        /// The body.
        body: Vec<u8>,
    },
    /// No replica knows the message.
    Unknown,
    /// The answers received so far do not determine the state.
    Unavailable,
}

/// Inputs of intake.
#[derive(Clone, Debug)]
pub enum Input {
    /// A placement has become current.
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
    /// A store has sent a message that may be a reply to a request of intake.
    FromStore {
        /// The store.
        store: StoreId,
        /// The message.
        message: ToDispatcher,
    },
    /// A store has sent anything else, which shows that it is responsive.
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
        /// Whether the client requests the body.
        with_body: bool,
    },
    /// Time has passed.
    Tick,
}

/// Outputs of intake.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a store, or drop it if there is no connection.
    ToStore {
        /// The store.
        store: StoreId,
        /// The message.
        message: FromDispatcher,
    },
    /// A submission has its final result.
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
    /// A query has its final result.
    QueryEnded {
        /// The client's request.
        call: CallNumber,
        /// The answer.
        result: QueryResult,
    },
}
