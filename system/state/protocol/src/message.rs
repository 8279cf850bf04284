//! A stored message: what a client sent, and what is known of it since.
//!
//! What is known only ever grows, so that the states which several replicas hold can be joined in any order: a body
//! once present stays, counts take the larger value, an end once known stays.

use crate::identifiers::{DispatcherId, LeaseToken, MessageId, Sequence};
use speedy::{Readable, Writable};

/// A header of a client's request that is passed on to the worker.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Header {
    pub name: String,
    pub value: Vec<u8>,
}

/// What a client sent; never changed afterwards.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Message {
    /// `X-Request-Id` of the client's request.
    pub request_id: String,
    pub method: String,
    /// Path with its query, as it arrived.
    pub path: String,
    /// `Host`, as it arrived.
    pub host: String,
    /// Further end-to-end headers to pass on.
    pub headers: Vec<Header>,
    pub body: Vec<u8>,
    /// `X-Order-Key`, on routes that keep order.
    pub order_key: Option<String>,
    pub callback_url: Option<String>,
    /// Service that the route named when the message was accepted.
    pub service: String,
    /// Lowest first.
    pub priority: u32,
    /// Milliseconds after it was first received before which it must not run.
    pub delay_ms: u32,
    /// Milliseconds after it was due within which a start earns its full worth.
    pub target_start_ms: u32,
    /// Failed attempts (answers that say so) after which the message is dead.
    pub max_attempts: u32,
    /// Milliseconds after it was received after which it has ended, whatever became of it.
    pub retention_ms: u32,
}

/// How a message ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub enum End {
    /// A worker answered with success; its `X-Response-Signature`.
    Completed { signature: String },
    /// A worker refused it for good, or its attempts or its time are spent, or its route is gone.
    DeadLetter,
    /// It was never accepted: its client got no 202, and it must not run.
    Withdrawn,
}

/// Who may deliver a message now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Grant {
    pub dispatcher: DispatcherId,
    pub token: LeaseToken,
}

/// All that a replica knows of a message. Joining two states in any order gives the same state.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct MessageState {
    pub id: MessageId,
    pub sequence: Sequence,
    /// Milliseconds since the message was received, when this was sent.
    pub age_ms: u64,
    /// Absent in summaries.
    pub message: Option<Message>,
    /// Answers so far that say that an attempt failed.
    pub failed_attempts: u32,
    /// The latest grant.
    pub grant: Option<Grant>,
    /// Highest token of a grant whose outcome is in `failed_attempts` or is no grant any more.
    pub settled: LeaseToken,
    pub end: Option<End>,
    /// Milliseconds since it ended, when this was sent.
    pub ended_age_ms: u64,
    /// The call-back that its end owes was taken.
    pub callback_done: bool,
}
