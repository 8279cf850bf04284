//! No answer goes to another caller, and no call takes effect twice after silence or a reset.

use crate::support::{drawn, expect_kept, expect_killed, explore, play_seeds, seeds, some_founded, without};
use millrudder_simulation::explore::Failure;
use millrudder_simulation::fault::Fault;
use millrudder_simulation::mechanism::Mechanism;
use millrudder_simulation::place::Place;
use millrudder_simulation::plan::{Load, Noise, Plan};
use millrudder_simulation::MILLISECOND;

/// Messages and orders without rest, on connections whose last messages straggle in after their end.
fn plan() -> Plan {
    let mut plan = Plan::calm(5);
    plan.load = Load { operator_pace: 20 * MILLISECOND, message_every: 10 * MILLISECOND };
    plan.noise = Noise { doubled: 0.05, late: 0.05, lost_answers: 0.2, after_close: 1.0 };
    plan
}

fn faults() -> Vec<Fault> {
    let stores = (0..3).map(Place::Store);
    let cores = (0..3).map(Place::Core);
    let dispatchers = (0..2).map(Place::Dispatcher);
    let places: Vec<Place> = stores.chain(cores).chain(dispatchers).collect();
    let resets = places.iter().map(|place| Fault::Reset { place: *place });
    let kills = places.iter().map(|place| Fault::Kill { place: *place, down: 100 * MILLISECOND });
    resets.chain(kills).collect()
}

fn at_every_step(plan: &Plan, stride: usize) -> Result<(), Failure> {
    explore(plan, faults(), 200 * MILLISECOND, stride)
}

#[test]
fn point_5() {
    expect_kept(at_every_step(&plan(), 4));
}

#[test]
fn point_5_with_two_and_three_faults() {
    let worlds = some_founded();
    expect_kept(play_seeds(&worlds, seeds(0..300), |seed| drawn(&worlds, &plan(), &faults(), seed)));
}

#[test]
fn point_5_fails_where_names_of_requests_are_used_again() {
    let mutant = without(&plan(), Mechanism::FreshRequestNames);
    let violation = expect_killed(at_every_step(&mutant, 4), Mechanism::FreshRequestNames);
    println!("{violation}");
}
