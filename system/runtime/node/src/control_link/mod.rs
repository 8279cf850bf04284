//! What a dispatcher or a store needs of the core: connections to core machines, and a replica of the control state
//! whose age is known.
//!
//! The link maintains the connections. Seeds from the settings are queried for the addresses of core machines; what a
//! core machine says of the others is remembered; a [`ConnectionPlanner`](millrudder_staleness::ConnectionPlanner)
//! chooses those that are connected to. [`ControlReplica`] owns the link, records which versions the process has adopted, tells the core at each registration
//! so that only newer ones are sent, and knows how stale the replica may be.

mod connections;
mod discovery;
mod link;
mod replica;
mod versions;

pub use connections::ControlLinkConfig;
pub use replica::{ControlReplica, ControlUpdate};
