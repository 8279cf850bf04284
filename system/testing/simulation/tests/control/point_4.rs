//! After hundreds of changes a restarted member catches up, and leads nothing before.

use crate::forgetful::Forgetful;
use crate::support::{
    drawn, expect_kept, expect_killed, explore_from, founded, play_seeds, seeds, some_founded, without,
};
use millrudder_simulation::control_machine::ControlMachine;
use millrudder_simulation::explore::{Begins, Failure};
use millrudder_simulation::fault::Fault;
use millrudder_simulation::mechanism::Mechanism;
use millrudder_simulation::place::Place;
use millrudder_simulation::plan::{Load, Noise, Plan};
use millrudder_simulation::violation::Violation;
use millrudder_simulation::world::World;
use millrudder_simulation::{MILLISECOND, SECOND};

/// Changes before the faults.
const CHANGES: usize = 300;

/// A storm of changes of which one answer in five is lost.
fn plan() -> Plan {
    let mut plan = Plan::calm(4);
    plan.load = Load { operator_pace: 4 * MILLISECOND, message_every: SECOND };
    plan.noise = Noise { lost_answers: 0.2, ..Noise::default() };
    plan
}

/// A world in which hundreds of changes have been made.
fn after_changes<M: ControlMachine>(mut world: World<M>, plan: &Plan) -> World<M> {
    world.resume(plan.clone());
    while world.orders_accepted() < CHANGES {
        world.run_until(world.now + 100 * MILLISECOND).expect("nothing breaks without faults");
    }
    world
}

fn faults() -> Vec<Fault> {
    let of_machine = |index: usize| {
        let place = Place::Core(index);
        vec![
            Fault::Kill { place, down: 1_500 * MILLISECOND },
            Fault::PowerLoss { place, down: 200 * MILLISECOND },
            Fault::Wipe { place, down: 300 * MILLISECOND },
            Fault::Isolate { place, micros: 2 * SECOND },
        ]
    };
    let all = Fault::PowerLossOfAll { down: 300 * MILLISECOND };
    (0..3).flat_map(of_machine).chain([all]).collect()
}

fn at_every_step<M>(world: World<M>, plan: &Plan, stride: usize) -> Result<(), Failure>
where
    M: ControlMachine + Send + Sync,
    World<M>: Send + Sync,
{
    let world = after_changes(world, plan);
    explore_from(&world, plan, Begins::AtOnce, faults(), 100 * MILLISECOND, stride)
}

#[test]
fn point_4() {
    expect_kept(at_every_step(founded(4), &plan(), 4));
}

#[test]
fn point_4_with_two_and_three_faults() {
    let worlds: Vec<World> = some_founded().into_iter().take(2).collect();
    let worlds: Vec<World> = worlds.into_iter().map(|world| after_changes(world, &plan())).collect();
    expect_kept(play_seeds(&worlds, seeds(0..100), |seed| drawn(&worlds, &plan(), &faults(), seed)));
}

#[test]
fn point_4_fails_where_snapshots_lack_what_was_accepted() {
    let world = World::<Forgetful>::founded(Plan::calm(4)).expect("it is founded");
    let violation = expect_killed(at_every_step(world, &plan(), 4), Mechanism::DigestsInSnapshot);
    assert!(
        matches!(violation, Violation::NotLinearizable { .. } | Violation::SecondEffect { .. }),
        "{violation}"
    );
}

#[test]
fn point_4_fails_where_a_member_leads_with_its_last_checkpoint() {
    let mutant = without(&plan(), Mechanism::RecordsReplayed);
    expect_killed(at_every_step(founded(4), &mutant, 4), Mechanism::RecordsReplayed);
}
