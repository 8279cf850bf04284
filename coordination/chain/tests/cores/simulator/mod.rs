//! Deterministic simulation of a core: machines with disks, a network with faults, clients, and a checker.

pub mod checker;
mod clients;
pub mod faults;
pub mod history;
mod host;
pub mod ledger;
pub mod network;
mod outputs;
pub mod plan;
mod strikes;
pub mod world;
