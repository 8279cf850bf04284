//! Guards against two holders at the same time after a restart of the holder (found by the chain's simulation with
//! `CORE_SEEDS=1123..1124`).
//!
//! A machine renews its lease, releases it and shuts down while one voter is paused. After a restart the machine acquires
//! a new lease with a higher token. Then the paused voter receives the renewal and the release of the earlier process,
//! which has the same identity. A voter that records the old token for the new grant lets the old release remove that
//! grant, and grants the role to another machine. The voter's trace, with the times in microseconds; the renewal and the
//! release arrived within one microsecond:
//!
//! ```text
//! 9642924 LeaseRequest  { attempt: 11481583298321184694, fencing_token: 17179869190, is_renewal: true }   granted
//! 9697382 LeaseRequest  { attempt: 8651326282566205415, fencing_token: 8589934596, is_renewal: true }     granted
//! 9697382 LeaseReleased { fencing_token: 8589934596 }
//! 9712389 LeaseRequest  from another machine, fencing_token: 21474836481                                  granted
//! ```

use millrudder_clock::Instant;
use millrudder_lease::{
    FencingToken, HolderId, LeaseAnswer, LeaseConfig, LeaseRelease, LeaseRequest, Refusal, Role, Voter,
    VoterState,
};

const RESTARTED: HolderId = HolderId(1);
const OTHER: HolderId = HolderId(2);
/// Token of the lease held by the process that shut down.
const EARLIER_TOKEN: FencingToken = FencingToken(4);
/// Token of the lease held by the process after the restart.
const PRESENT_TOKEN: FencingToken = FencingToken(7);

/// Returns the clock reading `millis` milliseconds after the origin.
fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn role() -> Role {
    Role("controller".to_owned())
}

fn request(attempt: u64, fencing_token: FencingToken, is_renewal: bool) -> LeaseRequest {
    LeaseRequest { role: role(), attempt, fencing_token, is_renewal }
}

fn is_granted(answer: &LeaseAnswer) -> bool {
    matches!(answer, LeaseAnswer::Granted { .. })
}

/// Returns a voter that has just granted the role to the restarted machine's current process.
fn voter_of_present_lease() -> Voter {
    let mut voter = Voter::new(&LeaseConfig::default(), VoterState::default(), Instant::ORIGIN);
    voter.skip_grace_period();
    let vote = voter.handle_request(at(0), RESTARTED, &request(100, PRESENT_TOKEN, false));
    assert!(is_granted(&vote.answer));
    voter
}

fn assert_bound(voter: &mut Voter, now: Instant) {
    let vote = voter.handle_request(now, OTHER, &request(200, PRESENT_TOKEN.next(), false));
    let LeaseAnswer::Refused { refusal, .. } = vote.answer else {
        panic!("the role was granted to a second machine: {:?}", vote.answer);
    };
    assert_eq!(refusal, Refusal::HeldByOther);
}

#[test]
fn late_messages_of_an_earlier_process_do_not_end_a_grant() {
    let mut voter = voter_of_present_lease();
    let _ = voter.handle_request(at(10), RESTARTED, &request(3, EARLIER_TOKEN, true));
    voter.handle_release(RESTARTED, &LeaseRelease { role: role(), fencing_token: EARLIER_TOKEN });
    assert_bound(&mut voter, at(20));
}

#[test]
fn a_late_renewal_does_not_shorten_a_grant() {
    let mut voter = voter_of_present_lease();
    let renewal = voter.handle_request(at(600), RESTARTED, &request(101, PRESENT_TOKEN, true));
    assert!(is_granted(&renewal.answer));
    let _ = voter.handle_request(at(610), RESTARTED, &request(3, EARLIER_TOKEN, true));
    assert_bound(&mut voter, at(1_299));
}

#[test]
fn the_present_process_still_renews_and_releases() {
    let mut voter = voter_of_present_lease();
    let _ = voter.handle_request(at(10), RESTARTED, &request(3, EARLIER_TOKEN, true));
    let renewal = voter.handle_request(at(150), RESTARTED, &request(101, PRESENT_TOKEN, true));
    assert!(is_granted(&renewal.answer));
    voter.handle_release(RESTARTED, &LeaseRelease { role: role(), fencing_token: PRESENT_TOKEN });
    let vote = voter.handle_request(at(160), OTHER, &request(200, PRESENT_TOKEN.next(), false));
    assert!(is_granted(&vote.answer), "{:?}", vote.answer);
}

#[test]
fn a_late_request_of_an_earlier_process_leaves_the_present_lease_renewable() {
    // The earlier process was a candidate with a token that this voter has not seen, and never held the lease.
    let mut voter = voter_of_present_lease();
    let _ = voter.handle_request(at(10), RESTARTED, &request(3, PRESENT_TOKEN.next(), false));
    let renewal = voter.handle_request(at(150), RESTARTED, &request(101, PRESENT_TOKEN, true));
    assert!(is_granted(&renewal.answer), "{:?}", renewal.answer);
    assert_bound(&mut voter, at(849));
}
