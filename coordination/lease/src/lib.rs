//! Leader lease for named singleton roles, granted by a majority of voters.
//!
//! A [`Holder`] asks all voters for a role, counts the grants of one round and holds the lease from the moment it
//! *sent* that round, less a safety margin. A [`Voter`] binds itself from the moment it *received* the request.
//! Both use their own steady clock only; the margin covers the difference in clock rates. Each lease carries a
//! [`FencingToken`] number that is higher than that of every earlier lease of the role.
//!
//! Everything here is a state machine without I/O: times are microseconds of the steady clock, passed in.
//!
//! ```
//! use millrudder_lease::{Holder, HolderEvent, HolderId, LeaseConfig, Role, Voter, VoterId, VoterState};
//!
//! let config = LeaseConfig::default();
//! let role = Role("reader".to_owned());
//! let mut holder = Holder::new(&config, role.clone(), 1);
//! let mut voter = Voter::new(&config, VoterState::default(), 0);
//! holder.voters_changed(1, 0);
//!
//! // A voter that has just started withholds its grants for one full lease.
//! let now = config.duration.as_micros() as u64;
//! let request = holder.poll(now).request.expect("a first request");
//! let vote = voter.request(now, HolderId(5), &request);
//! let step = holder.answer(now, VoterId(9), &vote.answer);
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
