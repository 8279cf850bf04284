//! Decentralized group membership and failure detection.
//!
//! A [`Membership`] is the state machine of one process. In each period it probes one other member. If there is no answer,
//! it asks other members to probe that member indirectly, and suspects it if these probes go unanswered too. A suspect that
//! does not refute the suspicion in time is declared dead. Updates are piggybacked on probes, spread by gossip while any are
//! pending, and repaired by an exchange of the differing parts of two lists, which is also used for joining and after healed
//! partitions. The cost for each member does not grow with the size of the group. The protocol is SWIM (Das, Gupta,
//! Motivala, 2002) with the local health awareness of Lifeguard (Dadgar, Phillips, Currey, 2017).
//!
//! The state machine does no I/O. The embedder passes received datagrams, the passage of time and its requests as
//! [`Input`]s with readings of a steady clock, and executes the [`Output`]s. It must send all datagrams from the address
//! that it announces, and pass [`Input::Tick`] at [`Membership::next_deadline`].
//!
//! Guarantees and limits:
//! - [`Event::MemberDown`] is not proof of a crash. A member that was only unreachable may return with
//!   [`Event::MemberUp`]. The lists of two members may differ at any moment; they converge soon after the last change.
//! - [`MemberId`] distinguishes a process from its successor with the same name. A restart is reported as `MemberDown` of
//!   the earlier process and `MemberUp` of the later one.
//! - Datagrams carry a checksum that detects corruption. They are not authenticated: the network is trusted.
//!
//! # Example
//!
//! Two members in one program, with a vector in place of a network:
//!
//! ```
//! use std::net::SocketAddr;
//!
//! use millrudder_clock::Instant;
//! use millrudder_membership::{
//!     Config, Event, Input, LocalMember, MemberId, MemberName, Membership, Output, ProcessStart, Zone,
//! };
//!
//! fn member(name: &str, port: u16) -> Membership {
//!     let local = LocalMember {
//!         id: MemberId { name: MemberName::new(name).unwrap(), start: ProcessStart(1) },
//!         address: SocketAddr::from(([127, 0, 0, 1], port)),
//!         zone: Zone::new("north").unwrap(),
//!         metadata: b"any bytes".to_vec(),
//!     };
//!     Membership::new(Config::default(), local, u64::from(port), Instant::ORIGIN).unwrap()
//! }
//!
//! let mut members = [member("left", 7001), member("right", 7002)];
//! let mut outputs = Vec::new();
//! let seeds = vec![members[0].local().address];
//! members[1].handle(Instant::ORIGIN, Input::Join { seeds }, &mut outputs);
//!
//! let mut ups = 0;
//! let mut from = 1;
//! while !outputs.is_empty() {
//!     let receiver = 1 - from;
//!     let source = members[from].local().address;
//!     let mut answers = Vec::new();
//!     for output in outputs.drain(..) {
//!         match output {
//!             Output::Send { bytes, .. } => {
//!                 let input = Input::Datagram { from: source, bytes: &bytes };
//!                 members[receiver].handle(Instant::ORIGIN, input, &mut answers);
//!             }
//!             Output::Event(Event::MemberUp(_)) => ups += 1,
//!             Output::Event(event) => panic!("unexpected {event:?}"),
//!         }
//!     }
//!     outputs = answers;
//!     from = receiver;
//! }
//! assert_eq!(ups, 2);
//! assert_eq!(members[0].digest(), members[1].digest());
//! ```
#![forbid(unsafe_code)]

mod broadcast;
mod clock;
mod config;
mod deadlines;
mod digest;
mod events;
mod group_contact;
mod health;
mod identity;
mod member;
mod membership;
mod probe_order;
mod probes;
mod relayed_probes;
mod ring;
mod round_trip;
mod suspicions;
mod sync_state;
mod table;
mod timers;
mod wire;

pub use config::{Config, ConfigError, MAX_DATAGRAM_BYTES, MIN_DATAGRAM_BYTES};
pub use events::{Event, Input, Metadata, Output};
pub use identity::{
    GroupId, Incarnation, MemberId, MemberName, NameError, ProcessStart, Zone, MAX_NAME_BYTES,
};
pub use member::{LocalMember, Member, Status, MAX_METADATA_BYTES};
pub use membership::Membership;
