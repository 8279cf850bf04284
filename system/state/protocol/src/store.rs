//! Messages between dispatchers and stores, and among stores.

use crate::identifiers::{DispatcherId, Epoch, LeaseToken, MessageId, RequestNumber, ShardId, StoreId};
use crate::message::{End, Grant, Message, MessageState};
use speedy::{Readable, Writable};
/// A lease whose end has not been recorded yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ActiveLease {
    /// The leased message.
    pub id: MessageId,
    /// Fencing token of the lease.
    pub token: LeaseToken,
}

/// Flow control: how many leases of a service a dispatcher takes from one store at one time.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ServiceCredit {
    /// Name of the service.
    pub service: String,
    /// Maximum number of active leases.
    pub limit: u32,
}

/// Rate limit of a service, by the configuration in force. The primary of the shard that has all of the service's
/// messages applies it.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct ServiceRate {
    /// Name of the service.
    pub service: String,
    /// Deliveries per second, by all dispatchers together.
    pub per_second: f64,
}

/// How one attempt to deliver ended.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum AttemptOutcome {
    /// A worker answered with success.
    Succeeded {
        /// The worker's `X-Response-Signature`.
        signature: String,
    },
    /// A worker refused the message permanently (422).
    Refused,
    /// A worker answered that this attempt failed (500); it counts.
    Failed,
    /// The message's route is not in the configuration any more.
    RouteGone,
    /// The attempt certainly did not run.
    NotRun {
        /// Minimum backoff before the next attempt, in milliseconds.
        retry_after_ms: u32,
    },
    /// Nothing is known (no answer, a reset, a time-out). The attempt is not counted.
    Unknown {
        /// Minimum backoff before the next attempt, in milliseconds.
        retry_after_ms: u32,
    },
}

/// Messages from a dispatcher to a store.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum FromDispatcher {
    /// Introduces the dispatcher; the first message on each connection, and sent again when the placement's epoch
    /// changes.
    Hello {
        /// The dispatcher's incarnation.
        dispatcher: DispatcherId,
        /// `nodeName` of its machine.
        name: String,
        /// Zone of its machine.
        zone: String,
        /// Epoch of its placement.
        epoch: Epoch,
        /// Leases that it still holds on messages of shards whose primary this store is.
        active_leases: Vec<ActiveLease>,
        /// Messages that it has asked some store to accept, without an answer yet, or that it withdraws: nobody else
        /// may run them until it has sent more.
        in_doubt: Vec<MessageId>,
    },
    /// Asks the store to accept a message. Answered with [`ToDispatcher::Accepted`] or [`ToDispatcher::Rejected`].
    Accept {
        /// Ties the answer to this request.
        request: RequestNumber,
        /// Identifier of the message.
        id: MessageId,
        /// The message.
        message: Box<Message>,
        /// The dispatcher could deliver it at once and asks for the lease.
        wants_lease: bool,
    },
    /// The client got no 202: the message must not run. Answered with [`ToDispatcher::Withdrawn`] once that is durable.
    Withdraw {
        /// The message.
        id: MessageId,
    },
    /// An attempt ended, and its lease with it. Repeated until [`ToDispatcher::Recorded`] arrives.
    Attempted {
        /// The message.
        id: MessageId,
        /// Token of the lease.
        token: LeaseToken,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// A call-back ended. Repeated until [`ToDispatcher::Recorded`] arrives.
    CalledBack {
        /// The message.
        id: MessageId,
        /// Token of the call-back's lease.
        token: LeaseToken,
        /// The receiver has taken it; else the dispatcher gives the lease back.
        done: bool,
        /// Minimum backoff before the next attempt, in milliseconds.
        retry_after_ms: u32,
    },
    /// The dispatcher lacks the body of a message that was granted without it.
    NeedBody {
        /// The message.
        id: MessageId,
        /// Token of the lease.
        token: LeaseToken,
    },
    /// Flow control: limits that have changed; those of other services stay. All of them follow each `Hello`.
    Credits {
        /// The changed limits.
        credits: Vec<ServiceCredit>,
    },
    /// Asks for the state of a message. Answered with [`ToDispatcher::State`].
    Query {
        /// Ties the answer to this request.
        request: RequestNumber,
        /// The message.
        id: MessageId,
        /// Asks for the message's body.
        with_body: bool,
    },
    /// The dispatcher shuts down: nothing more is to be granted to it.
    ShuttingDown,
    /// Answered with [`ToDispatcher::Pong`].
    Ping,
    /// Answered with [`ToDispatcher::BarrierReached`], after everything that was sent on this connection before.
    Barrier {
        /// Ties the answer to this barrier.
        number: u64,
    },
}

/// Why a store rejects a message. It does not have the message then, and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum AcceptRejection {
    /// It is not the shard's primary, or not ready to serve as such yet.
    NotPrimary {
        /// Epoch of the store's placement.
        epoch: Epoch,
    },
    /// It is short of disk or memory.
    Full {
        /// When the client may try again, in milliseconds.
        retry_after_ms: u32,
    },
}

/// Answer of a store to [`FromDispatcher::Query`].
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum QueryAnswer {
    /// This replica has no such message.
    Unknown,
    /// By its placement this store is no replica of the message's shard: that it lacks the message proves nothing.
    NotReplica,
    /// The message has not ended.
    Queued,
    /// The message has ended.
    Ended {
        /// How it ended.
        end: End,
    },
    /// The body that was asked for, of a message that is queued or dead-lettered.
    Body {
        /// The body.
        body: Vec<u8>,
    },
}

/// Messages from a store to a dispatcher.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ToDispatcher {
    /// Answer to [`FromDispatcher::Hello`].
    Welcome {
        /// The store.
        store: StoreId,
        /// Epoch of its placement.
        epoch: Epoch,
    },
    /// The message is durable on a write quorum.
    Accepted {
        /// The request that is answered.
        request: RequestNumber,
        /// Token of the lease, if that was asked for and can be granted.
        token: Option<LeaseToken>,
    },
    /// The message was not accepted.
    Rejected {
        /// The request that is answered.
        request: RequestNumber,
        /// Why.
        reason: AcceptRejection,
    },
    /// The withdrawal is durable.
    Withdrawn {
        /// The message.
        id: MessageId,
    },
    /// Grants a lease: deliver the message once.
    Deliver {
        /// The message.
        id: MessageId,
        /// Token of the lease.
        token: LeaseToken,
        /// Time since the message was received, in milliseconds.
        age_ms: u64,
        /// Attempts that have failed before.
        failed_attempts: u32,
        /// The message; absent where the dispatcher has submitted it recently and may still have it.
        message: Option<Box<Message>>,
    },
    /// Grants the lease of a call-back: report the end to the receiver.
    CallBack {
        /// The message.
        id: MessageId,
        /// Token of the lease.
        token: LeaseToken,
        /// How the message ended.
        end: End,
        /// The message without its body; absent as in [`ToDispatcher::Deliver`].
        message: Option<Box<Message>>,
    },
    /// The lease is revoked: an attempt that has not started must not start.
    Revoke {
        /// The message.
        id: MessageId,
        /// Token of the lease.
        token: LeaseToken,
    },
    /// The end of this lease is durable, or was recorded or void already; the dispatcher may forget it.
    Recorded {
        /// The message.
        id: MessageId,
        /// Token of the lease.
        token: LeaseToken,
    },
    /// Answer to [`FromDispatcher::Query`].
    State {
        /// The request that is answered.
        request: RequestNumber,
        /// The answer.
        answer: QueryAnswer,
    },
    /// Answer to [`FromDispatcher::Ping`].
    Pong,
    /// Answer to [`FromDispatcher::Barrier`].
    BarrierReached {
        /// The barrier that is answered.
        number: u64,
    },
}

/// A change of a message's state, as replicas write and exchange it.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Record {
    /// The message itself, with its complete state.
    State {
        /// The state.
        state: Box<MessageState>,
    },
    /// A lease was granted.
    Granted {
        /// The message.
        id: MessageId,
        /// The lease.
        grant: Grant,
    },
    /// An attempt failed.
    Failed {
        /// The message.
        id: MessageId,
        /// Token of the attempt's lease.
        token: LeaseToken,
        /// Failed attempts so far, this one among them.
        failed_attempts: u32,
    },
    /// The message ended.
    Ended {
        /// The message.
        id: MessageId,
        /// How it ended.
        end: End,
    },
    /// The receiver has taken the call-back.
    CallbackDone {
        /// The message.
        id: MessageId,
    },
    /// Nothing needs the message any more: it has ended, was called back, and its state may not be queried any more.
    Forgotten {
        /// The message.
        id: MessageId,
    },
}

impl Record {
    /// The message whose state changes.
    pub fn id(&self) -> MessageId {
        match self {
            Record::State { state } => state.id,
            Record::Granted { id, .. }
            | Record::Failed { id, .. }
            | Record::Ended { id, .. }
            | Record::CallbackDone { id }
            | Record::Forgotten { id } => *id,
        }
    }
}

/// What a primary expects a replica to have of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ScrubEntry {
    /// The message's identifier within its shard.
    pub unique: u64,
    /// Hash of the message's state without times and without the message itself.
    pub digest: u64,
}

/// Messages among stores.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum BetweenStores {
    /// Introduces the store; the first message on each connection.
    Hello {
        /// The store.
        store: StoreId,
        /// Epoch of its placement.
        epoch: Epoch,
    },
    /// From a primary: write these records, and answer [`BetweenStores::Written`] once they are synced. Answered with
    /// [`BetweenStores::Fenced`] if a later term was promised for the shard.
    Write {
        /// Ties the answer to this write.
        number: RequestNumber,
        /// The shard.
        shard: ShardId,
        /// The primary's term.
        term: Epoch,
        /// The records, in order.
        records: Vec<Record>,
    },
    /// The records of a write are synced.
    Written {
        /// The write that is answered.
        number: RequestNumber,
    },
    /// A [`BetweenStores::Write`] or [`BetweenStores::Prepare`] was rejected: a later term was promised for the shard.
    Fenced {
        /// The write that is answered; 0 for an answer to `Prepare`.
        number: RequestNumber,
        /// The shard.
        shard: ShardId,
        /// The promised term.
        term: Epoch,
    },
    /// From a new primary (phase 1 of Paxos): promise the shard to this term, durably, then send its state in chunks.
    Prepare {
        /// The shard.
        shard: ShardId,
        /// The new primary's term.
        term: Epoch,
    },
    /// A chunk of the answer to [`BetweenStores::Prepare`].
    Promise {
        /// The shard.
        shard: ShardId,
        /// The promised term.
        term: Epoch,
        /// States of messages, with bodies where the message has not ended.
        states: Vec<MessageState>,
        /// This is the last chunk.
        last: bool,
    },
    /// From a primary: digests of some messages as this replica should have them. Answered with
    /// [`BetweenStores::Scrubbed`].
    Scrub {
        /// The shard.
        shard: ShardId,
        /// The primary's term.
        term: Epoch,
        /// The messages with their digests.
        entries: Vec<ScrubEntry>,
    },
    /// Messages of a [`BetweenStores::Scrub`] that this replica lacks or has in another state.
    Scrubbed {
        /// The shard.
        shard: ShardId,
        /// The primary's term.
        term: Epoch,
        /// The messages.
        differing: Vec<MessageId>,
    },
    /// From a primary to a learner: it has everything that the shard's replicas have.
    LearnerCaughtUp {
        /// The shard.
        shard: ShardId,
        /// The primary's term.
        term: Epoch,
        /// Epoch that identifies the membership change, which is in progress in the primary's placement.
        change: Epoch,
    },
    /// Answered with [`BetweenStores::Pong`].
    Ping,
    /// Answer to [`BetweenStores::Ping`].
    Pong,
}

/// Everything that may arrive on a connection that was opened to a store.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ToStore {
    /// From a dispatcher.
    Dispatcher {
        /// The message.
        message: FromDispatcher,
    },
    /// From the store that introduced itself on this connection.
    Store {
        /// The message.
        message: BetweenStores,
    },
    /// The store for which the connection is meant; the first message on each connection. A machine whose disk was
    /// lost is another store at the same address, which must not answer for the one before; it closes the connection.
    Addressed {
        /// The store.
        store: StoreId,
    },
}
