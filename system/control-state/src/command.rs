//! Changes of the control state and what they answer.

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
}
