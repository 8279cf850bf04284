//! Whole cores in a simulated world.

mod recovery;
mod simulation;
mod simulator;
mod storm;
