//! Several stores: what an acknowledgement needs, what a slow or lost store changes, and what a change of primary
//! leaves.

mod membership;
mod regions;
mod support;
mod takeovers;
#[path = "../wired/mod.rs"]
mod wired;
mod writes;
