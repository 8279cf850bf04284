//! Two operators race on one version and repeat what got no answer: one of them wins, and repeats are never refused.

use crate::support::{drawn, expect_kept, expect_killed, explore, play_seeds, seeds, some_founded, without};
use millrudder_simulation::explore::Failure;
use millrudder_simulation::fault::Fault;
use millrudder_simulation::mechanism::Mechanism;
use millrudder_simulation::place::Place;
use millrudder_simulation::plan::{Load, Noise, Plan};
use millrudder_simulation::violation::Violation;
use millrudder_simulation::{MILLISECOND, SECOND};

/// Operators that race without rest; a third of all answers is lost.
fn plan() -> Plan {
    let mut plan = Plan::calm(2);
    plan.load = Load { operator_pace: 10 * MILLISECOND, ..Load::default() };
    plan.noise = Noise { lost_answers: 0.3, doubled: 0.02, late: 0.02, ..Noise::default() };
    plan
}

fn faults() -> Vec<Fault> {
    let of_machine = |index: usize| {
        let place = Place::Core(index);
        vec![
            Fault::Kill { place, down: 300 * MILLISECOND },
            Fault::PowerLoss { place, down: SECOND },
            Fault::Freeze { place, micros: 900 * MILLISECOND },
            Fault::Stop { place, down: 200 * MILLISECOND },
            Fault::Reset { place },
        ]
    };
    let of_all =
        [Fault::PowerLossOfAll { down: 300 * MILLISECOND }, Fault::LoseAnswers { micros: 800 * MILLISECOND }];
    (0..3).flat_map(of_machine).chain(of_all).collect()
}

fn at_every_step(plan: &Plan, stride: usize) -> Result<(), Failure> {
    explore(plan, faults(), 250 * MILLISECOND, stride)
}

#[test]
fn point_2() {
    expect_kept(at_every_step(&plan(), 2));
}

#[test]
fn point_2_with_two_and_three_faults() {
    let worlds = some_founded();
    expect_kept(play_seeds(&worlds, seeds(0..300), |seed| drawn(&worlds, &plan(), &faults(), seed)));
}

#[test]
fn point_2_fails_where_the_loser_is_confirmed() {
    let mutant = without(&plan(), Mechanism::LoserRefused);
    let violation = expect_killed(at_every_step(&mutant, 2), Mechanism::LoserRefused);
    assert!(matches!(violation, Violation::NotLinearizable { .. }), "{violation}");
}

#[test]
fn point_2_fails_where_syncs_are_not_awaited() {
    let mutant = without(&plan(), Mechanism::SyncBeforePersisted);
    let power = vec![Fault::PowerLossOfAll { down: 300 * MILLISECOND }];
    // An order is lost only where it is acknowledged before any of the disks has it: that takes a long look.
    let failed = explore(&mutant, power, SECOND, 1);
    let violation = expect_killed(failed, Mechanism::SyncBeforePersisted);
    assert!(!matches!(violation, Violation::Stuck { .. }), "{violation}");
}
