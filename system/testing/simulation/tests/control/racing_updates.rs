//! Two operators race to update one version and retry without a response: one wins, and retries are never rejected.

use crate::support::{
    bootstrapped_worlds, expect_no_violation, expect_violation, explore, play_seeds, random_plan, seeds,
    without,
};
use millrudder_simulation::explore::Failure;
use millrudder_simulation::fault::Fault;
use millrudder_simulation::machine_id::MachineId;
use millrudder_simulation::mechanism::Mechanism;
use millrudder_simulation::plan::{FaultRates, Load, Plan};
use millrudder_simulation::violation::Violation;
use millrudder_simulation::{MILLISECOND, SECOND};

/// Operators almost without pauses, a third of whose responses are lost.
fn plan() -> Plan {
    let mut plan = Plan::without_faults(2);
    plan.load = Load { max_operator_pause: 10 * MILLISECOND, ..Load::default() };
    plan.fault_rates =
        FaultRates { lost_responses: 0.3, duplicated: 0.02, delayed: 0.02, ..FaultRates::default() };
    plan
}

fn faults() -> Vec<Fault> {
    let of_machine = |index: usize| {
        let machine_id = MachineId::Core(index);
        vec![
            Fault::Kill { machine_id, downtime: 300 * MILLISECOND },
            Fault::PowerLoss { machine_id, downtime: SECOND },
            Fault::Freeze { machine_id, duration: 900 * MILLISECOND },
            Fault::Shutdown { machine_id, downtime: 200 * MILLISECOND },
            Fault::ResetConnections { machine_id },
        ]
    };
    let of_all = [
        Fault::PowerLossOfAll { downtime: 300 * MILLISECOND },
        Fault::LoseResponses { duration: 800 * MILLISECOND },
    ];
    (0..3).flat_map(of_machine).chain(of_all).collect()
}

fn at_every_step(plan: &Plan, stride: usize) -> Result<(), Failure> {
    explore(plan, faults(), 250 * MILLISECOND, stride)
}

#[test]
fn racing_updates() {
    expect_no_violation(at_every_step(&plan(), 2));
}

#[test]
fn racing_updates_with_two_and_three_faults() {
    let worlds = bootstrapped_worlds();
    expect_no_violation(play_seeds(&worlds, seeds(0..300), |seed| {
        random_plan(&worlds, &plan(), &faults(), seed)
    }));
}

#[test]
fn racing_updates_fails_where_a_conflict_is_acknowledged() {
    let mutant = without(&plan(), Mechanism::ConflictRejected);
    let violation = expect_violation(at_every_step(&mutant, 2), Mechanism::ConflictRejected);
    assert!(matches!(violation, Violation::NotLinearizable { .. }), "{violation}");
}

#[test]
fn racing_updates_fails_where_syncs_are_not_awaited() {
    let mutant = without(&plan(), Mechanism::SyncBeforePersisted);
    let power = vec![Fault::PowerLossOfAll { downtime: 300 * MILLISECOND }];
    // An update is lost only if it is acknowledged before any disk has it: that takes a long window.
    let failed = explore(&mutant, power, SECOND, 1);
    let violation = expect_violation(failed, Mechanism::SyncBeforePersisted);
    assert!(!matches!(violation, Violation::NotRecovered { .. }), "{violation}");
}
