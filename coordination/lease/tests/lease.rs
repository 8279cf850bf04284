//! Holder and voter, one rule at a time.

use std::time::Duration;

use millrudder_lease::{
    FencingToken, Holder, HolderEvent, HolderId, LeaseAnswer, LeaseConfig, LeaseConfigError, LeaseRelease,
    LeaseRequest, Refusal, Role, Voter, VoterId, VoterState,
};

const FIRST: HolderId = HolderId(1);
const SECOND: HolderId = HolderId(2);

fn role() -> Role {
    Role("reader".to_owned())
}

fn request(fencing: u64, held: bool) -> LeaseRequest {
    LeaseRequest { role: role(), round: 1, fencing: FencingToken(fencing), held }
}

fn fresh_voter() -> Voter {
    let mut voter = Voter::new(&LeaseConfig::default(), VoterState::default(), 0);
    voter.never_voted();
    voter
}

fn duration() -> u64 {
    LeaseConfig::default().duration.as_micros() as u64
}

fn refusal(answer: &LeaseAnswer) -> Option<Refusal> {
    match answer {
        LeaseAnswer::Granted { .. } => None,
        LeaseAnswer::Refused { refusal, .. } => Some(*refusal),
    }
}

#[test]
fn a_voter_binds_itself_to_one_holder_until_the_lease_is_over() {
    let mut voter = fresh_voter();
    assert_eq!(refusal(&voter.request(0, FIRST, &request(1, false)).answer), None);
    let early = voter.request(duration() - 1, SECOND, &request(2, false));
    assert_eq!(refusal(&early.answer), Some(Refusal::Taken));
    assert_eq!(refusal(&voter.request(duration(), SECOND, &request(2, false)).answer), None);
}

#[test]
fn a_voter_that_starts_again_grants_nothing_for_one_lease() {
    let mut voter = Voter::new(&LeaseConfig::default(), VoterState::default(), 500);
    let claim = voter.request(duration(), FIRST, &request(1, true));
    assert_eq!(refusal(&claim.answer), Some(Refusal::Withheld));
    assert_eq!(refusal(&voter.request(500 + duration(), FIRST, &request(1, false)).answer), None);
}

#[test]
fn after_a_change_of_voters_only_the_present_holder_is_granted_anything() {
    let mut voter = fresh_voter();
    voter.voters_changed(1_000);
    assert_eq!(refusal(&voter.request(2_000, SECOND, &request(9, false)).answer), Some(Refusal::Withheld));
    assert_eq!(refusal(&voter.request(2_000, FIRST, &request(1, true)).answer), None);
    assert_eq!(refusal(&voter.request(3_000, SECOND, &request(9, true)).answer), Some(Refusal::Taken));
}

#[test]
fn fencing_numbers_survive_a_restart_of_the_voter() {
    let mut voter = fresh_voter();
    let vote = voter.request(0, FIRST, &request(7, false));
    let mut state = VoterState::default();
    state.apply(&vote.record.expect("a new number is recorded"));
    assert_eq!(state, *voter.state());
    let mut voter = Voter::new(&LeaseConfig::default(), state, 0);
    let vote = voter.request(duration(), SECOND, &request(7, false));
    assert_eq!(refusal(&vote.answer), Some(Refusal::Outdated));
    assert_eq!(refusal(&voter.request(duration(), SECOND, &request(8, false)).answer), None);
}

#[test]
fn a_renewal_needs_no_new_record() {
    let mut voter = fresh_voter();
    assert!(voter.request(0, FIRST, &request(1, false)).record.is_some());
    assert!(voter.request(10, FIRST, &request(1, true)).record.is_none());
}

#[test]
fn a_holder_counts_from_the_time_of_sending_and_stops_early() {
    let config = LeaseConfig::default();
    let mut holder = Holder::new(&config, role(), 3);
    holder.voters_changed(1, 0);
    let sent = holder.poll(1_000).request.expect("a request");
    let granted = LeaseAnswer::Granted { role: role(), round: sent.round, bound_micros: duration() };
    let step = holder.answer(300_000, VoterId(1), &granted);
    assert_eq!(step.event, Some(HolderEvent::Granted { fencing: sent.fencing }));
    let end = 1_000 + (config.duration - config.safety).as_micros() as u64;
    assert!(holder.is_held(end - 1));
    assert!(!holder.is_held(end));
    assert_eq!(holder.poll(end).event, Some(HolderEvent::Lost { fencing: sent.fencing }));
}

#[test]
fn grants_of_an_earlier_round_or_the_same_voter_do_not_add_up() {
    let config = LeaseConfig::default();
    let renew = config.renew_every.as_micros() as u64;
    let mut holder = Holder::new(&config, role(), 3);
    holder.voters_changed(2, 0);
    let early = holder.poll(0).request.expect("a request").round;
    let later = holder.poll(renew).request.expect("another request").round;
    let answers = [(early, 1), (later, 2), (later, 2)];
    for (round, voter) in answers {
        let step = holder.answer(
            renew,
            VoterId(voter),
            &LeaseAnswer::Granted { role: role(), round, bound_micros: duration() },
        );
        assert_eq!(step.event, None);
    }
    let step = holder.answer(
        renew,
        VoterId(1),
        &LeaseAnswer::Granted { role: role(), round: later, bound_micros: duration() },
    );
    assert!(step.event.is_some());
}

#[test]
fn a_later_generation_of_voters_gives_higher_numbers() {
    let mut holder = Holder::new(&LeaseConfig::default(), role(), 3);
    holder.voters_changed(1, 4);
    let first = holder.poll(0).request.expect("a request").fencing;
    holder.voters_changed(1, 5);
    let second = holder.poll(0).request.expect("a request").fencing;
    assert!(second > first && first > FencingToken::floor(4) && second > FencingToken::floor(5));
}

#[test]
fn times_that_do_not_fit_together_are_refused() {
    let shortest = LeaseConfig::default().safety + LeaseConfig::default().renew_every * 2;
    let config = LeaseConfig { duration: shortest, ..LeaseConfig::default() };
    assert_eq!(config.check(), Ok(()));
    let config = LeaseConfig { duration: shortest - Duration::from_millis(1), ..LeaseConfig::default() };
    assert!(matches!(config.check(), Err(LeaseConfigError::TooShort { .. })));
    let config = LeaseConfig { renew_every: Duration::ZERO, ..LeaseConfig::default() };
    assert_eq!(config.check(), Err(LeaseConfigError::NoRenewalPause));
    assert_eq!(LeaseConfig::default().check(), Ok(()));
}

#[test]
fn a_lease_that_is_given_back_is_free_at_once_and_for_that_lease_only() {
    let mut voter = fresh_voter();
    let _ = voter.request(0, FIRST, &request(5, false));
    let release = |fencing| LeaseRelease { role: role(), fencing: FencingToken(fencing) };
    voter.release(SECOND, &release(5));
    voter.release(FIRST, &release(4));
    let taken = voter.request(10, SECOND, &request(6, false));
    assert_eq!(refusal(&taken.answer), Some(Refusal::Taken));
    voter.release(FIRST, &release(5));
    assert_eq!(refusal(&voter.request(20, SECOND, &request(6, false)).answer), None);
    // The earlier holder's renewal comes late: it is the lower number.
    let late = voter.request(30, FIRST, &request(5, true));
    assert_eq!(refusal(&late.answer), Some(Refusal::Taken));
}

#[test]
fn a_holder_that_gives_its_lease_back_does_not_hold_it_and_counts_no_late_grant() {
    let mut holder = Holder::new(&LeaseConfig::default(), role(), 1);
    holder.voters_changed(1, 0);
    let round = holder.poll(0).request.expect("a request").round;
    let granted = LeaseAnswer::Granted { role: role(), round, bound_micros: duration() };
    let _ = holder.answer(1, VoterId(9), &granted);
    let fencing = holder.fencing(2).expect("it is held");
    assert_eq!(holder.release(2), Some(LeaseRelease { role: role(), fencing }));
    assert!(!holder.is_held(2));
    assert_eq!(holder.answer(3, VoterId(9), &granted).event, None);
    assert!(!holder.is_held(3));
    assert_eq!(holder.release(3), None);
}

#[test]
fn a_candidate_asks_soon_after_the_lease_was_given_back() {
    let config = LeaseConfig::default();
    let mut holder = Holder::new(&config, role(), 1);
    holder.voters_changed(1, 0);
    assert!(holder.poll(0).request.is_some());
    let soon = config.renew_every.as_micros() as u64 / 2;
    holder.released(10);
    assert!(holder.next_deadline().is_some_and(|due| due <= 10 + soon));
    assert!(holder.poll(11 + soon).request.is_some());
}

#[test]
fn who_holds_a_lease_renews_it_in_time_also_where_one_voter_refused() {
    let config = LeaseConfig::default();
    let mut holder = Holder::new(&config, role(), 3);
    holder.voters_changed(2, 0);
    let round = holder.poll(0).request.expect("a request").round;
    let refused = LeaseAnswer::Refused {
        role: role(),
        round,
        refusal: Refusal::Taken,
        highest: FencingToken(1),
        retry_after_micros: duration(),
    };
    let granted = LeaseAnswer::Granted { role: role(), round, bound_micros: duration() };
    assert_eq!(holder.answer(10, VoterId(1), &granted).event, None);
    assert_eq!(holder.answer(2_000, VoterId(3), &refused).event, None);
    assert!(holder.answer(3_000, VoterId(2), &granted).event.is_some());
    let renewal = config.renew_every.as_micros() as u64;
    assert!(holder.next_deadline().is_some_and(|due| due <= renewal));
    assert!(holder.poll(renewal).request.is_some_and(|request| request.held));
}
