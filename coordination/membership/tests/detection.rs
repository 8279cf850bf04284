//! Failures are detected within bounded time, and live members are not declared dead.

mod support;

use millrudder_membership::Status;
use support::{millis, secs, Network, Simulation};

/// Network with the loss rate of the test for false positives.
fn lossy() -> Network {
    Network { loss: 0.03, ..Network::default() }
}

#[test]
fn a_crash_is_detected_by_all_in_time_in_a_group_of_twelve() {
    let mut times = Vec::new();
    for seed in 0..40 {
        let mut simulation = Simulation::converged(12, Network::default(), seed);
        simulation.crash(7);
        times.push(simulation.run_until(secs(10), |simulation| simulation.all_report(7, Status::Dead)));
        simulation.assert_agreed();
        assert_eq!(simulation.down_events(), 11);
    }
    times.sort();
    println!("time until all members report the death: median {:?}, maximum {:?}", times[20], times[39]);
    assert!(times[20] < millis(2_300), "median {:?}", times[20]);
    assert!(times[39] < secs(3), "maximum {:?}", times[39]);
}

#[test]
fn nobody_is_declared_dead_at_three_percent_loss() {
    let mut simulation = Simulation::converged(12, lossy(), 1);
    simulation.run_for(secs(1_800));
    println!("suspicions in 30 minutes: {}", simulation.suspect_events());
    assert_eq!(simulation.down_events(), 0);
}
