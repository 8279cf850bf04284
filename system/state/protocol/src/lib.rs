//! Messages that the processes of the system send each other, and the identifiers they share.
//!
//! Every message is one frame on a TCP connection between two processes: a length, a checksum and the `speedy`
//! encoding of one of the enums here (see [`frame`]). Nothing here does I/O or decides anything.
//!
//! - [`store`]: between dispatchers and store machines, and among store machines.
//! - [`control`]: between any process and a core machine.
//! - [`placement`]: which store machines hold which shard.
//! - [`message`]: a stored message and what is known of it.

pub mod address;
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
