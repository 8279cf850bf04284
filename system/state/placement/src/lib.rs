//! Decides which store machines hold which shard, and which of them is its primary.
//!
//! [`PlacementManager`] runs at every core machine; only the holder of the lease proposes. It watches the stores'
//! heartbeats: a store that is silent, whose disk stalls, or that stops loses its primaries at once, and gets them
//! back when it has been well for a while. A replica whose store is lost, or is to be emptied, is replaced by a learner
//! that is filled before it counts, one replica of a shard at a time; new stores get their share the same way.
//! Without I/O; time is a steady clock in milliseconds.

#![forbid(unsafe_code)]

mod arrange;
mod balance;
mod founding;
mod health;
mod knowledge;
mod layout;
mod manager;
mod primaries;
mod repair;

pub use layout::{Layout, Spread};
pub use manager::{Input, PlacementManager};
