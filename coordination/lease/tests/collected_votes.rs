//! A candidate may collect its majority over several attempts: a grant to an earlier attempt counts until it expires.

use millrudder_clock::Instant;
use millrudder_lease::{
    FencingToken, Holder, HolderEvent, HolderId, LeaseAnswer, LeaseConfig, LeaseRequest, Role, Voter,
    VoterId, VoterState,
};

const CANDIDATE: HolderId = HolderId(1);
const COMPETITOR: HolderId = HolderId(2);

/// Returns the clock reading `micros` microseconds after the origin.
fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

fn role() -> Role {
    Role("role".to_owned())
}

fn fresh_voter(config: &LeaseConfig) -> Voter {
    let mut voter = Voter::new(config, VoterState::default(), Instant::ORIGIN);
    voter.skip_grace_period();
    voter
}

fn request(fencing_token: u64, attempt: u64) -> LeaseRequest {
    LeaseRequest { role: role(), attempt, fencing_token: FencingToken(fencing_token), is_renewal: false }
}

/// One of two voters is bound to a competitor at the first attempt and grants the second; the other voter grants both.
#[test]
fn a_grant_to_an_earlier_attempt_counts_for_the_next_one() {
    let config = LeaseConfig::default();
    let (lease, margin) = (config.duration.as_micros() as u64, config.safety_margin.as_micros() as u64);
    let (mut first_voter, mut second_voter) = (fresh_voter(&config), fresh_voter(&config));
    let mut holder = Holder::new(&config, role(), 7);
    holder.set_voters(2, 0);
    let competing_vote = second_voter.handle_request(Instant::ORIGIN, COMPETITOR, &request(1, 1));
    assert!(matches!(competing_vote.answer, LeaseAnswer::Granted { .. }));
    let requested_at = lease / 2;
    let first_request = holder.poll(at(requested_at)).request.expect("a request");
    let granted = first_voter.handle_request(at(requested_at), CANDIDATE, &first_request).answer;
    let refused = second_voter.handle_request(at(requested_at), CANDIDATE, &first_request).answer;
    assert_eq!(holder.handle_answer(at(requested_at), VoterId(1), &granted).event, None);
    assert_eq!(holder.handle_answer(at(requested_at), VoterId(2), &refused).event, None);
    let retried_at = holder.next_deadline().expect("another attempt").as_micros();
    assert!(
        retried_at >= lease && retried_at < requested_at + lease,
        "retried after the competitor's grant and before the candidate's own grant expires"
    );
    let second_request = holder.poll(at(retried_at)).request.expect("a request");
    let granted = second_voter.handle_request(at(retried_at), CANDIDATE, &second_request).answer;
    let repeated_grant = first_voter.handle_request(at(retried_at), CANDIDATE, &second_request).answer;
    assert_eq!(holder.handle_answer(at(retried_at), VoterId(2), &granted).event, None);
    let event = holder.handle_answer(at(retried_at), VoterId(1), &repeated_grant).event;
    assert!(matches!(event, Some(HolderEvent::Granted { .. })), "{repeated_grant:?}");
    let end = requested_at + lease - margin;
    assert!(
        holder.is_held(at(end - 1)) && !holder.is_held(at(end)),
        "the lease ends with the earliest grant"
    );
    assert_eq!(holder.next_deadline(), Some(at(retried_at)), "renewed immediately");
    let renewal = holder.poll(at(retried_at)).request.expect("a renewal");
    assert!(renewal.is_renewal);
    assert!(matches!(
        first_voter.handle_request(at(retried_at), CANDIDATE, &renewal).answer,
        LeaseAnswer::Granted { .. }
    ));
}

#[test]
fn a_repeated_request_does_not_extend_the_grant() {
    let config = LeaseConfig::default();
    let lease = config.duration.as_micros() as u64;
    let mut voter = fresh_voter(&config);
    assert!(matches!(
        voter.handle_request(Instant::ORIGIN, CANDIDATE, &request(1, 1)).answer,
        LeaseAnswer::Granted { .. }
    ));
    let repeated = voter.handle_request(at(lease - 10), CANDIDATE, &request(2, 2)).answer;
    assert_eq!(repeated, LeaseAnswer::Granted { role: role(), attempt: 2, bound_micros: 10 });
    let other = voter.handle_request(at(lease), COMPETITOR, &request(3, 1)).answer;
    assert!(matches!(other, LeaseAnswer::Granted { .. }));
}

#[test]
fn a_granted_token_is_not_granted_again() {
    let config = LeaseConfig::default();
    let mut voter = fresh_voter(&config);
    assert!(matches!(
        voter.handle_request(Instant::ORIGIN, CANDIDATE, &request(5, 1)).answer,
        LeaseAnswer::Granted { .. }
    ));
    assert!(matches!(
        voter.handle_request(at(10), CANDIDATE, &request(5, 1)).answer,
        LeaseAnswer::Refused { .. }
    ));
    assert!(matches!(
        voter.handle_request(at(10), CANDIDATE, &request(4, 9)).answer,
        LeaseAnswer::Refused { .. }
    ));
}
