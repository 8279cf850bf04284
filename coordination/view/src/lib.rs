//! Agreement on the membership of a small core of machines.
//!
//! A [`View`] lists the voters of one [`Epoch`] and, in chain order, those of them that hold the state (views: Oki, Liskov,
//! 1988; a configuration decided by its predecessor: vertical Paxos, Lamport, Malkhi, Zhou, 2009). The view that follows
//! epoch `e` is decided by single-decree Paxos (Lamport, 2001) among the voters of view `e`, with one instance per epoch.
//! Consecutive views differ in at most one voter. The first view is formed by a [`Bootstrap`]: all founders agree to the same
//! list or, where some are lost, a majority of them decides by Paxos as well.
//!
//! Guarantees: at most one view is decided for each epoch, and the first member of a view was a member of the previous
//! view and holds every command committed in it.
//!
//! All parts are state machines without I/O. [`ViewAgreement`] returns a [`Step`]: a record that the embedder makes
//! durable, and messages that must not be sent before the record is durable. A [`Detector`] reports which members are
//! unreachable.
//!
//! ```
//! use millrudder_view::{Epoch, Member, NodeId, View, ViewAgreement, ViewState};
//!
//! let member = Member { id: NodeId(7), address: "127.0.0.1:9000".to_owned() };
//! let view = View::of_members(Epoch(1), vec![member]);
//! let agreement = ViewAgreement::new(NodeId(7), ViewState::from_view(view), 1);
//! assert!(agreement.is_member());
//! assert_eq!(agreement.epoch(), Epoch(1));
//! ```

#![forbid(unsafe_code)]

mod acceptor;
mod agreement;
mod bootstrap;
mod detector;
mod first_view;
mod identity;
mod message;
mod proposer;

pub use acceptor::AcceptedView;
pub use agreement::{Envelope, Step, ViewAgreement, ViewState};
pub use bootstrap::Bootstrap;
pub use detector::{Detector, DetectorConfig, DetectorConfigError};
pub use identity::{Ballot, Epoch, Member, NodeId, View};
pub use message::{ViewMessage, ViewRecord};
pub use proposer::TargetView;
