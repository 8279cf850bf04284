//! After hundreds of changes a restarted member catches up before it serves.

use crate::forgetful::Forgetful;
use crate::support::{
    bootstrapped, bootstrapped_worlds, expect_no_violation, expect_violation, explore_from, play_seeds,
    random_plan, seeds, without,
};
use millrudder_simulation::control_machine::ControlMachine;
use millrudder_simulation::explore::{ExplorationStart, Failure};
use millrudder_simulation::fault::Fault;
use millrudder_simulation::machine_id::MachineId;
use millrudder_simulation::mechanism::Mechanism;
use millrudder_simulation::plan::{FaultRates, Load, Plan};
use millrudder_simulation::violation::Violation;
use millrudder_simulation::world::World;
use millrudder_simulation::{MILLISECOND, SECOND};

/// Number of changes before the faults.
const CHANGES: usize = 300;

/// Frequent changes, a fifth of whose responses are lost.
fn plan() -> Plan {
    let mut plan = Plan::without_faults(4);
    plan.load = Load { max_operator_pause: 4 * MILLISECOND, message_interval: SECOND };
    plan.fault_rates = FaultRates { lost_responses: 0.2, ..FaultRates::default() };
    plan
}

/// Runs the world until hundreds of changes were acknowledged.
fn after_changes<M: ControlMachine>(mut world: World<M>, plan: &Plan) -> World<M> {
    world.resume(plan.clone());
    while world.accepted_changes() < CHANGES {
        world.run_until(world.now + 100 * MILLISECOND).expect("no invariant is violated without faults");
    }
    world
}

fn faults() -> Vec<Fault> {
    let of_machine = |index: usize| {
        let machine_id = MachineId::Core(index);
        vec![
            Fault::Kill { machine_id, downtime: 1_500 * MILLISECOND },
            Fault::PowerLoss { machine_id, downtime: 200 * MILLISECOND },
            Fault::Wipe { machine_id, downtime: 300 * MILLISECOND },
            Fault::Isolate { machine_id, duration: 2 * SECOND },
        ]
    };
    let all = Fault::PowerLossOfAll { downtime: 300 * MILLISECOND };
    (0..3).flat_map(of_machine).chain([all]).collect()
}

fn at_every_step<M>(world: World<M>, plan: &Plan, stride: usize) -> Result<(), Failure>
where
    M: ControlMachine + Send + Sync,
    World<M>: Send + Sync,
{
    let world = after_changes(world, plan);
    explore_from(&world, plan, ExplorationStart::Immediate, faults(), 100 * MILLISECOND, stride)
}

#[test]
fn restart_after_many_changes() {
    expect_no_violation(at_every_step(bootstrapped(4), &plan(), 4));
}

#[test]
fn restart_after_many_changes_with_two_and_three_faults() {
    let worlds: Vec<World> = bootstrapped_worlds().into_iter().take(2).collect();
    let worlds: Vec<World> = worlds.into_iter().map(|world| after_changes(world, &plan())).collect();
    expect_no_violation(play_seeds(&worlds, seeds(0..100), |seed| {
        random_plan(&worlds, &plan(), &faults(), seed)
    }));
}

#[test]
fn restart_after_many_changes_fails_where_snapshots_omit_accepted_configurations() {
    let world = World::<Forgetful>::bootstrapped(Plan::without_faults(4)).expect("it bootstraps");
    let violation = expect_violation(at_every_step(world, &plan(), 4), Mechanism::DigestsInSnapshot);
    assert!(
        matches!(violation, Violation::NotLinearizable { .. } | Violation::DuplicateEffect { .. }),
        "{violation}"
    );
}

#[test]
fn restart_after_many_changes_fails_where_records_since_the_checkpoint_are_not_replayed() {
    let mutant = without(&plan(), Mechanism::RecordsReplayed);
    expect_violation(at_every_step(bootstrapped(4), &mutant, 4), Mechanism::RecordsReplayed);
}
