//! Chain-replicated state over an agreed membership view, for a small core of machines.
//!
//! [`CoreNode`] is a sans-I/O state machine: it bootstraps the core, replicates the commands of a [`Machine`] down the
//! chain of the current view (chain replication: van Renesse, Schneider, 2004), replaces unreachable members, readmits
//! those that return, confirms linearizable reads, and requests leader leases. The embedder passes [`Input`]s with
//! readings of its steady clock and carries out the [`Output`]s.
//!
//! A command is committed once every member of the view has made it durable. A message that depends on records is sent
//! only after they are durable, so that no peer sees state that a crash could undo.
//!
//! What the embedder must do:
//!
//! - Append the record of each [`Output::Persist`] to a journal in the order given, and report the token with
//!   [`Input::Persisted`] once it is synced; one report covers all earlier tokens. At the next start, replay the
//!   journal with [`DurableState::apply`] on top of the last [`Output::Checkpoint`].
//! - Transmit each message with the identities of sender and recipient and a checksum. Pass a received message to the
//!   node only if the recipient is its own identity, since an old address may now belong to a machine with another
//!   disk. Messages may be lost, delayed, duplicated or reordered.
//! - Announce [`CoreNode::id`] to other nodes only once the first record is durable, and report theirs with
//!   [`Input::PeerSeen`]. Report only nodes that can be members of the core.
//! - Handle [`Input::Tick`] at [`CoreNode::next_deadline`], and check [`CoreNode::holds`] immediately before each
//!   action of a role: after a pause of the process the lease may have expired before [`Output::LeaseLost`] is
//!   delivered.
//!
//! ```
//! use millrudder_clock::Instant;
//! use millrudder_chain::{CoreConfig, CoreNode, Input, Machine, Output, RequestId, RestoreError, Sequence};
//!
//! #[derive(Default)]
//! struct Counter(u64);
//!
//! impl Machine for Counter {
//!     type Command = u64;
//!     type Reply = u64;
//!
//!     fn apply(&mut self, _sequence: Sequence, command: &u64) -> u64 {
//!         self.0 += command;
//!         self.0
//!     }
//!
//!     fn snapshot(&self) -> Vec<u8> {
//!         self.0.to_le_bytes().to_vec()
//!     }
//!
//!     fn restore(snapshot: &[u8]) -> Result<Counter, RestoreError> {
//!         let bytes = snapshot.try_into().map_err(|_| RestoreError::Unreadable)?;
//!         Ok(Counter(u64::from_le_bytes(bytes)))
//!     }
//! }
//!
//! let mut config = CoreConfig::new("127.0.0.1:9000");
//! config.bootstrap_addresses = vec!["127.0.0.1:9000".to_owned()];
//! config.minimum_members = 1;
//! let mut node: CoreNode<Counter> = CoreNode::new(config, None, 42, Instant::ORIGIN).expect("a good configuration");
//!
//! let mut replies = Vec::new();
//! node.handle(Instant::from_millis(1), Input::Submit { request_id: RequestId(1), command: 5 });
//! for step in 1..100 {
//!     let now = Instant::from_millis(step * 100);
//!     node.handle(now, Input::Tick);
//!     while let Some(output) = node.next_output() {
//!         match output {
//!             Output::Persist { token, .. } => node.handle(now, Input::Persisted { token }),
//!             Output::Reply { reply, .. } => replies.push(reply),
//!             _ => {}
//!         }
//!     }
//! }
//! assert_eq!(replies, vec![5]);
//! ```

#![forbid(unsafe_code)]

mod config;
mod durable;
mod entry;
mod log;
mod machine;
mod message;
mod node;
mod quorum_contact;
mod read_confirmation;
mod replica;
mod replication_progress;
mod replies;
mod simulated_disk;
mod store;
mod transfer;

pub use config::{ConfigError, CoreConfig};
pub use durable::{DurableState, Record, Snapshot};
pub use entry::{Entry, Position, RequestId, Sequence};
pub use log::Log;
pub use machine::{Machine, RestoreError};
pub use message::{AppendBatch, CoreMessage, Heartbeat, InstallSnapshotChunk, MessageError};
pub use millrudder_lease::{FencingToken, LeaseConfig, Role};
pub use millrudder_view::{DetectorConfig, Epoch, Member, NodeId, View};
pub use node::{CoreNode, DiskBacklog, Input, Output, PersistToken, StartError};
pub use quorum_contact::{ProcessTimestamp, TimestampEcho};
pub use simulated_disk::{DiskWrite, SimulatedDisk};
pub use transfer::{SnapshotChunk, SnapshotId, MAX_SNAPSHOT_BYTES};
