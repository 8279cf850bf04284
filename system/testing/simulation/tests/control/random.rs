//! Drawn runs of every kind of fault.

use crate::support::{expect_kept, play, play_seeds, seeds, some_founded};
use millrudder_simulation::plan::Plan;

/// Seeds of the ordinary test run.
const ORDINARY: std::ops::Range<u64> = 0..400;
/// The same of the runs that are drawn harder.
const HARDER: std::ops::Range<u64> = 0..200;
/// Seeds that broke a promise once; each ordinary run plays them, too.
const FOUND: [u64; 13] =
    [526, 2184, 3007, 5777, 20172, 30226, 41914, 100198, 103991, 114834, 127310, 127683, 134290];

#[test]
fn drawn_runs_keep_every_promise() {
    let worlds = some_founded();
    let plan_of = |seed: u64| Plan::drawn(seed, worlds[seed as usize % worlds.len()].now);
    expect_kept(play_seeds(&worlds, seeds(ORDINARY.chain(FOUND)), plan_of));
}

#[test]
fn runs_with_faults_that_overlap_keep_every_promise() {
    let worlds = some_founded();
    let plan_of = |seed: u64| Plan::drawn_harder(seed, worlds[seed as usize % worlds.len()].now);
    expect_kept(play_seeds(&worlds, seeds(HARDER), plan_of));
}

#[test]
fn a_run_is_repeated_by_its_seed() {
    let worlds = some_founded();
    let plan = Plan::drawn(7, worlds[7].now);
    let first = play(&worlds, &plan).map_err(|violation| violation.to_string());
    let second = play(&worlds, &plan).map_err(|violation| violation.to_string());
    assert_eq!(first, second);
}
