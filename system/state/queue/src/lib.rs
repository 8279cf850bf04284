//! The replicated message queue of a store process, as a state machine without I/O. It replicates messages to several
//! disks, orders them, grants their delivery to dispatchers, and records how they ended.
//!
//! [`StoreNode`] takes one [`Input`] at a time with a reading of a monotonic clock and returns [`Output`]s. It has no
//! clock and no threads, and its only randomness comes from a configured seed. A shell (the process around it) appends
//! and syncs records, sends and receives messages, and calls with [`Input::Tick`] at [`StoreNode::next_deadline`].
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
//! // The node promises the shard to itself, and serves it once that promise is synced.
//! let [Output::Append { ticket, .. }] = outputs[..] else { panic!("one record") };
//! assert_eq!(node.health(Instant::ORIGIN).primary_shards, 0);
//! node.handle(Instant::from_millis(2), Input::Synced { ticket }, &mut outputs);
//! assert_eq!(node.health(Instant::from_millis(2)).primary_shards, 1);
//! ```
//!
//! # Guarantees
//!
//! - Every accepted message and every recorded outcome is on as many disks as the placement requires, and survives the
//!   loss of all of these disks but one.
//! - At most one store serves a shard in a term, and a replica that has promised a term rejects writes of lower terms.
//! - Messages with the same order key are delivered one at a time, in the order of their acceptance.
//! - It is deterministic: the same inputs at the same clock readings with the same seed give the same outputs.
//!
//! # Modules
//!
//! `node` is the coordinator: [`StoreNode`] routes each input to the components that it concerns. Each component owns its
//! state:
//!
//! - `message_table`, `entry`: the state of each message, which merging only adds to. `primary_entry`: the additional
//!   state that only a primary keeps.
//! - `primary_term`: the terms in which this store is the primary of a shard, and takeovers. `promises`: the terms that
//!   it has promised to other primaries.
//! - `replication`: writes in flight to the local disk and to other stores, hedging, repair, and catching up of learners.
//! - `scheduling`: ready messages, credits and rate limits by service; order keys.
//! - `dispatchers`: connections, leases and heartbeats. `callbacks`: pending call-backs by receiver. `deferred_reports`:
//!   reports of dispatchers that wait until their shard is served.
//! - `context`, `timers`, `time`: shared by all components.
//!
//! # Requirements on the shell
//!
//! - It carries out outputs in order, and appends reach the disk in the order of their tickets.
//! - It gives [`Input::Synced`] only once everything up to its ticket would survive a power failure.
//! - It gives the messages of a connection in the order in which they were sent, and none after the connection's end.
//!
//! # Requirements on dispatchers
//!
//! - They ping at least three times within [`Config::heartbeat_timeout`].
//! - They start a delivery only if the epoch of its token is not below the term of its shard in their placement.
//! - They accept `Recorded` only from the shard's primary in their placement, and repeat their reports to it until then.
//! - They announce themselves by `Hello` on each connection and after each new placement, with every lease whose
//!   outcome is not `Recorded` yet, and read nothing more from an older connection to the same store.
//! - If a request that they have given up is answered with a lease, they report that lease as not run.

mod api;
mod callbacks;
mod config;
mod context;
mod deferred_reports;
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
