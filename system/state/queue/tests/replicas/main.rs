//! Several stores: what an acknowledgement needs, what a slow or lost store changes, and what a change of primary
//! leaves.

#[path = "../harness/mod.rs"]
mod harness;
mod membership;
mod regions;
mod support;
mod takeovers;
mod writes;
