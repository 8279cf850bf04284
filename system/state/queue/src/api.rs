//! Inputs and outputs of the state machine, and the records that it writes.

use millrudder_protocol::control::CaughtUpShard;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::{BetweenStores, FromDispatcher, Record, ServiceRate, ToDispatcher};
use millrudder_protocol::{Epoch, MessageId, ShardId, StoreId};
use speedy::{Readable, Writable};
use std::time::Duration;

/// One connection of a dispatcher to this process; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// One local append. Tickets rise in the order of the appends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A record of the local disk.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum DiskRecord {
    /// Something became known of a message. Ages in it are relative to the time of the append.
    Message {
        /// What became known.
        record: Record,
    },
    /// No `Write` of a lower term is accepted for the shard any more.
    Promised {
        /// The shard that is promised.
        shard: ShardId,
        /// The term that it is promised to.
        term: Epoch,
    },
}

/// A record found on the disk at start.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovered {
    /// The record.
    pub record: DiskRecord,
    /// Time since it was appended, by the clock of the shell.
    pub age: Duration,
}

/// Inputs of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The agreed placement; one that is not newer than the present one is ignored.
    Placement(Placement),
    /// All services with a common rate limit, from the configuration in force.
    Rates(Vec<ServiceRate>),
    /// A message of a dispatcher.
    Dispatcher {
        /// The connection that it came on.
        connection: ConnectionId,
        /// What it says.
        message: FromDispatcher,
    },
    /// A connection of a dispatcher is closed.
    DispatcherClosed {
        /// The connection.
        connection: ConnectionId,
    },
    /// A message of another store.
    Store {
        /// Its sender.
        from: StoreId,
        /// What it says.
        message: BetweenStores,
    },
    /// A connection with this store is open, whoever opened it. One that was open before counts as closed.
    StoreConnected {
        /// The other store.
        store: StoreId,
    },
    /// The connection with this store is closed.
    StoreClosed {
        /// The other store.
        store: StoreId,
    },
    /// Everything appended up to this ticket is on the disk.
    Synced {
        /// Of the last append that is on the disk.
        ticket: Ticket,
    },
    /// The disk failed: nothing is acknowledged or served from now on.
    DiskFailed,
    /// The process received SIGTERM: it serves on until the placement gives its shards to others.
    ShutdownRequested,
    /// Nothing but that time has passed.
    Tick,
}

/// Why a message was orphaned: it was due, and nothing would have moved it. Each is a fault of this or another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrphanCause {
    /// A dispatcher had capacity for it, and its service was not marked runnable.
    NotGranted,
    /// It was in no queue.
    NotScheduled,
    /// Its back-off was over.
    NotWoken,
    /// No known dispatcher had its lease.
    LeaseForgotten,
    /// Its call-back was in no queue.
    CallbackNotScheduled,
    /// A dispatcher did not report how its call-back ended.
    CallbackForgotten,
}

/// Outputs of the state machine: actions that the shell carries out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Append to the local disk, sync soon, then confirm by [`Input::Synced`].
    Append {
        /// Identifies the append.
        ticket: Ticket,
        /// What is appended.
        record: DiskRecord,
    },
    /// Send to a dispatcher.
    ToDispatcher {
        /// The connection to send on.
        connection: ConnectionId,
        /// What is sent.
        message: ToDispatcher,
    },
    /// Send to another store, if it is connected.
    ToStore {
        /// The receiver.
        store: StoreId,
        /// What is sent.
        message: BetweenStores,
    },
    /// Close a connection of a dispatcher.
    CloseDispatcher {
        /// The connection.
        connection: ConnectionId,
    },
    /// This store has all that the shard's replicas have: the core may count it as a replica.
    CaughtUp {
        /// The shard and the change of members that made this store its learner.
        shard: CaughtUpShard,
    },
    /// A message was orphaned and is scheduled again: to be counted and logged.
    Orphaned {
        /// The message.
        id: MessageId,
        /// What had been missed.
        cause: OrphanCause,
    },
    /// Nothing on the disk about this message is needed any more.
    Released {
        /// The message.
        id: MessageId,
    },
}
