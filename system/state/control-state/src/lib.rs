//! The system's replicated control state: the configuration in force, the placement of shards, and the machines that are
//! retiring.
//!
//! [`ControlState`] is the state machine that the core replicates: the same commands in the same order give the same state
//! and the same replies at every core machine. Whether a configuration's content is valid is checked before it is
//! submitted; here only versions are compared, which depends on the order.
//!
//! The encodings of [`Command`], [`Reply`] and the snapshot are stored and sent by core machines of different versions;
//! `tests/golden.rs` compares them byte for byte.

#![forbid(unsafe_code)]

mod accepted_configurations;
mod command;
mod retirements;
mod state;

pub use command::{Command, Reply, RetireRequest};
pub use state::ControlState;
