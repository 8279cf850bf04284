//! Messages between any process and a core machine: registration, the control state in force, heartbeats.

use crate::address::Address;
use crate::identifiers::{Epoch, ShardId, StoreId};
use crate::placement::Placement;
use speedy::{Readable, Writable};

/// A process that registers at a core machine.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Registrant {
    /// A dispatcher.
    Dispatcher {
        /// `nodeName` of its machine.
        name: String,
        /// Zone of its machine.
        zone: String,
    },
    /// A store.
    Store {
        /// Identity of its disk.
        id: StoreId,
        /// `nodeName` of its machine.
        name: String,
        /// Zone of its machine.
        zone: String,
        /// Where it listens for dispatchers and other stores.
        address: Address,
        /// `bootstrap` in its settings: its machine may take part in the start of a new deployment.
        bootstrap: bool,
    },
}

/// Health of a store, in its heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct StoreHealth {
    /// Age of the oldest write that is not synced yet, in milliseconds.
    pub oldest_unsynced_ms: u32,
    /// Disk space in use, in bytes.
    pub disk_bytes: u64,
    /// Messages that have not ended.
    pub live_messages: u64,
    /// The store shuts down: its shards should move to others while it still serves.
    pub is_shutting_down: bool,
    /// Shards of which it is the primary and ready to serve.
    pub primary_shards: u32,
}

/// A shard with which a learner has caught up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct CaughtUpShard {
    /// The shard.
    pub shard: ShardId,
    /// Epoch that identifies the membership change in which the learner caught up.
    pub change: Epoch,
}

/// Messages from any process to a core machine.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum ToCore {
    /// Registers the sender; the first message on each connection.
    Register {
        /// The sender.
        registrant: Registrant,
        /// Version of the configuration that it has; 0 if none.
        configuration_version: u64,
        /// Epoch of the placement that it has; 0 if none.
        placement_epoch: u64,
    },
    /// The sender is alive.
    Heartbeat {
        /// A store's health; absent if the sender is not a store.
        health: Option<StoreHealth>,
    },
    /// A store has everything that the replicas of these shards have, and may become a replica of them.
    LearnerCaughtUp {
        /// The shards.
        shards: Vec<CaughtUpShard>,
    },
    /// Asks for a confirmation that the sender's copy of the control state is current. Answered with
    /// [`FromCore::StalenessConfirmed`].
    StalenessCheck {
        /// When the check was sent, in milliseconds of the sender's own steady clock.
        sent_at_ms: u64,
    },
}

/// State of a worker on the discovered list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum WorkerState {
    /// It takes attempts.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// A worker on the discovered list.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct WorkerEntry {
    /// Identity of the instance, as the platform gives it.
    pub instance_id: String,
    /// Service whose messages it handles.
    pub service: String,
    /// Where it listens.
    pub address: Address,
    /// Zone of its machine.
    pub zone: String,
    /// Attempts that it handles at one time.
    pub capacity: u32,
    /// Whether it takes new attempts.
    pub state: WorkerState,
    /// Remaining time for which it is warming up after its start, in milliseconds.
    pub warm_up_left_ms: u32,
}

/// A complete list of workers as one reader saw it; a list with a higher version replaces every lower one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct WorkerList {
    /// Fencing number of the lease under which the list was read; the first part of the version.
    pub fencing: u64,
    /// The reader's count of changes; the second part of the version.
    pub number: u64,
    /// All workers.
    pub workers: Vec<WorkerEntry>,
}

impl WorkerList {
    /// Whether this list has a higher version than `other`.
    pub fn is_newer_than(&self, other: &WorkerList) -> bool {
        (self.fencing, self.number) > (other.fencing, other.number)
    }
}

/// The configuration in force, as the operator sent it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ConfigurationText {
    /// Its version; 0 before the first configuration.
    pub version: u64,
    /// The JSON document, byte for byte.
    pub json: Vec<u8>,
}

/// Messages from a core machine to a process that has registered.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum FromCore {
    /// The configuration in force.
    Configuration {
        /// The configuration.
        configuration: ConfigurationText,
    },
    /// The placement in force.
    Placement {
        /// The placement.
        placement: Placement,
    },
    /// The list of workers in force.
    Workers {
        /// The list.
        list: WorkerList,
    },
    /// Everything that was committed when the receiver sent its [`ToCore::StalenessCheck`] has been sent on this
    /// connection.
    StalenessConfirmed {
        /// Version of the configuration in force.
        configuration_version: u64,
        /// Epoch of the placement in force.
        placement_epoch: u64,
        /// The time in the check, in milliseconds of the receiver's own steady clock.
        sent_at_ms: u64,
    },
    /// Where the core machines listen for the system's processes.
    CoreAddresses {
        /// Their addresses.
        addresses: Vec<Address>,
    },
    /// Number of dispatchers that are registered with the core, at all core machines together.
    DispatcherCount {
        /// The number.
        count: u32,
    },
    /// This core machine shuts down: register at another one.
    Redirect,
    /// This core machine is not in contact with a quorum of the core, and sends nothing before it is; another one may
    /// be.
    NoQuorum,
}
