//! The replicated machine of the core, so that a test may wrap it with a fault.

use millrudder_chain::Machine;
use millrudder_control_state::{Command, ControlState, Reply};
use std::fmt::Debug;

/// A replicated machine that holds a [`ControlState`].
pub trait ControlMachine: Machine<Command = Command, Reply = Reply> + Clone + Debug {
    /// The state that it holds.
    fn state(&self) -> &ControlState;
}

impl ControlMachine for ControlState {
    fn state(&self) -> &ControlState {
        self
    }
}
