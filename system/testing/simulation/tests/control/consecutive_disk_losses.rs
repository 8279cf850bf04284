//! A second disk is lost right after a repair, a replacement or a shutdown: the remaining quorum has all data.

use crate::support::{
    bootstrapped_worlds, expect_no_violation, expect_violation, explore, explore_after_repair, play_seeds,
    random_plan, seeds, without,
};
use millrudder_clock::Instant;
use millrudder_simulation::explore::Failure;
use millrudder_simulation::fault::{Fault, Trigger};
use millrudder_simulation::machine_id::MachineId;
use millrudder_simulation::mechanism::Mechanism;
use millrudder_simulation::plan::Plan;
use millrudder_simulation::violation::Violation;
use millrudder_simulation::{MILLISECOND, SECOND};
use std::time::Duration;

/// When the first disk is lost.
const FIRST: Duration = Duration::from_secs(3);
/// How long a machine that loses its disk is down.
const DOWN: Duration = Duration::from_millis(400);

fn plan() -> Plan {
    let mut plan = Plan::without_faults(3);
    plan.load.message_interval = 60 * MILLISECOND;
    plan
}

fn first(fault: Fault) -> Plan {
    plan().with(Trigger::At(Instant::ORIGIN + FIRST), fault)
}

/// The loss of the disk of each machine of a kind but one.
fn losses_but(kind: impl Fn(usize) -> MachineId, spared: usize) -> Vec<Fault> {
    let others = (0..3).filter(|index| *index != spared).map(kind);
    others.map(|machine_id| Fault::Wipe { machine_id, downtime: DOWN }).collect()
}

/// A machine is replaced, and once its data is restored another loses its disk.
fn after_replacement(
    kind: impl Fn(usize) -> MachineId + Copy,
    mutate: impl Fn(Plan) -> Plan,
) -> Result<(), Failure> {
    for index in 0..3 {
        let plan = mutate(first(Fault::Replace { machine_id: kind(index), downtime: DOWN }));
        explore_after_repair(&plan, losses_but(kind, index), 150 * MILLISECOND, 2)?;
    }
    Ok(())
}

/// A machine restarts or shuts down, and at any step meanwhile another loses its disk.
fn around_absence(
    kind: impl Fn(usize) -> MachineId + Copy,
    first_fault: impl Fn(MachineId) -> Fault,
) -> Result<(), Failure> {
    for index in 0..3 {
        let plan = first(first_fault(kind(index)));
        explore(&plan, losses_but(kind, index), 3 * SECOND, 12)?;
    }
    Ok(())
}

#[test]
fn consecutive_disk_losses_core_after_a_replacement() {
    expect_no_violation(after_replacement(MachineId::Core, |plan| plan));
}

#[test]
fn consecutive_disk_losses_store_after_a_replacement() {
    expect_no_violation(after_replacement(MachineId::Store, |plan| plan));
}

#[test]
fn consecutive_disk_losses_core_around_a_restart() {
    expect_no_violation(around_absence(MachineId::Core, |machine_id| Fault::Kill {
        machine_id,
        downtime: 900 * MILLISECOND,
    }));
}

#[test]
fn consecutive_disk_losses_store_around_a_restart() {
    expect_no_violation(around_absence(MachineId::Store, |machine_id| Fault::Kill {
        machine_id,
        downtime: 900 * MILLISECOND,
    }));
}

#[test]
fn consecutive_disk_losses_core_around_a_shutdown() {
    expect_no_violation(around_absence(MachineId::Core, |machine_id| Fault::Shutdown {
        machine_id,
        downtime: 900 * MILLISECOND,
    }));
}

#[test]
fn consecutive_disk_losses_store_around_a_shutdown() {
    expect_no_violation(around_absence(MachineId::Store, |machine_id| Fault::Shutdown {
        machine_id,
        downtime: 900 * MILLISECOND,
    }));
}

#[test]
fn consecutive_disk_losses_with_two_and_three_faults() {
    let worlds = bootstrapped_worlds();
    let losses = |machine_id: MachineId| {
        [
            Fault::Wipe { machine_id, downtime: DOWN },
            Fault::Replace { machine_id, downtime: DOWN },
            Fault::Shutdown { machine_id, downtime: DOWN },
            Fault::Kill { machine_id, downtime: SECOND },
        ]
    };
    let machine_ids = (0..3).map(MachineId::Core).chain((0..3).map(MachineId::Store));
    let menu: Vec<Fault> = machine_ids.flat_map(losses).collect();
    expect_no_violation(play_seeds(&worlds, seeds(0..300), |seed| {
        random_plan(&worlds, &plan(), &menu, seed)
    }));
}

#[test]
fn consecutive_disk_losses_fails_where_an_empty_store_keeps_its_identity() {
    let mutate = |plan: Plan| without(&plan, Mechanism::CatchUpBeforeReplica);
    let violation =
        expect_violation(after_replacement(MachineId::Store, mutate), Mechanism::CatchUpBeforeReplica);
    assert!(matches!(violation, Violation::MessageLost { .. }), "{violation}");
}

#[test]
fn consecutive_disk_losses_fails_where_an_empty_core_machine_keeps_its_identity() {
    let mutate = |plan: Plan| without(&plan, Mechanism::NewIdentityAfterWipe);
    let violation =
        expect_violation(after_replacement(MachineId::Core, mutate), Mechanism::NewIdentityAfterWipe);
    println!("{violation}");
}
