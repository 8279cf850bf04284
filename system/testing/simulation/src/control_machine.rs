//! The replicated state machine of the core, as a trait so that a test can replace it by a faulty one.

use millrudder_chain::Machine;
use millrudder_control_state::{Command, ControlState, Reply};
use std::fmt::Debug;

/// A replicated state machine whose state is a [`ControlState`].
pub trait ControlMachine: Machine<Command = Command, Reply = Reply> + Clone + Debug {
    /// Its state.
    fn state(&self) -> &ControlState;
}

impl ControlMachine for ControlState {
    fn state(&self) -> &ControlState {
        self
    }
}
