//! Random runs with every kind of fault.

use crate::support::{bootstrapped_worlds, expect_no_violation, play, play_seeds, seeds};
use millrudder_simulation::plan::Plan;

/// Seeds of a test run by default.
const DEFAULT_SEEDS: std::ops::Range<u64> = 0..400;
/// The same for runs with overlapping faults.
const OVERLAPPING: std::ops::Range<u64> = 0..200;
/// Seeds that violated an invariant once; each test run by default includes them.
const REGRESSION_SEEDS: [u64; 13] =
    [526, 2184, 3007, 5777, 20172, 30226, 41914, 100198, 103991, 114834, 127310, 127683, 134290];

#[test]
fn random_runs_violate_no_invariant() {
    let worlds = bootstrapped_worlds();
    let plan_of = |seed: u64| Plan::random(seed, worlds[seed as usize % worlds.len()].now);
    expect_no_violation(play_seeds(&worlds, seeds(DEFAULT_SEEDS.chain(REGRESSION_SEEDS)), plan_of));
}

#[test]
fn runs_with_overlapping_faults_violate_no_invariant() {
    let worlds = bootstrapped_worlds();
    let plan_of = |seed: u64| Plan::random_overlapping(seed, worlds[seed as usize % worlds.len()].now);
    expect_no_violation(play_seeds(&worlds, seeds(OVERLAPPING), plan_of));
}

#[test]
fn a_run_is_reproduced_by_its_seed() {
    let worlds = bootstrapped_worlds();
    let plan = Plan::random(7, worlds[7].now);
    let first = play(&worlds, &plan).map_err(|violation| violation.to_string());
    let second = play(&worlds, &plan).map_err(|violation| violation.to_string());
    assert_eq!(first, second);
}
