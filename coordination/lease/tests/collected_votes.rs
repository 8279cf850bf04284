//! Votes that a candidate gets one after the other count together while they bind.

use millrudder_lease::{
    FencingToken, Holder, HolderEvent, HolderId, LeaseAnswer, LeaseConfig, LeaseRequest, Role, Voter,
    VoterId, VoterState,
};

const ME: HolderId = HolderId(1);
const OTHER: HolderId = HolderId(2);

fn role() -> Role {
    Role("role".to_owned())
}

fn fresh_voter(config: &LeaseConfig) -> Voter {
    let mut voter = Voter::new(config, VoterState::default(), 0);
    voter.never_voted();
    voter
}

fn request(fencing: u64, round: u64) -> LeaseRequest {
    LeaseRequest { role: role(), round, fencing: FencingToken(fencing), held: false }
}

/// Two voters, of which one was bound to another candidate when this one asked first.
#[test]
fn a_vote_of_an_earlier_round_counts_for_the_next_one() {
    let config = LeaseConfig::default();
    let (lease, safety) = (config.duration.as_micros() as u64, config.safety.as_micros() as u64);
    let (mut first, mut second) = (fresh_voter(&config), fresh_voter(&config));
    let mut holder = Holder::new(&config, role(), 7);
    holder.voters_changed(2, 0);
    let early = second.request(0, OTHER, &request(1, 1));
    assert!(matches!(early.answer, LeaseAnswer::Granted { .. }));
    let asked_at = lease / 2;
    let asked = holder.poll(asked_at).request.expect("a request");
    let granted = first.request(asked_at, ME, &asked).answer;
    let refused = second.request(asked_at, ME, &asked).answer;
    assert_eq!(holder.answer(asked_at, VoterId(1), &granted).event, None);
    assert_eq!(holder.answer(asked_at, VoterId(2), &refused).event, None);
    let again_at = holder.next_deadline().expect("another try");
    assert!(
        again_at >= lease && again_at < asked_at + lease,
        "the other's vote is free, the own still binds"
    );
    let again = holder.poll(again_at).request.expect("a request");
    let granted = second.request(again_at, ME, &again).answer;
    let still = first.request(again_at, ME, &again).answer;
    assert_eq!(holder.answer(again_at, VoterId(2), &granted).event, None);
    let event = holder.answer(again_at, VoterId(1), &still).event;
    assert!(matches!(event, Some(HolderEvent::Granted { .. })), "{still:?}");
    let end = asked_at + lease - safety;
    assert!(holder.is_held(end - 1) && !holder.is_held(end), "no longer than the first vote binds");
    assert_eq!(holder.next_deadline(), Some(again_at), "renewed at once");
    let renewal = holder.poll(again_at).request.expect("a renewal");
    assert!(renewal.held);
    assert!(matches!(first.request(again_at, ME, &renewal).answer, LeaseAnswer::Granted { .. }));
}

#[test]
fn asking_again_binds_a_voter_no_longer() {
    let config = LeaseConfig::default();
    let lease = config.duration.as_micros() as u64;
    let mut voter = fresh_voter(&config);
    assert!(matches!(voter.request(0, ME, &request(1, 1)).answer, LeaseAnswer::Granted { .. }));
    let again = voter.request(lease - 10, ME, &request(2, 2)).answer;
    assert_eq!(again, LeaseAnswer::Granted { role: role(), round: 2, bound_micros: 10 });
    let other = voter.request(lease, OTHER, &request(3, 1)).answer;
    assert!(matches!(other, LeaseAnswer::Granted { .. }));
}

#[test]
fn a_number_that_was_given_is_not_confirmed_again() {
    let config = LeaseConfig::default();
    let mut voter = fresh_voter(&config);
    assert!(matches!(voter.request(0, ME, &request(5, 1)).answer, LeaseAnswer::Granted { .. }));
    assert!(matches!(voter.request(10, ME, &request(5, 1)).answer, LeaseAnswer::Refused { .. }));
    assert!(matches!(voter.request(10, ME, &request(4, 9)).answer, LeaseAnswer::Refused { .. }));
}
