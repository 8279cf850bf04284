//! Leader leases for named singleton roles, granted by a majority of voters (Gray, Cheriton, 1989).
//!
//! A [`Holder`] requests a role from all voters and acquires the lease once a majority has granted the same attempt. A
//! [`Voter`] counts the duration of its grant from the time it *received* the request. The holder counts it from the time
//! it *sent* the request and subtracts a safety margin, so its lease ends before any of the grants.
//!
//! Guarantees: no two nodes hold the same role at the same time, and each lease carries a [`FencingToken`] higher than
//! that of every earlier lease of the role. Both assume that during one lease the clocks of any two nodes drift apart by
//! less than the safety margin; the clocks need not be synchronized.
//!
//! Both sides are state machines without I/O. The embedder passes readings of its own steady clock, makes a
//! [`LeaseRecord`] durable before it sends the answer that depends on it, calls [`Holder::poll`] at
//! [`Holder::next_deadline`], and checks [`Holder::is_held`] immediately before each action of the role.
//!
//! ```
//! use millrudder_clock::Instant;
//! use millrudder_lease::{Holder, HolderEvent, HolderId, LeaseConfig, Role, Voter, VoterId, VoterState};
//!
//! let config = LeaseConfig::default();
//! let role = Role("reader".to_owned());
//! let mut holder = Holder::new(&config, role.clone(), 1);
//! let mut voter = Voter::new(&config, VoterState::default(), Instant::ORIGIN);
//! holder.set_voters(1, 0);
//!
//! // A voter that has just started grants nothing for the duration of one lease.
//! let now = Instant::ORIGIN + config.duration;
//! let request = holder.poll(now).request.expect("a first request");
//! let vote = voter.handle_request(now, HolderId(5), &request);
//! let step = holder.handle_answer(now, VoterId(9), &vote.answer);
//! assert!(matches!(step.event, Some(HolderEvent::Granted { .. })));
//! assert!(holder.is_held(now));
//! ```

#![forbid(unsafe_code)]

mod config;
mod holder;
mod message;
mod voter;

pub use config::{LeaseConfig, LeaseConfigError};
pub use holder::{Holder, HolderEvent, HolderStep};
pub use message::{
    FencingToken, HolderId, LeaseAnswer, LeaseRecord, LeaseRelease, LeaseRequest, Refusal, Role, VoterId,
};
pub use voter::{Vote, Voter, VoterState};
