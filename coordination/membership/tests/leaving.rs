//! A departure is disseminated and is not reported as a death.

mod support;

use millrudder_membership::{Event, Input, Status};
use support::{address, millis, secs, Network, Simulation};

fn leave(simulation: &mut Simulation, index: usize) {
    simulation.input(index, Input::Leave);
    simulation.run_for(secs(2));
    let completed = simulation.count(|seen| seen.by == index && seen.event == Event::LeaveCompleted);
    assert_eq!(completed, 1);
    assert_eq!(simulation.nodes[index].membership.next_deadline(), None);
    simulation.crash(index);
}

#[test]
fn leaving_is_known_to_all_soon_and_nobody_is_suspected() {
    for (count, seed) in [(2, 1), (12, 2), (12, 3), (30, 4), (100, 5)] {
        let network = Network { loss: 0.03, ..Network::default() };
        let mut simulation = Simulation::converged(count, network, seed);
        leave(&mut simulation, 1);
        simulation.run_until(secs(2), |simulation| simulation.all_report(1, Status::Left));
        simulation.run_for(secs(5));
        assert_eq!(simulation.down_events(), 0, "{count} members");
        let left = simulation.count(|seen| matches!(seen.event, Event::MemberLeft(_)));
        assert_eq!(left, count - 1);
    }
}

#[test]
fn leaving_is_known_within_half_a_second_in_a_group_of_twelve() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        simulation.input(4, Input::Leave);
        let known = simulation.run_until(secs(3), |simulation| simulation.all_report(4, Status::Left));
        assert!(known < millis(500), "seed {seed}: {known:?}");
    }
}

#[test]
fn a_member_that_left_comes_back_as_a_new_process() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        leave(&mut simulation, 4);
        simulation.restart(4, 1_000, address(4));
        simulation.run_until(secs(3), Simulation::is_agreed);
        assert_eq!(simulation.down_events(), 0, "seed {seed}");
    }
}

#[test]
fn members_restarted_in_turn_are_never_declared_dead() {
    let mut simulation = Simulation::converged(12, Network::default(), 9);
    for index in 0..12 {
        leave(&mut simulation, index);
        simulation.restart(index, 1_000, address(index));
        simulation.run_until(secs(3), Simulation::is_agreed);
    }
    assert_eq!(simulation.down_events(), 0);
}

#[test]
fn a_member_that_knows_nobody_leaves_at_once() {
    let mut simulation = Simulation::new(Network::default(), millrudder_membership::Config::default(), 1);
    simulation.start(0, 1, address(0));
    simulation.input(0, Input::Leave);
    assert_eq!(simulation.count(|seen| seen.event == Event::LeaveCompleted), 1);
}
