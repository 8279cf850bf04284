//! The state itself and how commands change it.

use crate::accepted::Accepted;
use crate::command::{Command, Reply};
use crate::retirement::Retirements;
use millrudder_chain::{Machine, NodeId, RestoreError, Sequence};
use millrudder_protocol::control::ConfigurationText;
use millrudder_protocol::placement::Placement;
use speedy::{Readable, Writable};
use std::collections::BTreeSet;

/// All that the core keeps for the system.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ControlState {
    configuration: ConfigurationText,
    accepted: Accepted,
    placement: Placement,
    retirements: Retirements,
}

impl ControlState {
    /// The configuration in force; version 0 before the first.
    pub fn configuration(&self) -> &ConfigurationText {
        &self.configuration
    }

    /// The placement in force; epoch 0 before the first.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// These very bytes were accepted before, and that is remembered.
    pub fn has_accepted(&self, json: &[u8]) -> bool {
        self.accepted.contains(json)
    }

    /// Names of the storage machines that are to be emptied, or were.
    pub fn retiring(&self) -> BTreeSet<String> {
        self.retirements.names()
    }

    /// The core processes on a storage machine that is to be emptied; `None` for any other.
    pub fn retiring_core_of(&self, name: &str) -> Option<&BTreeSet<NodeId>> {
        self.retirements.core_of(name)
    }

    fn put(&mut self, expected_version: u64, configuration: &ConfigurationText) -> Reply {
        let current = self.configuration.version;
        if self.accepted.contains(&configuration.json) {
            return Reply::ConfigurationKnown;
        }
        let builds_on_lower = configuration.version > expected_version;
        if builds_on_lower && self.accepted.is_forgotten(configuration.version) {
            return Reply::ConfigurationForgotten;
        }
        if expected_version != current {
            return Reply::ConfigurationConflict { current };
        }
        if !builds_on_lower {
            return Reply::VersionNotHigher { current };
        }
        self.accepted.add(configuration.version, &configuration.json);
        self.configuration = configuration.clone();
        Reply::ConfigurationAccepted
    }

    fn place(&mut self, placement: &Placement) -> Reply {
        let current = self.placement.epoch;
        if placement.epoch.0 != current.0 + 1 {
            return Reply::PlacementConflict { current };
        }
        self.placement = placement.clone();
        Reply::PlacementSet
    }
}

impl Machine for ControlState {
    type Command = Command;
    type Reply = Reply;

    fn apply(&mut self, _sequence: Sequence, command: &Command) -> Reply {
        match command {
            Command::PutConfiguration { expected_version, configuration } => {
                self.put(*expected_version, configuration)
            }
            Command::SetPlacement { placement } => self.place(placement),
            Command::Retire { order } => self.retirements.begin(&self.placement, order),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.write_to_vec().unwrap_or_default()
    }

    fn restore(snapshot: &[u8]) -> Result<Self, RestoreError> {
        ControlState::read_from_buffer(snapshot).map_err(|_| RestoreError::Unreadable)
    }
}
