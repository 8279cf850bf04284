//! Decisions of a store process, without I/O: it keeps messages on several disks, orders them, grants their delivery
//! to dispatchers and records how they ended.
//!
//! [`StoreNode`] takes one [`Input`] at a time with the time of a steady clock and returns [`Output`]s. It has no
//! clock, no threads, and no randomness but a seed. A shell appends and syncs what it is told to, sends and receives,
//! and calls again with [`Input::Tick`] at [`StoreNode::next_deadline`].
//!
//! ```
//! use millrudder_clock::Instant;
//! use millrudder_protocol::placement::{Placement, ShardEntry};
//! use millrudder_protocol::{Epoch, StoreId};
//! use millrudder_queue::{Config, Input, Output, StoreNode};
//!
//! let local_id = StoreId(1);
//! let mut node = StoreNode::new(Config::default(), local_id, "zone", Instant::ORIGIN, std::iter::empty());
//! let shard = ShardEntry { primary: local_id, replicas: vec![local_id], change: None, term: Epoch(1) };
//! let placement = Placement { epoch: Epoch(1), tolerated_losses: 0, stores: vec![], shards: vec![shard] };
//!
//! let mut outputs = Vec::new();
//! node.handle(Instant::ORIGIN, Input::Placement(placement), &mut outputs);
//! // It promised_terms the shard to itself, and serves it once that is on its disk.
//! let [Output::Append { ticket, .. }] = outputs[..] else { panic!("one record") };
//! assert_eq!(node.health(Instant::ORIGIN).serving, 0);
//! node.handle(Instant::from_millis(2), Input::Synced { ticket }, &mut outputs);
//! assert_eq!(node.health(Instant::from_millis(2)).serving, 1);
//! ```
//!
//! # Parts
//!
//! - `table`, `entry`: what is known of each message; it only grows.
//! - `replication`, `repair`, `peers`, `disk`, `scrub`: as primary, onto how many disks that is written, and when.
//! - `follower`, `takeover`, `reign`: as replica; the change of a shard's primary.
//! - `accept`, `grants`, `schedule`, `keys`, `credits`, `ceiling`, `attempts`: a message's way to its end.
//! - `callbacks`, `callback_flow`: what its end owes.
//! - `dispatchers`, `connections`: who is connected and holds what.
//! - `expiry`, `timers`: retention and forgetting.
//! - `watch`: a look for what lies though nothing holds it back.
//!
//! # What dispatchers must keep to
//!
//! - They ping at least three times within [`Config::heartbeat_timeout`].
//! - They start a delivery only if its token's epoch is not below the `since` of its shard in their placement.
//! - They take `Recorded` only from the shard's primary in their placement, and repeat reports to that one until then.
//! - They announce themselves by `Hello` on each connection and at each new placement, with every lease whose
//!   outcome is not `Recorded`, and read nothing more from an older connection to the same store.
//! - A lease that comes with the answer to a request which they gave up is reported as not run.

mod api;
mod callbacks;
mod config;
mod context;
mod dispatchers;
mod entry;
mod message_table;
mod node;
mod primary_entry;
mod primary_term;
mod promises;
mod replication;
mod scheduling;
mod time;
mod timers;

pub use api::{ConnectionId, DiskRecord, Input, OrphanCause, Output, Recovered, Ticket};
pub use config::{Config, ConfigError};
pub use node::StoreNode;
