//! Messages that the processes of the system send each other, and the identifiers that they share.
//!
//! Every message is one frame on a TCP connection between two processes: a length, a checksum and the `speedy` encoding
//! of one of the enums here (see [`frame`]). The crate does no I/O and decides nothing.
//!
//! - [`store`]: between dispatchers and stores, and among stores.
//! - [`control`]: between any process and a core machine.
//! - [`placement`]: which stores hold which shard.
//! - [`message`]: a stored message and its state.
//! - [`callback_url`]: the URL that the end of a message is reported to.
//!
//! The order and the types of fields and variants are the wire format, and that of stored data; names are not. Processes of
//! the version before and after an update talk to each other, so a change of the format needs a plan for both;
//! `tests/golden.rs` compares every message byte for byte.

#![forbid(unsafe_code)]

pub mod address;
pub mod callback_url;
pub mod control;
pub mod frame;
pub mod identifiers;
pub mod message;
pub mod placement;
pub mod store;

pub use address::Address;
pub use identifiers::{
    DispatcherId, Epoch, LeaseToken, MessageId, RequestNumber, Sequence, ShardId, StoreId,
};
