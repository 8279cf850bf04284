//! The control state and how commands change it.

use crate::accepted_configurations::AcceptedConfigurations;
use crate::command::{Command, Reply};
use crate::retirements::Retirements;
use millrudder_chain::{Machine, NodeId, RestoreError, Sequence};
use millrudder_protocol::control::ConfigurationText;
use millrudder_protocol::placement::Placement;
use speedy::{Readable, Writable};
use std::collections::BTreeSet;

/// The state that the core replicates for the system.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ControlState {
    configuration: ConfigurationText,
    accepted: AcceptedConfigurations,
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

    /// Whether these bytes were accepted before and are retained as such.
    pub fn has_accepted(&self, json: &[u8]) -> bool {
        self.accepted.contains(json)
    }

    /// Names of the storage machines that are retiring, or have retired.
    pub fn retiring_machines(&self) -> BTreeSet<String> {
        self.retirements.names()
    }

    /// The core processes on a storage machine that is retiring; `None` for any other.
    pub fn retiring_core_members(&self, name: &str) -> Option<&BTreeSet<NodeId>> {
        self.retirements.core_members(name)
    }

    fn put_configuration(&mut self, expected_version: u64, configuration: &ConfigurationText) -> Reply {
        let current = self.configuration.version;
        if self.accepted.contains(&configuration.json) {
            return Reply::ConfigurationAlreadyAccepted;
        }
        let is_higher = configuration.version > expected_version;
        if is_higher && self.accepted.is_evicted(configuration.version) {
            return Reply::ConfigurationEvicted;
        }
        if expected_version != current {
            return Reply::ConfigurationConflict { current };
        }
        if !is_higher {
            return Reply::VersionNotHigher { current };
        }
        self.accepted.add(configuration.version, &configuration.json);
        self.configuration = configuration.clone();
        Reply::ConfigurationAccepted
    }

    fn set_placement(&mut self, placement: &Placement) -> Reply {
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
                self.put_configuration(*expected_version, configuration)
            }
            Command::SetPlacement { placement } => self.set_placement(placement),
            Command::Retire { request } => self.retirements.retire(&self.placement, request),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.write_to_vec().unwrap_or_default()
    }

    fn restore(snapshot: &[u8]) -> Result<Self, RestoreError> {
        ControlState::read_from_buffer(snapshot).map_err(|_| RestoreError::Unreadable)
    }
}
