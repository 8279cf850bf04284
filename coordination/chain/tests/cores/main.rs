//! Tests of whole cores in a deterministic simulation.

mod catch_up_under_load;
mod recovery;
mod simulation;
mod simulator;
