//! Confirmation of a core machine's state by linearizable reads.

use millrudder_chain::RequestId;
use millrudder_control_state::ControlState;
use millrudder_protocol::control::WorkerList;
use millrudder_staleness::{ReadNumber, StateVersions, WorkerListVersion};

/// The linearizable read under way by which the read barrier confirms this machine's state.
#[derive(Clone, Copy)]
pub struct ConfirmingRead {
    /// Under which it was submitted to the replicated state machine.
    pub request_id: RequestId,
    /// Under which the barrier has asked for it.
    pub number: ReadNumber,
}

/// The versions of a machine's state.
pub fn state_versions(state: &ControlState, list: &WorkerList) -> StateVersions {
    StateVersions {
        configuration_version: state.configuration().version,
        placement_epoch: state.placement().epoch.0,
        workers: WorkerListVersion::from(list),
    }
}
