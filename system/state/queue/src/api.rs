//! The inputs and outputs of the state machine, and the records that it writes to disk.

use millrudder_protocol::control::CaughtUpShard;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::{BetweenStores, FromDispatcher, Record, ServiceRate, ToDispatcher};
use millrudder_protocol::{Epoch, MessageId, ShardId, StoreId};
use speedy::{Readable, Writable};
use std::time::Duration;

/// Identifies a connection of a dispatcher to this process. Identifiers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Identifies an append to the local disk. Tickets increase in the order of the appends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A record on the local disk.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum DiskRecord {
    /// A change to a message. Ages in it are relative to the time of the append.
    Message {
        /// The change.
        record: Record,
    },
    /// The store has promised a shard to a term: it accepts no `Write` of a lower term any more.
    Promised {
        /// The promised shard.
        shard: ShardId,
        /// The term to which the shard is promised.
        term: Epoch,
    },
}

/// A record that was found on the disk at start.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovered {
    /// The record.
    pub record: DiskRecord,
    /// Time since the record was appended, by the shell's clock.
    pub age: Duration,
}

/// Inputs of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The placement agreed on by the core. It is ignored unless it is newer than the current one.
    Placement(Placement),
    /// All services that have a rate limit, from the current configuration.
    Rates(Vec<ServiceRate>),
    /// A message from a dispatcher.
    Dispatcher {
        /// The connection on which it was received.
        connection: ConnectionId,
        /// The message.
        message: FromDispatcher,
    },
    /// A connection of a dispatcher was closed.
    DispatcherClosed {
        /// The connection.
        connection: ConnectionId,
    },
    /// A message from another store.
    Store {
        /// The store that sent it.
        from: StoreId,
        /// The message.
        message: BetweenStores,
    },
    /// A connection with another store was opened, by either side. An older connection with it counts as
    /// closed.
    StoreConnected {
        /// The other store.
        store: StoreId,
    },
    /// The connection with another store was closed.
    StoreClosed {
        /// The other store.
        store: StoreId,
    },
    /// Everything up to this ticket is synced to the disk.
    Synced {
        /// The ticket of the last append that is synced.
        ticket: Ticket,
    },
    /// The disk failed. From now on this store acknowledges nothing and serves no shard.
    DiskFailed,
    /// The process received SIGTERM. It keeps serving until the placement has moved its shards to other stores.
    ShutdownRequested,
    /// Time has passed; due timers fire.
    Tick,
}

/// Why a message was orphaned: it was due, but no timer, queue or dispatcher would have moved it on. Each
/// orphan is the symptom of a bug in this or another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrphanCause {
    /// A dispatcher had free credit for it, but its service was not marked runnable.
    NotGranted,
    /// It was in no queue.
    NotScheduled,
    /// Its back-off was over, but its timer had not fired.
    NotWoken,
    /// It was in flight, but no known dispatcher held its lease.
    LeaseForgotten,
    /// Its call-back was in no queue.
    CallbackNotScheduled,
    /// A dispatcher did not report the result of its call-back in time.
    CallbackForgotten,
}

/// Outputs of the state machine: actions that the shell must carry out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Append a record to the local disk, sync it soon, then confirm with [`Input::Synced`].
    Append {
        /// The ticket of the append.
        ticket: Ticket,
        /// The record to append.
        record: DiskRecord,
    },
    /// Send a message to a dispatcher.
    ToDispatcher {
        /// The connection to send on.
        connection: ConnectionId,
        /// The message to send.
        message: ToDispatcher,
    },
    /// Send a message to another store, if it is connected.
    ToStore {
        /// The store to send to.
        store: StoreId,
        /// The message to send.
        message: BetweenStores,
    },
    /// Close a connection of a dispatcher.
    CloseDispatcher {
        /// The connection.
        connection: ConnectionId,
    },
    /// This store has caught up with a shard as a learner. The core may count it as a replica.
    CaughtUp {
        /// The shard, and the member change that made this store its learner.
        shard: CaughtUpShard,
    },
    /// A message was orphaned and has been scheduled again. The shell counts and logs it.
    Orphaned {
        /// The message.
        id: MessageId,
        /// Why it was orphaned.
        cause: OrphanCause,
    },
    /// The message was removed: none of its records on the disk are needed any more.
    Released {
        /// The message.
        id: MessageId,
    },
}
