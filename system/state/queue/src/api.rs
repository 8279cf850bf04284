//! What goes into the state machine and what comes out of it.

use millrudder_protocol::control::FilledShard;
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

/// What is written to the local disk.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum DiskRecord {
    /// Something became known of a message. Ages in it are relative to the time of the append.
    Message { record: Record },
    /// No `Write` of a lower epoch is accepted for the shard any more.
    Promised { shard: ShardId, term: Epoch },
}

/// A record found on the disk at start.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovered {
    pub record: DiskRecord,
    /// Time since it was appended, by the clock of the shell.
    pub age: Duration,
}

/// An event.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The agreed placement; one that is not newer than the present one is ignored.
    Placement(Placement),
    /// All services with a common ceiling, from the configuration in force.
    Rates(Vec<ServiceRate>),
    Dispatcher {
        connection: ConnectionId,
        message: FromDispatcher,
    },
    DispatcherClosed {
        connection: ConnectionId,
    },
    Store {
        from: StoreId,
        message: BetweenStores,
    },
    /// A connection with this store is open, whoever opened it. One that was open before counts as closed.
    StoreConnected {
        store: StoreId,
    },
    StoreClosed {
        store: StoreId,
    },
    /// Everything appended up to this ticket is on the disk.
    Synced {
        ticket: Ticket,
    },
    /// The disk is not to be trusted any more: nothing is promised from now on.
    DiskFailed,
    /// The process gets SIGTERM: it serves on until the placement gives its shards to others.
    Leaving,
    /// The time passed in is what counts.
    Tick,
}

/// Why a message lay though nothing held it back. Each is a mistake of this or another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrphanCause {
    /// A dispatcher had room for it, and its service was not looked at.
    NotGranted,
    /// It was in no queue.
    NotScheduled,
    /// Its wait was over.
    NotWoken,
    /// Its lease was held by no dispatcher that is known.
    LeaseForgotten,
    /// Its call-back was in no queue.
    CallbackNotScheduled,
    /// A dispatcher did not say how its call-back ended.
    CallbackForgotten,
}

/// An action for the shell. Actions are to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Append to the local disk, sync soon, then send_to_dispatcher by `Synced`.
    Append {
        ticket: Ticket,
        record: DiskRecord,
    },
    ToDispatcher {
        connection: ConnectionId,
        message: ToDispatcher,
    },
    ToStore {
        store: StoreId,
        message: BetweenStores,
    },
    CloseDispatcher {
        connection: ConnectionId,
    },
    /// This store has all that the shard's replicas have: the core may count it as a replica.
    CaughtUp {
        filled: FilledShard,
    },
    /// The message lay though nothing held it back, and is on its way again: to be counted and logged.
    Orphaned {
        id: MessageId,
        cause: OrphanCause,
    },
    /// Nothing on the disk about this message is needed any more.
    Released {
        id: MessageId,
    },
}
