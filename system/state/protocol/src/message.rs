//! A stored message: what a client sent, and its state since.
//!
//! The state only grows, so that the states of several replicas can be merged in any order: a body once present stays,
//! counts take the larger value, an end once known stays.

mod encoding;

pub use encoding::is_reserved_header;

use crate::identifiers::{DispatcherId, LeaseToken, MessageId, Sequence};
use speedy::{Readable, Writable};

/// A header of a client's request that is forwarded to the worker.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Header {
    /// Name of the header.
    pub name: String,
    /// Its value, as it arrived.
    pub value: Vec<u8>,
}

/// What a client sent; never changed afterwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// `X-Request-Id` of the client's request.
    pub request_id: String,
    /// HTTP method of the client's request.
    pub method: String,
    /// Path with its query, as it arrived.
    pub path: String,
    /// `Host`, as it arrived.
    pub host: String,
    /// Further end-to-end headers to forward.
    pub headers: Vec<Header>,
    /// Body of the client's request.
    pub body: Vec<u8>,
    /// `X-Order-Key`, on routes that keep order.
    pub order_key: Option<String>,
    /// Where the end is to be reported, if the client asked for that.
    pub callback_url: Option<String>,
    /// Service that the route named when the message was accepted.
    pub service: String,
    /// Priority; the lowest number goes first.
    pub priority: u32,
    /// Time after it was first received before which it must not run, in milliseconds.
    pub delay_ms: u64,
    /// Time after it became due within which a start earns its full value, in milliseconds.
    pub target_start_ms: u64,
    /// Failed attempts (answers that say so) after which the message is dead-lettered.
    pub max_attempts: u32,
    /// Time after it was received after which it has ended in any case, in milliseconds.
    pub retention_ms: u64,
}

/// How a message ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub enum End {
    /// A worker answered with success.
    Completed {
        /// The worker's `X-Response-Signature`.
        signature: String,
    },
    /// A worker refused it permanently, or its attempts or its time are spent, or its route is gone.
    DeadLetter,
    /// It was never accepted: its client got no 202, and it must not run.
    Withdrawn,
}

/// A lease granted to a dispatcher: it may deliver the message now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Grant {
    /// The holder of the lease.
    pub dispatcher: DispatcherId,
    /// Fencing token of the lease.
    pub token: LeaseToken,
}

/// Everything that a replica knows of a message. Merging two states gives the same state in any order.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct MessageState {
    /// Identifier of the message.
    pub id: MessageId,
    /// Position in its shard.
    pub sequence: Sequence,
    /// Time since the message was received until this was sent, in milliseconds.
    pub age_ms: u64,
    /// What the client sent; absent in summaries.
    pub message: Option<Message>,
    /// Answers so far that say that an attempt failed.
    pub failed_attempts: u32,
    /// The latest grant.
    pub grant: Option<Grant>,
    /// Grants up to this token are resolved: their outcome is counted in `failed_attempts`, or they are void.
    pub resolved_through: LeaseToken,
    /// How it ended; absent while it is queued.
    pub end: Option<End>,
    /// Time since it ended until this was sent, in milliseconds.
    pub ended_age_ms: u64,
    /// The receiver has taken the call-back that the end requires.
    pub callback_done: bool,
}
