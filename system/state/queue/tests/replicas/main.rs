//! Replication over several stores: what an acknowledgement requires, how slow or lost stores are compensated
//! for, and what survives a change of primary.

#[path = "../harness/mod.rs"]
mod harness;
mod membership;
mod regions;
mod support;
mod takeovers;
mod writes;
