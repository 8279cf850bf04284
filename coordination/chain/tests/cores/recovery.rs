//! Bounds on the time until the core serves requests again after faults.

use crate::simulator::faults::Fault;
use crate::simulator::plan::Plan;
use crate::simulator::world::World;

/// Time of the fault in microseconds, long after the bootstrap has completed.
const FAULT_AT: u64 = 4_000_000;
const SECOND: u64 = 1_000_000;
/// Several seeds, to cover each machine's position in the chain and various moments between heartbeats.
const SEEDS: std::ops::Range<u64> = 0..12;

fn run_with_fault(seed: u64, fault: Fault) -> World {
    let mut world = World::new(Plan::with_fault(seed, FAULT_AT, fault));
    world.run_until(FAULT_AT + 8 * SECOND).expect("no invariant is broken");
    world
}

fn assert_replaced_within(world: &World, micros: u64) {
    let replaced = world.history.first_view_of(2, FAULT_AT).expect("the lost machine is replaced");
    assert!(replaced - FAULT_AT <= micros, "replaced after {} us", replaced - FAULT_AT);
}

#[test]
fn writes_are_answered_within_thirty_milliseconds_in_calm() {
    let mut world =
        World::new(Plan::with_fault(1, FAULT_AT, Fault::Kill { machine: 0, down_micros: SECOND }));
    world.run_until(FAULT_AT).expect("no invariant is broken");
    let longest =
        world.history.longest_wait(2 * SECOND..FAULT_AT - SECOND / 10).expect("writes were answered");
    assert!(longest < 30_000, "{longest} us");
}

#[test]
fn an_idle_core_sends_little() {
    let mut world =
        World::new(Plan::with_fault(1, FAULT_AT, Fault::Kill { machine: 0, down_micros: SECOND }));
    world.run_until(950_000).expect("no invariant is broken");
    assert_eq!(world.members_known(), vec![3, 3, 3]);
    let before = world.history.messages;
    world.run_until(1_000_000).expect("no invariant is broken");
    // Each of the three nodes sends two heartbeats per 100 ms; the lease holder and two candidates send occasional
    // requests.
    assert!(world.history.messages - before <= 12, "{} messages in 50 ms", world.history.messages - before);
}

#[test]
fn a_killed_member_is_replaced_within_a_second_and_comes_back() {
    for seed in SEEDS {
        let machine = seed as usize % 3;
        let world = run_with_fault(seed, Fault::Kill { machine, down_micros: 2 * SECOND });
        assert_replaced_within(&world, SECOND);
        let back = world.history.first_view_of(3, FAULT_AT + 2 * SECOND).expect("the member is readmitted");
        assert!(back - FAULT_AT <= 4 * SECOND, "admitted after {} us", back - FAULT_AT);
    }
}

#[test]
fn a_leaving_member_is_replaced_at_once() {
    for seed in SEEDS {
        let machine = seed as usize % 3;
        let world = run_with_fault(seed, Fault::Stop { machine, down_micros: 2 * SECOND });
        assert_replaced_within(&world, SECOND / 10);
        let longest = world.history.longest_wait(FAULT_AT..FAULT_AT + SECOND).expect("writes were answered");
        assert!(longest <= SECOND / 2, "a write waited {longest} us");
    }
}

#[test]
fn a_machine_with_a_new_disk_is_a_member_within_three_seconds_of_its_return() {
    for seed in SEEDS {
        let machine = seed as usize % 3;
        let world = run_with_fault(seed, Fault::WipeDisk { machine, down_micros: SECOND });
        let back = world.history.first_view_of(3, FAULT_AT + SECOND / 2).expect("the machine is admitted");
        assert!(back - FAULT_AT <= 4 * SECOND, "admitted after {} us", back - FAULT_AT);
        assert_eq!(world.members_known(), vec![3, 3, 3]);
    }
}

#[test]
fn a_member_that_stops_right_after_a_disk_was_lost_leaves_no_dead_view() {
    for seed in SEEDS {
        let lost = seed as usize % 3;
        let stopped = (lost + 1 + seed as usize / 3 % 2) % 3;
        let mut plan =
            Plan::with_fault(seed, FAULT_AT, Fault::WipeDisk { machine: lost, down_micros: SECOND });
        let stop = Fault::Stop { machine: stopped, down_micros: SECOND };
        plan.add_fault(FAULT_AT + 50_000 * (seed + 1), stop);
        let mut world = World::new(plan);
        world.run_until(FAULT_AT + 8 * SECOND).expect("no invariant is broken");
        assert_eq!(world.members_known(), vec![3, 3, 3], "seed {seed}");
    }
}

#[test]
fn a_short_freeze_changes_no_view() {
    for seed in SEEDS {
        let machine = seed as usize % 3;
        let world = run_with_fault(seed, Fault::Freeze { machine, micros: 300_000 });
        assert_eq!(world.history.first_view_of(2, FAULT_AT), None);
    }
}

#[test]
fn a_one_way_partition_ends_in_a_connected_view() {
    for seed in SEEDS {
        let from = seed as usize % 3;
        let to = (from + 1 + seed as usize / 3 % 2) % 3;
        let world = run_with_fault(seed, Fault::PartitionOneWay { from, to, micros: 3 * SECOND });
        assert_replaced_within(&world, 2 * SECOND);
        assert_eq!(world.members_known(), vec![3, 3, 3]);
    }
}

#[test]
fn a_core_recovers_after_power_loss_of_all() {
    for seed in SEEDS {
        let world = run_with_fault(seed, Fault::PowerLossOfAll { down_micros: SECOND });
        let after = FAULT_AT + SECOND + SECOND / 2;
        let longest = world.history.longest_wait(after..after + SECOND).expect("writes were answered");
        assert!(longest <= SECOND, "a write waited {longest} us");
    }
}

/// Asserts that at least five writes per second were answered in a time range.
fn assert_serves(world: &World, between: std::ops::Range<u64>, seed: u64) {
    let answered = world.history.answered_in(between.clone());
    let seconds = ((between.end - between.start) / SECOND) as usize;
    assert!(answered >= seconds * 5, "seed {seed}: {answered} writes were answered in {seconds} s");
}

/// At least two of three machines run at all times, but not the same two: one returns just before another one fails.
#[test]
fn a_member_lost_before_another_is_readmitted_does_not_end_the_core() {
    for seed in SEEDS {
        let first = seed as usize % 3;
        let second = (first + 1 + seed as usize / 3 % 2) % 3;
        let down_micros = SECOND;
        let mut plan = Plan::with_fault(seed, FAULT_AT, Fault::Kill { machine: first, down_micros });
        // The first machine restarts up to 100 ms late, and is readmitted about a second later.
        let again = FAULT_AT + down_micros + 100_000 + seed * 60_000;
        let gone = match seed % 2 {
            0 => Fault::Kill { machine: second, down_micros: 8 * SECOND },
            _ => Fault::WipeDiskIfTolerated { machine: second, down_micros: 8 * SECOND },
        };
        plan.add_fault(again, gone);
        let mut world = World::new(plan);
        world.run_until(again + 8 * SECOND).expect("no invariant is broken");
        assert_serves(&world, again + 2 * SECOND..again + 8 * SECOND, seed);
        world.run_until(again + 14 * SECOND).expect("no invariant is broken");
        assert_eq!(world.members_known(), vec![3, 3, 3], "seed {seed}");
    }
}

/// One machine shuts down, and the disk of another is lost within milliseconds of the view that excludes the first.
#[test]
fn a_disk_lost_right_after_a_member_left_is_tolerated() {
    for seed in SEEDS {
        let stopped = seed as usize % 3;
        let lost = (stopped + 1 + seed as usize / 3 % 2) % 3;
        let stop = Fault::Stop { machine: stopped, down_micros: 20 * SECOND };
        let mut plan = Plan::with_fault(seed, FAULT_AT, stop);
        let lost_at = FAULT_AT + 10_000 * (seed + 1);
        plan.add_fault(lost_at, Fault::WipeDiskIfTolerated { machine: lost, down_micros: SECOND });
        let mut world = World::new(plan);
        world.run_until(lost_at + 8 * SECOND).expect("no invariant is broken");
        assert_serves(&world, lost_at + 3 * SECOND..lost_at + 8 * SECOND, seed);
    }
}

#[test]
fn a_member_with_a_slow_disk_leaves_the_chain_and_keeps_its_vote() {
    for seed in SEEDS {
        let machine = seed as usize % 3;
        let world = run_with_fault(seed, Fault::SlowDisk { machine, micros: 6 * SECOND });
        assert_replaced_within(&world, 2 * SECOND);
        let longest = world.history.longest_wait(FAULT_AT + 2 * SECOND..FAULT_AT + 5 * SECOND);
        let longest = longest.expect("writes were answered");
        assert!(longest <= SECOND / 2, "seed {seed}: a write waited {longest} us");
    }
}
