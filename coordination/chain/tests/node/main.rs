//! Tests of one or a few core nodes on a reliable network.

mod catch_up;
mod cluster;
#[path = "../concat_machine/mod.rs"]
mod concat_machine;
mod lost_messages;
mod serving;
mod stalled_disk;
mod voters;
