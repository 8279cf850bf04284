//! The system's replicated control state: the configuration in force, the placement of shards, and
//! the storage machines that are to be taken away.
//!
//! The same commands in the same order give the same state at every core machine. Validity of a configuration's
//! content is checked before it is submitted; here only versions are compared, which needs the order.

#![forbid(unsafe_code)]

mod accepted;
mod command;
mod retirement;
mod state;

pub use command::{Command, Reply, RetireOrder};
pub use state::ControlState;
