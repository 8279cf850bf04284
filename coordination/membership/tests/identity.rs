//! Restarts, clocks that were set back, reused addresses, and two processes with one name.

mod support;

use millrudder_membership::{Event, Input, Metadata, Status};
use support::{address, millis, name, secs, Network, Simulation};

fn ups_of(simulation: &Simulation, index: usize) -> usize {
    let up = name(index);
    simulation.count(|seen| matches!(&seen.event, Event::MemberUp(member) if *member.name() == up))
}

#[test]
fn a_quick_restart_is_reported_as_one_process_down_and_another_up() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        simulation.crash(6);
        simulation.run_for(millis(300));
        simulation.restart(6, 2, address(6));
        simulation.run_until(secs(5), Simulation::is_agreed);
        assert_eq!(simulation.down_events_of(6), 11, "seed {seed}");
        assert_eq!(ups_of(&simulation, 6), 11, "seed {seed}");
        assert_eq!(simulation.down_events(), 11, "seed {seed}");
    }
}

#[test]
fn a_restart_with_an_earlier_clock_regains_the_name() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        simulation.crash(6);
        simulation.run_for(secs(1));
        simulation.restart(6, 9_000_000, address(6));
        simulation.run_until(secs(5), Simulation::is_agreed);
        simulation.crash(6);
        simulation.run_for(secs(1));
        simulation.restart(6, 8_000_000, address(6));
        simulation.run_until(secs(5), Simulation::is_agreed);
        let start = simulation.nodes[0].membership.member(&name(6)).map(|member| member.id.start.0);
        assert_eq!(start, Some(8_000_000), "seed {seed}");
    }
}

#[test]
fn a_restart_at_another_address_is_followed() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        simulation.crash(6);
        simulation.run_for(millis(500));
        simulation.restart(6, 2, address(77));
        simulation.run_until(secs(5), Simulation::is_agreed);
        let held = simulation.nodes[0].membership.member(&name(6)).map(|member| member.address);
        assert_eq!(held, Some(address(77)), "seed {seed}");
    }
}

#[test]
fn a_member_at_the_address_of_another_replaces_it() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        simulation.crash(6);
        simulation.run_for(millis(200));
        simulation.restart(12, 1, address(6));
        let found = simulation.run_until(secs(6), Simulation::is_agreed);
        assert!(found < millis(600), "seed {seed}: {found:?}");
        assert_eq!(simulation.down_events(), simulation.down_events_of(6), "seed {seed}");
    }
}

#[test]
fn two_members_that_swap_addresses_both_stay_alive() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        simulation.crash(6);
        simulation.crash(7);
        simulation.run_for(millis(500));
        simulation.restart(6, 2, address(7));
        simulation.restart(7, 2, address(6));
        simulation.run_until(secs(6), Simulation::is_agreed);
    }
}

#[test]
fn the_earlier_of_two_processes_under_one_name_is_superseded() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(5, Network::default(), seed);
        simulation.start(5, 7, address(5));
        // A later process with the name of member 4, at another address.
        let namesake = support::local_member(4, 2, address(5));
        simulation.nodes[5].membership = millrudder_membership::Membership::new(
            millrudder_membership::Config::default(),
            namesake,
            seed,
            simulation.now,
        )
        .expect("valid settings");
        simulation.join(5);
        simulation.run_for(secs(10));
        let superseded = simulation
            .count(|seen| seen.by == 4 && matches!(seen.event, Event::Superseded { by } if by.0 == 2));
        assert_eq!(superseded, 1, "seed {seed}");
        assert_eq!(simulation.nodes[4].membership.next_deadline(), None);
        assert_eq!(simulation.status(0, 4), Some(Status::Alive), "seed {seed}");
        let held = simulation.nodes[0].membership.member(&name(4)).map(|member| member.address);
        assert_eq!(held, Some(address(5)), "seed {seed}");
    }
}

#[test]
fn changed_metadata_is_disseminated() {
    for seed in support::seeds() {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        let metadata = Metadata::new(vec![9; 100]).expect("a permitted length");
        simulation.input(3, Input::UpdateMetadata(metadata));
        simulation.run_until(secs(3), Simulation::is_agreed);
        let updates = simulation.count(
            |seen| matches!(&seen.event, Event::MemberUpdated(member) if member.metadata == vec![9; 100]),
        );
        assert_eq!(updates, 11, "seed {seed}");
    }
}

#[test]
fn a_requested_probe_is_sent_at_once() {
    let mut simulation = Simulation::converged(12, Network::default(), 1);
    let id = simulation.nodes[6].membership.local().id.clone();
    simulation.input(3, Input::Probe(id.clone()));
    simulation.run_for(secs(5));
    assert_eq!(simulation.suspect_events(), 0);
    simulation.crash(6);
    simulation.input(3, Input::Probe(id));
    simulation.run_for(millis(600));
    assert_eq!(simulation.status(3, 6), Some(Status::Suspect));
}
