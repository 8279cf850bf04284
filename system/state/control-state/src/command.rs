//! Changes of the control state and what they answer.

use millrudder_chain::NodeId;
use millrudder_protocol::control::ConfigurationText;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::Epoch;
use speedy::{Readable, Writable};

/// A change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Command {
    /// Puts a configuration into force on top of `expected_version`.
    PutConfiguration { expected_version: u64, configuration: ConfigurationText },
    /// Puts a placement into force, if it is the next after the one in force.
    SetPlacement { placement: Placement },
    /// Empties a storage machine and takes it away.
    Retire { order: RetireOrder },
}

/// What is known of a storage machine that is to be emptied, at the core machine that was asked.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct RetireOrder {
    /// `nodeName` of the machine.
    pub name: String,
    /// It has registered, though it may hold nothing.
    pub is_known: bool,
    /// Identities of core processes on the machine.
    pub core: Vec<NodeId>,
    /// Names of the storage machines that are well.
    pub well: Vec<String>,
}

/// What a change answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Reply {
    /// In force now.
    ConfigurationAccepted,
    /// These very bytes were accepted before; whether or not they are in force still.
    ConfigurationKnown,
    /// Its version is so old that it is not known any more whether it was accepted: neither a refusal nor an
    /// acknowledgement would be sure to be right.
    ConfigurationForgotten,
    /// Another version is current, and this configuration was never accepted.
    ConfigurationConflict {
        current: u64,
    },
    /// It builds on the current version, but its own version is not higher.
    VersionNotHigher {
        current: u64,
    },
    PlacementSet,
    PlacementConflict {
        current: Epoch,
    },
    /// The machine is being emptied, or was.
    Retiring,
    /// No storage machine has this name.
    RetireUnknown,
    /// Fewer storage machines would remain than a shard has replicas.
    RetireTooFew,
}
