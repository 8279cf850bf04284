//! Decides which stores hold the replicas of each shard, and which replica is its primary.
//!
//! A [`PlacementManager`] runs on every core machine, but only the holder of the controller lease proposes placements.
//! The manager tracks the heartbeats of the stores and returns a new placement when something should change:
//!
//! - A store that is unresponsive, has a stalled disk or is shutting down loses its primaries immediately. It gets them
//!   back once it has been healthy for some time.
//! - Repair: a replica on a lost or retiring store is replaced by a learner. The learner receives the shard's data
//!   before it counts towards quorums. At most one replica of a shard is replaced at a time.
//! - Balancing: new stores receive an even share of the replicas in the same way.
//!
//! The crate does no I/O. The caller passes readings of a single monotonic clock, submits each placement that
//! [`PlacementManager::handle`] returns, and passes every committed placement back as [`Input::Committed`]. A proposal
//! that is not committed is retried. The control state commits at most one placement per epoch.

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
