//! Between any process and a core machine: registration, what is in force, workers.

use crate::address::Address;
use crate::identifiers::{Epoch, ShardId, StoreId};
use crate::placement::Placement;
use speedy::{Readable, Writable};

/// Who registers at a core machine.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Registrant {
    Dispatcher { name: String, zone: String },
    Store { id: StoreId, name: String, zone: String, address: Address, bootstrap: bool },
}

/// How well a store is, in its heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct StoreHealth {
    /// Age of the oldest write that is not synced yet, in milliseconds.
    pub oldest_unsynced_ms: u32,
    /// Disk in use, in bytes.
    pub disk_bytes: u64,
    /// Messages that have not ended.
    pub live_messages: u64,
    /// It gets SIGTERM: its shards should go to others while it still serves.
    pub leaving: bool,
    /// Shards of which it is primary and which it serves.
    pub serving: u32,
}

/// A shard that a learner has all of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct FilledShard {
    pub shard: ShardId,
    /// Epoch of the change in which it was filled.
    pub change: Epoch,
}

/// From any process to a core machine.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ToCore {
    /// First on each connection.
    Register {
        registrant: Registrant,
        configuration_version: u64,
        placement_epoch: u64,
    },
    Heartbeat {
        health: Option<StoreHealth>,
    },
    /// A store has all that shards' replicas had; it may count as a replica.
    CaughtUp {
        shards: Vec<FilledShard>,
    },
    /// Asks for a confirmation that what the sender has is current at this moment of its own steady clock.
    Ask {
        moment_ms: u64,
    },
}

/// State of a worker on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum WorkerState {
    Ready,
    Draining,
}

/// A worker on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct WorkerEntry {
    pub instance_id: String,
    pub service: String,
    pub address: Address,
    pub zone: String,
    pub capacity: u32,
    pub state: WorkerState,
    /// Milliseconds for which it stays slow after its start.
    pub cold_left_ms: u32,
}

/// The whole list as one reader saw it; a higher number replaces every lower one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct WorkerList {
    /// FencingToken number of the reader's lease, then its count of changes.
    pub fencing: u64,
    pub number: u64,
    pub workers: Vec<WorkerEntry>,
}

impl WorkerList {
    /// Later than `other`.
    pub fn is_newer_than(&self, other: &WorkerList) -> bool {
        (self.fencing, self.number) > (other.fencing, other.number)
    }
}

/// The configuration in force, as the operator sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ConfigurationText {
    /// 0 before the first.
    pub version: u64,
    pub json: Vec<u8>,
}

/// From a core machine to a process that registered.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum FromCore {
    Configuration {
        configuration: ConfigurationText,
    },
    Placement {
        placement: Placement,
    },
    Workers {
        list: WorkerList,
    },
    /// What was told on this connection holds all that was committed when the other end asked with this moment.
    Heartbeat {
        configuration_version: u64,
        placement_epoch: u64,
        moment_ms: u64,
    },
    /// Where the core machines listen for the system's processes.
    Core {
        addresses: Vec<Address>,
    },
    /// Dispatchers that are registered with the core, all core machines taken together.
    Dispatchers {
        count: u32,
    },
    /// This core machine stops: register elsewhere.
    Redirect,
    /// This core machine hears no majority of the core, and tells nothing before it does; another one may.
    NoQuorum,
}
