//! A second loss right after a repair, a replacement or a departure: what is left is a majority that has everything.

use crate::support::{
    drawn, expect_kept, expect_killed, explore, explore_after_repair, play_seeds, seeds, some_founded,
    without,
};
use millrudder_simulation::explore::Failure;
use millrudder_simulation::fault::{Fault, When};
use millrudder_simulation::mechanism::Mechanism;
use millrudder_simulation::place::Place;
use millrudder_simulation::plan::Plan;
use millrudder_simulation::violation::Violation;
use millrudder_simulation::{MILLISECOND, SECOND};

/// The first loss strikes so long after the founding.
const FIRST: u64 = 3 * SECOND;
const DOWN: u64 = 400 * MILLISECOND;

fn plan() -> Plan {
    let mut plan = Plan::calm(3);
    plan.load.message_every = 60 * MILLISECOND;
    plan
}

fn first(fault: Fault) -> Plan {
    plan().with(When::At(FIRST), fault)
}

/// The loss of each machine of a kind but one.
fn losses_but(kind: impl Fn(usize) -> Place, spared: usize) -> Vec<Fault> {
    let others = (0..3).filter(|index| *index != spared).map(kind);
    others.map(|place| Fault::Wipe { place, down: DOWN }).collect()
}

/// A machine is lost for good, another takes its place, and then a further one is lost.
fn after_replacement(
    kind: impl Fn(usize) -> Place + Copy,
    mutate: impl Fn(Plan) -> Plan,
) -> Result<(), Failure> {
    for index in 0..3 {
        let plan = mutate(first(Fault::Replace { place: kind(index), down: DOWN }));
        explore_after_repair(&plan, losses_but(kind, index), 150 * MILLISECOND, 2)?;
    }
    Ok(())
}

/// A machine is down for a while or told to stop, and at any step of that another loses its disk.
fn around_absence(
    kind: impl Fn(usize) -> Place + Copy,
    first_fault: impl Fn(Place) -> Fault,
) -> Result<(), Failure> {
    for index in 0..3 {
        let plan = first(first_fault(kind(index)));
        explore(&plan, losses_but(kind, index), 3 * SECOND, 12)?;
    }
    Ok(())
}

#[test]
fn point_3_core_after_a_replacement() {
    expect_kept(after_replacement(Place::Core, |plan| plan));
}

#[test]
fn point_3_store_after_a_replacement() {
    expect_kept(after_replacement(Place::Store, |plan| plan));
}

#[test]
fn point_3_core_around_a_restart() {
    expect_kept(around_absence(Place::Core, |place| Fault::Kill { place, down: 900 * MILLISECOND }));
}

#[test]
fn point_3_store_around_a_restart() {
    expect_kept(around_absence(Place::Store, |place| Fault::Kill { place, down: 900 * MILLISECOND }));
}

#[test]
fn point_3_core_around_a_departure() {
    expect_kept(around_absence(Place::Core, |place| Fault::Stop { place, down: 900 * MILLISECOND }));
}

#[test]
fn point_3_store_around_a_departure() {
    expect_kept(around_absence(Place::Store, |place| Fault::Stop { place, down: 900 * MILLISECOND }));
}

#[test]
fn point_3_with_two_and_three_faults() {
    let worlds = some_founded();
    let losses = |place: Place| {
        [
            Fault::Wipe { place, down: DOWN },
            Fault::Replace { place, down: DOWN },
            Fault::Stop { place, down: DOWN },
            Fault::Kill { place, down: SECOND },
        ]
    };
    let places = (0..3).map(Place::Core).chain((0..3).map(Place::Store));
    let menu: Vec<Fault> = places.flat_map(losses).collect();
    expect_kept(play_seeds(&worlds, seeds(0..300), |seed| drawn(&worlds, &plan(), &menu, seed)));
}

#[test]
fn point_3_fails_where_an_empty_store_counts_as_the_one_before() {
    let mutate = |plan: Plan| without(&plan, Mechanism::FilledBeforeCounted);
    let violation = expect_killed(after_replacement(Place::Store, mutate), Mechanism::FilledBeforeCounted);
    assert!(matches!(violation, Violation::MessageLost { .. }), "{violation}");
}

#[test]
fn point_3_fails_where_an_empty_core_machine_keeps_its_name() {
    let mutate = |plan: Plan| without(&plan, Mechanism::NewIdentityAfterWipe);
    let violation = expect_killed(after_replacement(Place::Core, mutate), Mechanism::NewIdentityAfterWipe);
    println!("{violation}");
}
