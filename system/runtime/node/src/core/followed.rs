//! What the parts of a core machine follow of the control state, so that each change is acted on once.

use millrudder_chain::NodeId;
use millrudder_control_state::ControlState;
use millrudder_protocol::placement::Placement;
use std::collections::BTreeSet;

/// The versions of the control state that the parts of this machine follow.
pub struct FollowedVersions {
    configuration_version: u64,
    placement_epoch: u64,
}

impl FollowedVersions {
    /// The versions that a state has.
    pub fn of(state: &ControlState) -> Self {
        FollowedVersions {
            configuration_version: state.configuration().version,
            placement_epoch: state.placement().epoch.0,
        }
    }

    /// Follows a state; returns its configuration's version where that is newer than the one followed before.
    pub fn newer_configuration(&mut self, state: &ControlState) -> Option<u64> {
        let version = state.configuration().version;
        let is_newer = version > self.configuration_version;
        self.configuration_version = self.configuration_version.max(version);
        is_newer.then_some(version)
    }

    /// Follows a state; returns its placement where that is newer than the one followed before.
    pub fn newer_placement(&mut self, state: &ControlState) -> Option<Placement> {
        let epoch = state.placement().epoch.0;
        let is_newer = epoch > self.placement_epoch;
        self.placement_epoch = self.placement_epoch.max(epoch);
        is_newer.then(|| state.placement().clone())
    }
}

/// The retirements that the parts of this machine follow.
#[derive(Default)]
pub struct FollowedRetirements {
    machines: BTreeSet<String>,
    /// Core processes on these machines.
    excluded: BTreeSet<NodeId>,
}

impl FollowedRetirements {
    /// Follows these retirements; false if nothing is retiring or nothing has changed.
    pub fn update(&mut self, machines: &BTreeSet<String>, excluded: &BTreeSet<NodeId>) -> bool {
        if machines.is_empty() || (*machines == self.machines && *excluded == self.excluded) {
            return false;
        }
        self.machines.clone_from(machines);
        self.excluded.clone_from(excluded);
        true
    }
}
