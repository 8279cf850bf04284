//! Unit tests of holder and voter; each covers one rule.

use std::time::Duration;

use millrudder_clock::Instant;
use millrudder_lease::{
    FencingToken, Holder, HolderEvent, HolderId, LeaseAnswer, LeaseConfig, LeaseConfigError, LeaseRelease,
    LeaseRequest, Refusal, Role, Voter, VoterId, VoterState,
};

const FIRST: HolderId = HolderId(1);
const SECOND: HolderId = HolderId(2);

/// Returns the clock reading `micros` microseconds after the origin.
fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

fn role() -> Role {
    Role("reader".to_owned())
}

fn request(fencing_token: u64, is_renewal: bool) -> LeaseRequest {
    LeaseRequest { role: role(), attempt: 1, fencing_token: FencingToken(fencing_token), is_renewal }
}

fn fresh_voter() -> Voter {
    let mut voter = Voter::new(&LeaseConfig::default(), VoterState::default(), Instant::ORIGIN);
    voter.skip_grace_period();
    voter
}

fn lease_micros() -> u64 {
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
    assert_eq!(refusal(&voter.handle_request(Instant::ORIGIN, FIRST, &request(1, false)).answer), None);
    let premature = voter.handle_request(at(lease_micros() - 1), SECOND, &request(2, false));
    assert_eq!(refusal(&premature.answer), Some(Refusal::HeldByOther));
    assert_eq!(refusal(&voter.handle_request(at(lease_micros()), SECOND, &request(2, false)).answer), None);
}

#[test]
fn a_restarted_voter_grants_nothing_during_its_grace_period() {
    let mut voter = Voter::new(&LeaseConfig::default(), VoterState::default(), at(500));
    let renewal = voter.handle_request(at(lease_micros()), FIRST, &request(1, true));
    assert_eq!(refusal(&renewal.answer), Some(Refusal::GracePeriod));
    assert_eq!(
        refusal(&voter.handle_request(at(500 + lease_micros()), FIRST, &request(1, false)).answer),
        None
    );
}

#[test]
fn after_a_change_of_voters_only_the_present_holder_is_granted_anything() {
    let mut voter = fresh_voter();
    voter.handle_voters_changed(at(1_000));
    assert_eq!(
        refusal(&voter.handle_request(at(2_000), SECOND, &request(9, false)).answer),
        Some(Refusal::GracePeriod)
    );
    assert_eq!(refusal(&voter.handle_request(at(2_000), FIRST, &request(1, true)).answer), None);
    assert_eq!(
        refusal(&voter.handle_request(at(3_000), SECOND, &request(9, true)).answer),
        Some(Refusal::HeldByOther)
    );
}

#[test]
fn fencing_tokens_survive_a_restart_of_the_voter() {
    let mut voter = fresh_voter();
    let vote = voter.handle_request(Instant::ORIGIN, FIRST, &request(7, false));
    let mut state = VoterState::default();
    state.apply(&vote.record.expect("a new token is recorded"));
    assert_eq!(state, *voter.state());
    let mut voter = Voter::new(&LeaseConfig::default(), state, Instant::ORIGIN);
    let vote = voter.handle_request(at(lease_micros()), SECOND, &request(7, false));
    assert_eq!(refusal(&vote.answer), Some(Refusal::StaleToken));
    assert_eq!(refusal(&voter.handle_request(at(lease_micros()), SECOND, &request(8, false)).answer), None);
}

#[test]
fn a_renewal_needs_no_new_record() {
    let mut voter = fresh_voter();
    assert!(voter.handle_request(Instant::ORIGIN, FIRST, &request(1, false)).record.is_some());
    assert!(voter.handle_request(at(10), FIRST, &request(1, true)).record.is_none());
}

#[test]
fn a_holder_counts_from_the_time_of_sending_and_stops_early() {
    let config = LeaseConfig::default();
    let mut holder = Holder::new(&config, role(), 3);
    holder.set_voters(1, 0);
    let sent = holder.poll(at(1_000)).request.expect("a request");
    let granted = LeaseAnswer::Granted { role: role(), attempt: sent.attempt, bound_micros: lease_micros() };
    let step = holder.handle_answer(at(300_000), VoterId(1), &granted);
    assert_eq!(step.event, Some(HolderEvent::Granted { fencing_token: sent.fencing_token }));
    let end = 1_000 + (config.duration - config.safety_margin).as_micros() as u64;
    assert!(holder.is_held(at(end - 1)));
    assert!(!holder.is_held(at(end)));
    assert_eq!(holder.poll(at(end)).event, Some(HolderEvent::Lost { fencing_token: sent.fencing_token }));
}

#[test]
fn grants_for_an_earlier_attempt_or_by_the_same_voter_do_not_add_up() {
    let config = LeaseConfig::default();
    let renew_micros = config.renew_interval.as_micros() as u64;
    let mut holder = Holder::new(&config, role(), 3);
    holder.set_voters(2, 0);
    let earlier = holder.poll(Instant::ORIGIN).request.expect("a request").attempt;
    let later = holder.poll(at(renew_micros)).request.expect("another request").attempt;
    let answers = [(earlier, 1), (later, 2), (later, 2)];
    for (attempt, voter) in answers {
        let step = holder.handle_answer(
            at(renew_micros),
            VoterId(voter),
            &LeaseAnswer::Granted { role: role(), attempt, bound_micros: lease_micros() },
        );
        assert_eq!(step.event, None);
    }
    let step = holder.handle_answer(
        at(renew_micros),
        VoterId(1),
        &LeaseAnswer::Granted { role: role(), attempt: later, bound_micros: lease_micros() },
    );
    assert!(step.event.is_some());
}

#[test]
fn a_later_generation_of_voters_grants_higher_tokens() {
    let mut holder = Holder::new(&LeaseConfig::default(), role(), 3);
    holder.set_voters(1, 4);
    let first = holder.poll(Instant::ORIGIN).request.expect("a request").fencing_token;
    holder.set_voters(1, 5);
    let second = holder.poll(Instant::ORIGIN).request.expect("a request").fencing_token;
    assert!(second > first && first > FencingToken::floor(4) && second > FencingToken::floor(5));
}

#[test]
fn inconsistent_durations_are_rejected() {
    let shortest = LeaseConfig::default().safety_margin + LeaseConfig::default().renew_interval * 2;
    let config = LeaseConfig { duration: shortest, ..LeaseConfig::default() };
    assert_eq!(config.check(), Ok(()));
    let config = LeaseConfig { duration: shortest - Duration::from_millis(1), ..LeaseConfig::default() };
    assert!(matches!(config.check(), Err(LeaseConfigError::TooShort { .. })));
    let config = LeaseConfig { renew_interval: Duration::ZERO, ..LeaseConfig::default() };
    assert_eq!(config.check(), Err(LeaseConfigError::NoRenewalInterval));
    assert_eq!(LeaseConfig::default().check(), Ok(()));
}

#[test]
fn a_release_frees_the_role_at_once_and_counts_for_its_own_lease_only() {
    let mut voter = fresh_voter();
    let _ = voter.handle_request(Instant::ORIGIN, FIRST, &request(5, false));
    let release = |fencing_token| LeaseRelease { role: role(), fencing_token: FencingToken(fencing_token) };
    voter.handle_release(SECOND, &release(5));
    voter.handle_release(FIRST, &release(4));
    let competing = voter.handle_request(at(10), SECOND, &request(6, false));
    assert_eq!(refusal(&competing.answer), Some(Refusal::HeldByOther));
    voter.handle_release(FIRST, &release(5));
    assert_eq!(refusal(&voter.handle_request(at(20), SECOND, &request(6, false)).answer), None);
    // A delayed renewal of the earlier holder carries the lower token of its own lease.
    let late = voter.handle_request(at(30), FIRST, &request(5, true));
    assert_eq!(refusal(&late.answer), Some(Refusal::HeldByOther));
}

#[test]
fn a_holder_that_released_its_lease_ignores_late_grants() {
    let mut holder = Holder::new(&LeaseConfig::default(), role(), 1);
    holder.set_voters(1, 0);
    let attempt = holder.poll(Instant::ORIGIN).request.expect("a request").attempt;
    let granted = LeaseAnswer::Granted { role: role(), attempt, bound_micros: lease_micros() };
    let _ = holder.handle_answer(at(1), VoterId(9), &granted);
    let fencing_token = holder.fencing_token(at(2)).expect("it is held");
    assert_eq!(holder.release(at(2)), Some(LeaseRelease { role: role(), fencing_token }));
    assert!(!holder.is_held(at(2)));
    assert_eq!(holder.handle_answer(at(3), VoterId(9), &granted).event, None);
    assert!(!holder.is_held(at(3)));
    assert_eq!(holder.release(at(3)), None);
}

#[test]
fn a_candidate_retries_soon_after_a_release() {
    let config = LeaseConfig::default();
    let mut holder = Holder::new(&config, role(), 1);
    holder.set_voters(1, 0);
    assert!(holder.poll(Instant::ORIGIN).request.is_some());
    let max_jitter_micros = config.renew_interval.as_micros() as u64 / 2;
    holder.handle_release(at(10));
    assert!(holder.next_deadline().is_some_and(|due| due <= at(10 + max_jitter_micros)));
    assert!(holder.poll(at(11 + max_jitter_micros)).request.is_some());
}

#[test]
fn a_holder_renews_in_time_although_one_voter_refused() {
    let config = LeaseConfig::default();
    let mut holder = Holder::new(&config, role(), 3);
    holder.set_voters(2, 0);
    let attempt = holder.poll(Instant::ORIGIN).request.expect("a request").attempt;
    let refused = LeaseAnswer::Refused {
        role: role(),
        attempt,
        refusal: Refusal::HeldByOther,
        highest_token: FencingToken(1),
        retry_after_micros: lease_micros(),
    };
    let granted = LeaseAnswer::Granted { role: role(), attempt, bound_micros: lease_micros() };
    assert_eq!(holder.handle_answer(at(10), VoterId(1), &granted).event, None);
    assert_eq!(holder.handle_answer(at(2_000), VoterId(3), &refused).event, None);
    assert!(holder.handle_answer(at(3_000), VoterId(2), &granted).event.is_some());
    let renewal = config.renew_interval.as_micros() as u64;
    assert!(holder.next_deadline().is_some_and(|due| due <= at(renewal)));
    assert!(holder.poll(at(renewal)).request.is_some_and(|request| request.is_renewal));
}
