//! Commands that change the control state, and their replies.

use millrudder_chain::NodeId;
use millrudder_protocol::control::ConfigurationText;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::Epoch;
use speedy::{Readable, Writable};

/// A change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Command {
    /// Puts a configuration into force if `expected_version` is in force.
    PutConfiguration {
        /// Version on which the configuration builds; 0 for the first one.
        expected_version: u64,
        /// The configuration.
        configuration: ConfigurationText,
    },
    /// Puts a placement into force if its epoch is the next one.
    SetPlacement {
        /// The placement.
        placement: Placement,
    },
    /// Retires a storage machine: its shards move to others, and it never gets shards again.
    Retire {
        /// The machine, and what the core machine that submits this knows of the cluster.
        request: RetireRequest,
    },
}

/// A request to retire a storage machine, with what is known at the core machine that submits it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct RetireRequest {
    /// `nodeName` of the machine.
    pub name: String,
    /// Its store has registered, though it may not be in the placement.
    pub is_registered: bool,
    /// Identities of the core processes on the machine.
    pub core_members: Vec<NodeId>,
    /// Names of the storage machines whose stores are healthy.
    pub healthy_machines: Vec<String>,
}

/// Reply to a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Reply {
    /// The configuration is in force now.
    ConfigurationAccepted,
    /// The same bytes were accepted before, whether or not they are in force still.
    ConfigurationAlreadyAccepted,
    /// The configuration's version is so old that it is not known any more whether it was accepted: neither a rejection
    /// nor an acknowledgement would be certain to be right.
    ConfigurationEvicted,
    /// Another version is in force, and this configuration was never accepted.
    ConfigurationConflict {
        /// The version in force.
        current: u64,
    },
    /// The configuration builds on the version in force, but its own version is not higher.
    VersionNotHigher {
        /// The version in force.
        current: u64,
    },
    /// The placement is in force now.
    PlacementSet,
    /// The placement's epoch is not the next one.
    PlacementConflict {
        /// The epoch in force.
        current: Epoch,
    },
    /// The machine is retiring, or has retired.
    Retiring,
    /// No storage machine has this name.
    RetireUnknownMachine,
    /// Fewer healthy storage machines would remain than a shard has replicas.
    RetireTooFewRemain,
}
