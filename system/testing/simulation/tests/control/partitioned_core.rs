//! A partitioned core machine publishes no stale state, rejects no request wrongly and acknowledges none.

use crate::support::{
    bootstrapped_worlds, expect_no_violation, expect_violation, explore, play_seeds, random_plan, seeds,
    without,
};
use millrudder_clock::Instant;
use millrudder_simulation::explore::Failure;
use millrudder_simulation::fault::{Fault, Trigger};
use millrudder_simulation::machine_id::MachineId;
use millrudder_simulation::mechanism::Mechanism;
use millrudder_simulation::plan::{FaultRates, Load, Plan};
use millrudder_simulation::violation::Violation;
use millrudder_simulation::{MILLISECOND, SECOND};
use std::time::Duration;

/// A partition as the users' deployments have it.
const LONG: Duration = Duration::from_secs(20);
/// A partition that is longer than every time-out.
const ENOUGH: Duration = Duration::from_secs(5);

/// Operators with short pauses, a fifth of whose responses are lost.
fn plan() -> Plan {
    let mut plan = Plan::without_faults(1);
    plan.load = Load { max_operator_pause: 150 * MILLISECOND, ..Load::default() };
    plan.fault_rates = FaultRates { lost_responses: 0.2, ..FaultRates::default() };
    plan
}

/// Restarts a dispatcher meanwhile.
fn with_restart(plan: Plan) -> Plan {
    let restart = Fault::Kill { machine_id: MachineId::Dispatcher(0), downtime: 100 * MILLISECOND };
    plan.with(Trigger::At(Instant::ORIGIN + 6 * SECOND), restart)
}

/// Each core machine, alone or with a dispatcher that reaches no other, partitioned in both directions or one, or frozen.
fn partitions(duration: Duration) -> Vec<Fault> {
    let of_machine = |index: usize| {
        let machine_id = MachineId::Core(index);
        vec![
            Fault::Isolate { machine_id, duration },
            Fault::Partition { machine_ids: vec![machine_id, MachineId::Dispatcher(0)], duration },
            Fault::BlockOutbound { machine_id, duration },
            Fault::Freeze { machine_id, duration },
        ]
    };
    (0..3).flat_map(of_machine).collect()
}

fn at_every_step(plan: &Plan, duration: Duration, stride: usize) -> Result<(), Failure> {
    explore(plan, partitions(duration), 300 * MILLISECOND, stride)
}

#[test]
fn partitioned_core() {
    expect_no_violation(at_every_step(&with_restart(plan()), ENOUGH, 2));
}

#[test]
fn partitioned_core_for_twenty_seconds() {
    expect_no_violation(at_every_step(&with_restart(plan()), LONG, 24));
}

#[test]
fn partitioned_core_with_two_and_three_faults() {
    let worlds = bootstrapped_worlds();
    let menu = [partitions(ENOUGH), partitions(700 * MILLISECOND)].concat();
    expect_no_violation(play_seeds(&worlds, seeds(0..300), |seed| {
        random_plan(&worlds, &plan(), &menu, seed)
    }));
}

#[test]
fn partitioned_core_fails_without_quorum_contact() {
    let mutant = without(&with_restart(plan()), Mechanism::QuorumContact);
    let violation = expect_violation(at_every_step(&mutant, ENOUGH, 2), Mechanism::QuorumContact);
    assert!(
        matches!(violation, Violation::StalePublished { .. } | Violation::NotPropagated { .. }),
        "{violation}"
    );
}

#[test]
fn partitioned_core_fails_without_confirmed_reads() {
    let mutant = without(&plan(), Mechanism::ConfirmedRead);
    let violation = expect_violation(at_every_step(&mutant, ENOUGH, 2), Mechanism::ConfirmedRead);
    assert!(matches!(violation, Violation::NotLinearizable { .. }), "{violation}");
}

#[test]
fn partitioned_core_fails_where_an_update_is_acknowledged_before_it_is_committed() {
    let mutant = without(&plan(), Mechanism::CommitBeforeResponse);
    let violation = expect_violation(at_every_step(&mutant, ENOUGH, 2), Mechanism::CommitBeforeResponse);
    assert!(
        matches!(violation, Violation::NotLinearizable { .. } | Violation::StalePublished { .. }),
        "{violation}"
    );
}

#[test]
fn partitioned_core_fails_where_older_state_is_adopted() {
    let mut plan = without(&with_restart(plan()), Mechanism::OnlyNewerAdopted);
    plan.fault_rates.after_close = 1.0;
    let violation = expect_violation(at_every_step(&plan, ENOUGH, 2), Mechanism::OnlyNewerAdopted);
    assert!(matches!(violation, Violation::Regressed { .. }), "{violation}");
}
