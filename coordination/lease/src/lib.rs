//! Leader leases for named singleton roles, granted by a majority of voters (Gray, Cheriton, 1989).
//!
//! A [`Holder`] asks all voters for a role, counts the grants of one attempt, and holds the lease from the moment it
//! *sent* the request, less a safety margin. A [`Voter`] binds itself from the moment it *received* the request.
//!
//! Guaranteed: no two holders hold the same role at one time, and each lease carries a [`FencingToken`] higher than that
//! of every earlier lease of the role. This rests on clocks whose rates differ by less than the safety margin; clocks
//! need not show the same time.
//!
//! Both sides are state machines without I/O. The embedder passes the readings of its own steady clock, makes a
//! [`LeaseRecord`] durable before the answer that rests on it leaves, polls the holder at
//! [`Holder::next_deadline`], and asks [`Holder::is_held`] directly before each act of the role.
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
//! // A voter that has just started grants nothing for one full lease.
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
