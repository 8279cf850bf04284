//! One core node or a few, on a network that loses nothing.

mod cluster;
mod filling;
mod serving;
#[path = "../text/mod.rs"]
mod text;
mod voters;
