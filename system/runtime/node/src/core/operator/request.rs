//! Requests of operators and the responses of the state's owner.

use bytes::Bytes;
use millrudder_control_state::ControlState;

/// A request that the owner of the state answers.
#[derive(Debug)]
pub enum OperatorRequest {
    /// Replace the configuration.
    PutConfiguration {
        /// The version that must be current; zero for none.
        expected_version: u64,
        /// The new configuration, as the operator wrote it.
        body: Bytes,
    },
    /// Read the configuration.
    GetConfiguration,
    /// Start to empty a storage machine.
    StartRetirement {
        /// The machine's name.
        name: String,
    },
    /// Read the progress of a retirement.
    GetRetirement {
        /// The machine's name.
        name: String,
    },
}

/// The owner's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorResponse {
    /// The command was committed, now or before.
    Accepted,
    /// Another configuration is current than the expected one.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The configuration cannot be used.
    Invalid {
        /// Why not.
        reason: String,
    },
    /// The active configuration.
    Configuration {
        /// As the operator wrote it.
        json: Vec<u8>,
    },
    /// No configuration was ever accepted.
    NoConfiguration,
    /// No storage machine has this name, or none that is retiring.
    UnknownMachine,
    /// Fewer storage machines would remain than a shard has replicas.
    TooFewRemain,
    /// The progress of a retirement.
    Retirement {
        /// How far it is.
        progress: RetirementProgress,
    },
    /// This machine is cut off from the core, or stops; the request was not taken.
    Unavailable,
}

impl OperatorResponse {
    /// The response to [`OperatorRequest::GetConfiguration`].
    pub fn configuration_of(state: &ControlState) -> OperatorResponse {
        let configuration = state.configuration();
        if configuration.version == 0 {
            return OperatorResponse::NoConfiguration;
        }
        OperatorResponse::Configuration { json: configuration.json.clone() }
    }
}

/// How far the retirement of a storage machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetirementProgress {
    /// Replicas on its disk are still needed.
    Running,
    /// Nothing on its disk is a needed replica of anything.
    Completed,
}

impl RetirementProgress {
    /// The body of the response.
    pub fn to_json(self) -> Vec<u8> {
        let state = match self {
            RetirementProgress::Running => "running",
            RetirementProgress::Completed => "completed",
        };
        serde_json::json!({ "state": state }).to_string().into_bytes()
    }
}
