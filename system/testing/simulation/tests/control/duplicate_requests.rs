//! No response reaches another caller, and no request takes effect twice after a time-out or a reset.

use crate::support::{
    bootstrapped_worlds, expect_no_violation, expect_violation, explore, play_seeds, random_plan, seeds,
    without,
};
use millrudder_simulation::explore::Failure;
use millrudder_simulation::fault::Fault;
use millrudder_simulation::machine_id::MachineId;
use millrudder_simulation::mechanism::Mechanism;
use millrudder_simulation::plan::{FaultRates, Load, Plan};
use millrudder_simulation::MILLISECOND;

/// Messages and requests with short pauses, on connections whose last messages arrive after the close.
fn plan() -> Plan {
    let mut plan = Plan::without_faults(5);
    plan.load = Load { max_operator_pause: 20 * MILLISECOND, message_interval: 10 * MILLISECOND };
    plan.fault_rates = FaultRates { duplicated: 0.05, delayed: 0.05, lost_responses: 0.2, after_close: 1.0 };
    plan
}

fn faults() -> Vec<Fault> {
    let stores = (0..3).map(MachineId::Store);
    let cores = (0..3).map(MachineId::Core);
    let dispatchers = (0..2).map(MachineId::Dispatcher);
    let machine_ids: Vec<MachineId> = stores.chain(cores).chain(dispatchers).collect();
    let resets = machine_ids.iter().map(|machine_id| Fault::ResetConnections { machine_id: *machine_id });
    let kills = machine_ids
        .iter()
        .map(|machine_id| Fault::Kill { machine_id: *machine_id, downtime: 100 * MILLISECOND });
    resets.chain(kills).collect()
}

fn at_every_step(plan: &Plan, stride: usize) -> Result<(), Failure> {
    explore(plan, faults(), 200 * MILLISECOND, stride)
}

#[test]
fn duplicate_requests() {
    expect_no_violation(at_every_step(&plan(), 4));
}

#[test]
fn duplicate_requests_with_two_and_three_faults() {
    let worlds = bootstrapped_worlds();
    expect_no_violation(play_seeds(&worlds, seeds(0..300), |seed| {
        random_plan(&worlds, &plan(), &faults(), seed)
    }));
}

#[test]
fn duplicate_requests_fails_where_request_ids_are_reused() {
    let mutant = without(&plan(), Mechanism::UniqueRequestIds);
    let violation = expect_violation(at_every_step(&mutant, 4), Mechanism::UniqueRequestIds);
    println!("{violation}");
}
