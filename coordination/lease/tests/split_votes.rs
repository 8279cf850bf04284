//! Candidates that send their requests at the same time each get only their own vote. The test checks that one of them
//! acquires the role within 20 s.

use millrudder_clock::Instant;
use millrudder_lease::{Holder, HolderId, LeaseConfig, Role, Voter, VoterId, VoterState};

const MACHINES: usize = 3;
const MAJORITY: usize = 2;
/// Step of the clock, in microseconds.
const STEP_MICROS: u64 = 1_000;
/// Clock steps between a request and its arrival at another machine; the answer arrives without delay.
const REQUEST_DELAY_STEPS: u64 = 2;

/// Returns the clock reading `micros` microseconds after the origin.
fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

/// Runs machines that are both candidate and voter, and returns the time in microseconds at which one of them first holds
/// the role.
fn time_of_first_lease(seed: u64, until_micros: u64) -> Option<u64> {
    let config = LeaseConfig::default();
    let role = || Role("role".to_owned());
    let mut voters: Vec<Voter> =
        (0..MACHINES).map(|_| Voter::new(&config, VoterState::default(), Instant::ORIGIN)).collect();
    voters.iter_mut().for_each(Voter::skip_grace_period);
    let mut holders: Vec<Holder> =
        (0..MACHINES).map(|number| Holder::new(&config, role(), seed + number as u64)).collect();
    holders.iter_mut().for_each(|holder| holder.set_voters(MAJORITY, 1));
    let mut in_flight = Vec::new();
    for step in 0..until_micros / STEP_MICROS {
        let now = step * STEP_MICROS;
        for (candidate, holder) in holders.iter_mut().enumerate() {
            if let Some(request) = holder.poll(at(now)).request {
                for voter in 0..MACHINES {
                    // A request to the machine's own voter arrives without delay.
                    let delivery_step = if voter == candidate { step } else { step + REQUEST_DELAY_STEPS };
                    in_flight.push((delivery_step, candidate, voter, request.clone()));
                }
            }
        }
        in_flight.sort_by_key(|(delivery_step, candidate, ..)| (*delivery_step, *candidate));
        let later =
            in_flight.split_off(in_flight.partition_point(|(delivery_step, ..)| *delivery_step <= step));
        for (_, candidate, voter, request) in std::mem::replace(&mut in_flight, later) {
            let vote = voters[voter].handle_request(at(now), HolderId(candidate as u64), &request);
            let _ = holders[candidate].handle_answer(at(now), VoterId(voter as u64), &vote.answer);
            if holders[candidate].is_held(at(now)) {
                return Some(now);
            }
        }
    }
    None
}

#[test]
fn a_split_vote_is_resolved_within_20_seconds() {
    for seed in 0..200 {
        let held_at = time_of_first_lease(seed * 10, 20_000_000);
        assert!(held_at.is_some(), "seed {seed}: no machine holds the role after 20 s");
    }
}
