//! Deterministic simulation of a core: machines with disks, a network with faults, clients, and a checker.

pub mod checker;
mod clients;
mod fault_injection;
pub mod faults;
pub mod history;
mod host;
pub mod network;
mod outputs;
pub mod plan;
pub mod value_table;
pub mod world;
