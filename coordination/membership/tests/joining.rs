//! Joining: groups that start together, seeds that start late, and members that join later.

mod support;

use millrudder_membership::{Config, Status};
use support::{address, millis, secs, Network, Simulation};

fn start_together(count: usize, seed: u64) -> Simulation {
    let network = Network { loss: 0.01, ..Network::default() };
    let mut simulation = Simulation::new(network, Config::default(), seed);
    for index in 0..count {
        simulation.start(index, 1, address(index));
        simulation.join(index);
        simulation.run_for(millis(300) / u32::try_from(count).expect("the group is small"));
    }
    simulation
}

#[test]
fn groups_of_any_size_agree_soon_after_they_start_together() {
    for (count, bound) in [(2, secs(3)), (12, secs(4)), (30, secs(5)), (100, secs(8)), (300, secs(12))] {
        let mut simulation = start_together(count, 7);
        let agreed = simulation.run_until(secs(60), Simulation::is_agreed);
        println!("{count} members agree after {agreed:?}");
        assert!(agreed < bound, "{count} members: {agreed:?}");
        assert_eq!(simulation.down_events(), 0);
    }
}

#[test]
fn unreachable_seeds_are_retried_until_they_are_up() {
    let mut simulation = Simulation::new(Network::default(), Config::default(), 5);
    for index in 0..8 {
        simulation.start(index, 1, address(index));
    }
    (0..3).for_each(|seed| simulation.crash(seed));
    (3..8).for_each(|index| simulation.join(index));
    simulation.run_for(secs(20));
    assert_eq!(simulation.nodes[4].membership.live_members().count(), 1);
    simulation.restart(1, 2, address(1));
    simulation.run_until(secs(5), Simulation::is_agreed);
}

#[test]
fn a_late_member_is_known_to_all_soon() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(30, Network::default(), seed);
        simulation.restart(30, 1, address(30));
        let known = simulation.run_until(secs(5), Simulation::is_agreed);
        assert!(known < millis(1_500), "seed {seed}: {known:?}");
    }
}

#[test]
fn seeds_that_restart_together_learn_of_all_others() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(30, Network::default(), seed);
        (0..3).for_each(|index| simulation.crash(index));
        (0..3).for_each(|index| simulation.restart(index, 2, address(index)));
        simulation.run_until(secs(5), Simulation::is_agreed);
    }
}

#[test]
fn a_truncated_answer_is_continued_at_once() {
    let mut simulation = Simulation::converged(60, Network::default(), 3);
    simulation.config.sync_datagrams = 1;
    for index in 0..3 {
        simulation.crash(index);
        simulation.restart(index, 2, address(index));
        simulation.run_until(secs(10), Simulation::is_agreed);
    }
    simulation.restart(60, 1, address(60));
    let known = simulation.run_until(secs(10), Simulation::is_agreed);
    assert!(known < millis(1_500), "{known:?}");
}

#[test]
fn a_joining_member_does_not_revive_a_dead_one() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        simulation.crash(6);
        simulation.run_for(millis(100 * seed));
        simulation.restart(12, 1, address(12));
        simulation.run_until(secs(10), Simulation::is_agreed);
        simulation.run_for(secs(5));
        assert!(simulation.down_events_of(6) <= 12, "seed {seed}");
        assert_ne!(simulation.status(12, 6), Some(Status::Alive));
    }
}
