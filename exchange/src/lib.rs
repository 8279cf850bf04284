//! The bottom of the workspace: where fronts and the core meet (`exchange`), and what all of them share without
//! knowing each other: the clock, the counters, the planned stop.

mod meeting;

pub mod clock;
pub mod counters;
pub mod rate;
pub mod shutdown;

pub use meeting::*;
