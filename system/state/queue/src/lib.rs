//! The replicated message queue of a store process, as a state machine without I/O: it replicates messages to several
//! disks, orders them, grants their delivery to dispatchers and records how they ended.
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
//! // It promises the shard to itself, and serves it once that is on its disk.
//! let [Output::Append { ticket, .. }] = outputs[..] else { panic!("one record") };
//! assert_eq!(node.health(Instant::ORIGIN).primary_shards, 0);
//! node.handle(Instant::from_millis(2), Input::Synced { ticket }, &mut outputs);
//! assert_eq!(node.health(Instant::from_millis(2)).primary_shards, 1);
//! ```
//!
//! # Guarantees
//!
//! - A message that was accepted, and each outcome that was recorded, is on as many disks as the placement promises, and
//!   survives the loss of all of them but one.
//! - At most one store serves a shard in a term, and a replica that has promised a term rejects writes of lower ones.
//! - Messages of one order key are delivered one at a time, in the order of their acceptance.
//! - The same inputs at the same readings with the same seed give the same outputs.
//!
//! # Modules
//!
//! `node` is the coordinator: [`StoreNode`] routes each input to the parts that it concerns. Each part owns its state:
//!
//! - `message_table`, `entry`: what is known of each message; it only grows. `primary_entry`: what only a primary keeps of
//!   it.
//! - `primary_term`: terms in which this store is a shard's primary, and takeovers. `promises`: terms that it promised to
//!   others.
//! - `replication`: writes in flight to the local disk and to other stores, hedging, repair, filling of learners.
//! - `scheduling`: ready messages, credits and rate limits by service; order keys.
//! - `dispatchers`: connections, leases and heartbeats. `callbacks`: pending call-backs by receiver.
//! - `context`, `timers`, `time`: what all parts share.
//!
//! # What the shell must keep to
//!
//! - Outputs are carried out in order, and appends reach the disk in the order of their tickets.
//! - [`Input::Synced`] is given only once everything up to its ticket would survive a loss of power.
//! - Messages of one connection are given in the order in which they were sent, and none after its end.
//!
//! # What dispatchers must keep to
//!
//! - They ping at least three times within [`Config::heartbeat_timeout`].
//! - They start a delivery only if its token's epoch is not below the term of its shard in their placement.
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
