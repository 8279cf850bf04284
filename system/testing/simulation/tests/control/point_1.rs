//! A control machine was cut off for some twenty seconds: it hands out nothing old, refuses nothing wrongly, confirms
//! nothing.

use crate::support::{drawn, expect_kept, expect_killed, explore, play_seeds, seeds, some_founded, without};
use millrudder_simulation::explore::Failure;
use millrudder_simulation::fault::{Fault, When};
use millrudder_simulation::mechanism::Mechanism;
use millrudder_simulation::place::Place;
use millrudder_simulation::plan::{Load, Noise, Plan};
use millrudder_simulation::violation::Violation;
use millrudder_simulation::{MILLISECOND, SECOND};

/// A cut as the users saw it, and one that is long enough for every time-out.
const LONG: u64 = 20 * SECOND;
const ENOUGH: u64 = 5 * SECOND;

/// Operators that go on all the time at every machine, and lose answers; a dispatcher that starts anew meanwhile.
fn plan() -> Plan {
    let mut plan = Plan::calm(1);
    plan.load = Load { operator_pace: 150 * MILLISECOND, ..Load::default() };
    plan.noise = Noise { lost_answers: 0.2, ..Noise::default() };
    plan
}

fn with_restart(plan: Plan) -> Plan {
    let restart = Fault::Kill { place: Place::Dispatcher(0), down: 100 * MILLISECOND };
    plan.with(When::At(6 * SECOND), restart)
}

/// Each core machine, alone and with a dispatcher that sees no other, cut off in both directions or in one, or frozen.
fn cuts(micros: u64) -> Vec<Fault> {
    let of_machine = |index: usize| {
        let place = Place::Core(index);
        vec![
            Fault::Isolate { place, micros },
            Fault::Split { places: vec![place, Place::Dispatcher(0)], micros },
            Fault::Mute { place, micros },
            Fault::Freeze { place, micros },
        ]
    };
    (0..3).flat_map(of_machine).collect()
}

fn at_every_step(plan: &Plan, micros: u64, stride: usize) -> Result<(), Failure> {
    explore(plan, cuts(micros), 300 * MILLISECOND, stride)
}

#[test]
fn point_1() {
    expect_kept(at_every_step(&with_restart(plan()), ENOUGH, 2));
}

#[test]
fn point_1_for_twenty_seconds() {
    expect_kept(at_every_step(&with_restart(plan()), LONG, 24));
}

#[test]
fn point_1_with_two_and_three_faults() {
    let worlds = some_founded();
    let menu = [cuts(ENOUGH), cuts(700 * MILLISECOND)].concat();
    expect_kept(play_seeds(&worlds, seeds(0..300), |seed| drawn(&worlds, &plan(), &menu, seed)));
}

#[test]
fn point_1_fails_without_majority_contact() {
    let mutant = without(&with_restart(plan()), Mechanism::QuorumContact);
    let violation = expect_killed(at_every_step(&mutant, ENOUGH, 2), Mechanism::QuorumContact);
    assert!(matches!(violation, Violation::StaleTold { .. } | Violation::NotLearnt { .. }), "{violation}");
}

#[test]
fn point_1_fails_without_confirmed_reads() {
    let mutant = without(&plan(), Mechanism::ConfirmedRead);
    let violation = expect_killed(at_every_step(&mutant, ENOUGH, 2), Mechanism::ConfirmedRead);
    assert!(matches!(violation, Violation::NotLinearizable { .. }), "{violation}");
}

#[test]
fn point_1_fails_where_an_order_is_confirmed_before_it_is_committed() {
    let mutant = without(&plan(), Mechanism::CommitBeforeAnswer);
    let violation = expect_killed(at_every_step(&mutant, ENOUGH, 2), Mechanism::CommitBeforeAnswer);
    assert!(
        matches!(violation, Violation::NotLinearizable { .. } | Violation::StaleTold { .. }),
        "{violation}"
    );
}

#[test]
fn point_1_fails_where_old_state_is_adopted() {
    let mut plan = without(&with_restart(plan()), Mechanism::OnlyNewerAdopted);
    plan.noise.after_close = 1.0;
    let violation = expect_killed(at_every_step(&plan, ENOUGH, 2), Mechanism::OnlyNewerAdopted);
    assert!(matches!(violation, Violation::WentBack { .. }), "{violation}");
}
