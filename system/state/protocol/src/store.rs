//! Between dispatchers and store machines, and among store machines.

use crate::identifiers::{DispatcherId, Epoch, LeaseToken, MessageId, RequestNumber, ShardId, StoreId};
use crate::message::{End, Grant, Message, MessageState};
use speedy::{Readable, Writable};

/// A delivery that a dispatcher holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ActiveLease {
    pub id: MessageId,
    pub token: LeaseToken,
}

/// How many deliveries of a service a dispatcher can take from one store at a time.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ServiceCredit {
    pub service: String,
    pub limit: u32,
}

/// A service's common ceiling, as the configuration in force has it; kept by the shard that all its messages are in.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct ServiceRate {
    pub service: String,
    /// Deliveries a second, over all dispatchers.
    pub per_second: f64,
}

/// How one attempt to deliver ended.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum AttemptOutcome {
    /// A worker answered with success.
    Succeeded { signature: String },
    /// A worker refused the message for good (422).
    Refused,
    /// A worker answered that this attempt failed (500); it counts.
    Failed,
    /// The message's route is in the configuration no more.
    RouteGone,
    /// It surely did not run; the message waits `retry_after_ms` at least.
    NotRun { retry_after_ms: u32 },
    /// Nothing is known: silence, a reset, a time-out. It does not count; it waits `retry_after_ms` at least.
    Unknown { retry_after_ms: u32 },
}

/// From a dispatcher to a store.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum FromDispatcher {
    /// First on each connection, and again when the placement's epoch changes: whom the store talks to, and which
    /// deliveries of shards that this store is primary of it still holds.
    Hello {
        dispatcher: DispatcherId,
        name: String,
        zone: String,
        epoch: Epoch,
        held: Vec<ActiveLease>,
        /// Messages that it asked some store to keep, without an answer yet, or wants withdrawn: nobody else may run
        /// them until it has said more.
        in_doubt: Vec<MessageId>,
    },
    /// Keep this message. The store answers `Accepted` or `NotAccepted`. `lease`: the dispatcher would deliver it now.
    Accept { request: RequestNumber, id: MessageId, message: Box<Message>, lease: bool },
    /// The client got no 202: the message must not run. Answered with `Withdrawn` once that is durable.
    Withdraw { id: MessageId },
    /// An attempt ended, and with it the lease. Repeated until `Recorded` comes.
    Attempted { id: MessageId, token: LeaseToken, outcome: AttemptOutcome },
    /// The call-back was taken by its receiver (`done`), or the dispatcher gives it back for now. Repeated until
    /// `Recorded` comes.
    CalledBack { id: MessageId, token: LeaseToken, done: bool, retry_after_ms: u32 },
    /// It lacks the body of a granted message.
    NeedBody { id: MessageId, token: LeaseToken },
    /// How much it can take, of the services for which that is news; limits of others stay. All of them follow each
    /// `Hello`.
    Credits { credits: Vec<ServiceCredit> },
    /// What is known of a message. Answered with `State`.
    Query { request: RequestNumber, id: MessageId, body: bool },
    /// The dispatcher stops: nothing more is to be granted to it.
    Leaving,
    /// Answered with `Pong`.
    Ping,
    /// Answered with `BarrierReached` after all that was sent on this connection before.
    Barrier { number: u64 },
}

/// Why a store does not keep a message. It does not have it then, and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum NotAccepted {
    /// It is not the shard's primary, or not ready to serve as such yet.
    NotPrimary { epoch: Epoch },
    /// Disk or memory are short.
    Full { retry_after_ms: u32 },
}

/// What a store answers to a question for a message.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum QueryAnswer {
    /// This replica has no such message.
    Unknown,
    /// By its placement this store is no replica of the message's shard: that it lacks the message says nothing.
    NotReplica,
    Queued,
    Ended {
        end: End,
    },
    /// Asked for with `body`: the bytes, of a message that is queued or dead.
    Body {
        body: Vec<u8>,
    },
}

/// From a store to a dispatcher.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ToDispatcher {
    Welcome {
        store: StoreId,
        epoch: Epoch,
    },
    /// Durable on as many disks as promised; with the lease, if it was asked for and can be given.
    Accepted {
        request: RequestNumber,
        token: Option<LeaseToken>,
    },
    NotAccepted {
        request: RequestNumber,
        reason: NotAccepted,
    },
    Withdrawn {
        id: MessageId,
    },
    /// Deliver this once. Without `message`, the dispatcher has accepted it lately and may have it still.
    Deliver {
        id: MessageId,
        token: LeaseToken,
        age_ms: u64,
        failed_attempts: u32,
        message: Option<Box<Message>>,
    },
    /// Tell the receiver of this end. `message` as in `Deliver`, without its body.
    CallBack {
        id: MessageId,
        token: LeaseToken,
        end: End,
        message: Option<Box<Message>>,
    },
    /// The lease is over: do not start it if it has not started.
    Revoke {
        id: MessageId,
        token: LeaseToken,
    },
    /// The end of this lease is durable, or was known or void already; the dispatcher may forget it.
    Recorded {
        id: MessageId,
        token: LeaseToken,
    },
    State {
        request: RequestNumber,
        answer: QueryAnswer,
    },
    Pong,
    BarrierReached {
        number: u64,
    },
}

/// A change of what is known of a message; what replicas write and exchange.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Record {
    /// The message itself, with all that is known.
    State {
        state: Box<MessageState>,
    },
    Granted {
        id: MessageId,
        grant: Grant,
    },
    /// The attempt under this token failed; with it, so many did.
    Failed {
        id: MessageId,
        token: LeaseToken,
        failed_attempts: u32,
    },
    Ended {
        id: MessageId,
        end: End,
    },
    CallbackDone {
        id: MessageId,
    },
    /// Nothing needs it any more: ended, called back, and past the time in which its state may be asked for.
    Forgotten {
        id: MessageId,
    },
}

impl Record {
    /// The message that it is about.
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

/// What a primary believes a replica to know of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ScrubEntry {
    /// The message's name within its shard.
    pub unique: u64,
    /// Hash of all that is known of it but for times and the message itself.
    pub digest: u64,
}

/// Among stores.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum BetweenStores {
    /// First on each connection.
    Hello {
        store: StoreId,
        epoch: Epoch,
    },
    /// From a primary: write these and answer `Written` once they are synced. Refused in an epoch below the one
    /// promised for the shard.
    Write {
        number: RequestNumber,
        shard: ShardId,
        term: Epoch,
        records: Vec<Record>,
    },
    Written {
        number: RequestNumber,
    },
    /// The shard has been promised to a later primary.
    Fenced {
        number: RequestNumber,
        shard: ShardId,
        term: Epoch,
    },
    /// From a new primary: promise the shard to it (durably), then tell all that is known of it, in pieces.
    Prepare {
        shard: ShardId,
        term: Epoch,
    },
    /// Part of the answer to `Prepare`: states with bodies where the message has not ended. `last` ends it.
    Promise {
        shard: ShardId,
        term: Epoch,
        states: Vec<MessageState>,
        last: bool,
    },
    /// From a primary: digests of some messages that it believes this replica to hold as it does itself. Answered with
    /// `Scrubbed`.
    Scrub {
        shard: ShardId,
        term: Epoch,
        entries: Vec<ScrubEntry>,
    },
    /// Of the messages asked about, those that this replica lacks or knows otherwise.
    Scrubbed {
        shard: ShardId,
        term: Epoch,
        differing: Vec<MessageId>,
    },
    /// From a primary to a learner: it has all that the shard's replicas have, by the primary's placement, in which
    /// the change of this epoch is under way.
    Filled {
        shard: ShardId,
        term: Epoch,
        change: Epoch,
    },
    /// Answered with `Pong`.
    Ping,
    Pong,
}

/// All that can arrive on a connection that somebody opened to a store.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ToStore {
    Dispatcher {
        message: FromDispatcher,
    },
    /// From the store that said `Hello` on this connection.
    Store {
        message: BetweenStores,
    },
    /// First on each connection: which store it is meant for. A machine whose disk was lost is another store at the same
    /// address, which must not answer for the one before; it closes the connection.
    Addressed {
        store: StoreId,
    },
}
