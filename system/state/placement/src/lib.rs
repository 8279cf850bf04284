//! Decides which stores hold the replicas of each shard, and which replica is its primary.
//!
//! A [`PlacementManager`] runs at every core machine; only the holder of the controller's lease proposes. It follows the
//! stores' heartbeats and returns the next placement when something should change:
//!
//! - A store that is unresponsive, whose disk stalls or that shuts down loses its primaries at once, and gets them back
//!   after it has been healthy for a while.
//! - A replica whose store is lost or retiring is replaced by a learner, which is filled before it counts, one replica of
//!   a shard at a time (repair).
//! - New stores get a fair part of the shards in the same way (balance).
//!
//! The crate does no I/O. Its embedder passes readings of one steady clock that never go back, submits each placement that
//! [`PlacementManager::handle`] returns, and passes every placement that is committed back in as [`Input::Committed`].
//! A proposal that is not committed is made again; at most one placement of each epoch is ever committed, by the control
//! state.

#![forbid(unsafe_code)]

mod balance;
mod changes;
mod cluster;
mod initial_placement;
mod layout;
mod learner_reports;
mod manager;
mod planner;
mod primaries;
mod repair;
mod store_health;

pub use layout::{FailureDomain, Layout};
pub use manager::{Input, PlacementManager};
pub use store_health::Registration;
