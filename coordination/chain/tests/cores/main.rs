//! Tests of whole cores in a deterministic simulation.

mod recovery;
mod simulation;
mod simulator;
mod storm;
