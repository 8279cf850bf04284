//! Discovery's list of next hops: following its changes.

mod watch;

pub use watch::{Call, TransportMap};
