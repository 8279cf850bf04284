//! The traffic that a member sends does not grow with the size of the group.

mod support;

use support::{secs, Network, Simulation};

/// Average traffic that each member sends in a group without changes.
#[derive(Debug)]
struct Cost {
    datagrams_per_second: f64,
    bytes_per_second: f64,
}

fn steady_state_cost(simulation: &mut Simulation) -> Cost {
    let measured = secs(10);
    simulation.clear_observations();
    simulation.run_for(measured);
    assert_eq!(simulation.down_events(), 0);
    let divisor = measured.as_secs_f64() * simulation.nodes.len() as f64;
    let datagrams: u64 = simulation.nodes.iter().map(|node| node.datagrams_sent).sum();
    let bytes: u64 = simulation.nodes.iter().map(|node| node.bytes_sent).sum();
    Cost { datagrams_per_second: datagrams as f64 / divisor, bytes_per_second: bytes as f64 / divisor }
}

/// Returns the largest number of bytes that any member sends in the ten seconds after a crash.
fn max_bytes_sent_after_crash(simulation: &mut Simulation) -> u64 {
    simulation.clear_observations();
    simulation.crash(5);
    simulation.run_for(secs(10));
    simulation.assert_agreed();
    simulation.nodes.iter().map(|node| node.bytes_sent).max().unwrap_or(0)
}

#[test]
fn a_member_sends_the_same_in_groups_of_any_size() {
    for count in [12, 30, 100, 300] {
        let mut simulation = Simulation::converged(count, Network::default(), 11);
        let cost = steady_state_cost(&mut simulation);
        let max_bytes = max_bytes_sent_after_crash(&mut simulation);
        println!("{count} members: {cost:?}, after a crash at most {max_bytes} bytes in 10 s");
        assert!(cost.datagrams_per_second < 5.0, "{count} members: {cost:?}");
        assert!(cost.bytes_per_second < 300.0, "{count} members: {cost:?}");
        assert!(max_bytes < 20_000, "{count} members: {max_bytes}");
    }
}

#[test]
fn no_datagram_is_larger_than_configured() {
    let mut simulation = Simulation::new(Network::default(), millrudder_membership::Config::default(), 13);
    simulation.start_group(60);
    simulation.run_for(secs(5));
    let largest = simulation.nodes.iter().map(|node| node.largest_datagram_bytes).max();
    assert!(largest.is_some_and(|largest| largest <= 1_200), "{largest:?}");
}
