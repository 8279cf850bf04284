//! Catch-up of a member that returns under a heavy load of writes.

use crate::simulator::faults::Fault;
use crate::simulator::network::NetworkFaults;
use crate::simulator::plan::Plan;
use crate::simulator::world::World;

const SECOND: u64 = 1_000_000;
/// Time of the fault in microseconds, when the write load has lasted for a while.
const FAULT_AT: u64 = 3 * SECOND;
/// Maximum time from a machine's return until it has caught up as a member (microseconds).
const CATCH_UP_MICROS: u64 = 4_500_000;
/// Interval between checks of a returning machine (microseconds).
const CHECK_MICROS: u64 = 10_000;
/// Maximum delay of a process start beyond the planned time (microseconds).
const LATE_START_MICROS: u64 = 100_000;
/// Maximum size of a message without its entries or snapshot chunk.
const MESSAGE_OVERHEAD_BYTES: usize = 128;
const SEEDS: std::ops::Range<u64> = 0..24;

/// Pauses between client requests, in microseconds.
const FASTEST: std::ops::Range<u64> = 4_000..6_000;
const UNEVEN: std::ops::Range<u64> = 5_000..300_000;

fn plan_under_load(seed: u64, pause: std::ops::Range<u64>, fault: Fault) -> Plan {
    let mut plan = Plan::with_fault(seed, FAULT_AT, fault);
    plan.client_pause = pause;
    // Corresponds to commands of 100 KB with a log retention of 1 MiB.
    plan.retained_entries = 10;
    plan
}

fn faults(seed: u64, down_micros: u64) -> [Fault; 4] {
    let machine = seed as usize % 3;
    [
        Fault::Kill { machine, down_micros },
        Fault::PowerLoss { machine, down_micros },
        Fault::Stop { machine, down_micros },
        Fault::WipeDisk { machine, down_micros },
    ]
}

/// Runs until the machine has caught up, and returns the time since its return (microseconds).
fn time_to_catch_up(world: &mut World, machine: usize, returns_at: u64) -> u64 {
    world.run_until(returns_at).expect("no invariant is broken");
    let mut at = returns_at;
    while !world.is_caught_up(machine) && at < returns_at + 2 * CATCH_UP_MICROS {
        at += CHECK_MICROS;
        world.run_until(at).expect("no invariant is broken");
    }
    at - returns_at
}

fn assert_catches_up(seed: u64, pause: std::ops::Range<u64>, fault: Fault) {
    let machine = seed as usize % 3;
    let mut world = World::new(plan_under_load(seed, pause, fault));
    let returns_at = FAULT_AT + fault.micros() + LATE_START_MICROS;
    let took = time_to_catch_up(&mut world, machine, returns_at);
    assert!(took <= CATCH_UP_MICROS, "seed {seed}, {fault:?}: caught up after {took} us");
    let early = world
        .history
        .grants
        .iter()
        .filter(|grant| grant.at > FAULT_AT && !grant.caught_up)
        .collect::<Vec<_>>();
    assert!(early.is_empty(), "seed {seed}, {fault:?}: leases before their holders had caught up: {early:?}");
}

#[test]
fn a_member_that_returns_under_load_catches_up_in_time_and_holds_no_lease_before() {
    for seed in SEEDS {
        for down_micros in [SECOND / 4, 2 * SECOND] {
            for fault in faults(seed, down_micros) {
                assert_catches_up(seed, FASTEST, fault);
                assert_catches_up(seed, UNEVEN, fault);
            }
        }
    }
}

#[test]
fn a_member_catches_up_although_messages_are_lost_duplicated_and_delayed() {
    for seed in SEEDS {
        for fault in faults(seed, SECOND) {
            let machine = seed as usize % 3;
            let mut plan = plan_under_load(seed, FASTEST, fault);
            plan.network = NetworkFaults { loss: 0.02, duplicated: 0.02, delayed: 0.005 };
            let mut world = World::new(plan);
            let returns_at = FAULT_AT + fault.micros() + LATE_START_MICROS;
            let took = time_to_catch_up(&mut world, machine, returns_at);
            assert!(took <= CATCH_UP_MICROS, "seed {seed}, {fault:?}: caught up after {took} us");
        }
    }
}

#[test]
fn catching_up_delays_no_write_for_long() {
    for seed in SEEDS {
        for fault in faults(seed, 2 * SECOND) {
            let mut world = World::new(plan_under_load(seed, FASTEST, fault));
            let returns_at = FAULT_AT + fault.micros() + LATE_START_MICROS;
            world.run_until(returns_at + 3 * SECOND).expect("no invariant is broken");
            let longest = world.history.longest_wait(returns_at..returns_at + 2 * SECOND);
            let longest = longest.expect("writes were answered");
            assert!(longest <= SECOND / 2, "seed {seed}, {fault:?}: a write waited {longest} us");
        }
    }
}

#[test]
fn no_message_grows_with_the_state() {
    for seed in SEEDS {
        let fault = Fault::WipeDisk { machine: seed as usize % 3, down_micros: SECOND };
        let mut plan = plan_under_load(seed, FASTEST, fault);
        let most = plan.batch_bytes + MESSAGE_OVERHEAD_BYTES;
        plan.faults_end_at = FAULT_AT + 2 * SECOND;
        let mut world = World::new(plan);
        world.run_until(FAULT_AT + 5 * SECOND).expect("no invariant is broken");
        assert!(world.is_caught_up(seed as usize % 3));
        let longest = world.history.longest_message;
        assert!(longest <= most, "a message of {longest} bytes");
    }
}
