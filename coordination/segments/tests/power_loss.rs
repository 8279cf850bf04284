//! Whatever the outcome of a loss of power, the log recovers what was synced, in order, and nothing that was never
//! appended.

mod support;

use millrudder_checkpoint_store::{run_crash_events, CrashEvent, CrashTest, SimulatedFolder};
use proptest::prelude::*;
use support::model::{Model, Step};

/// Rolls in the middle of a group, releases, a compaction and a removal.
const WORKLOAD: [Step; 20] = [
    Step::Append(3),
    Step::Append(400),
    Step::Sync,
    Step::Append(300),
    Step::Append(500),
    Step::Append(0),
    Step::Sync,
    Step::Release(1),
    Step::Release(1),
    Step::Roll,
    Step::Append(20),
    Step::Compact,
    Step::Append(30),
    Step::Sync,
    Step::AppendReserved(600),
    Step::RemoveOldest,
    Step::Append(10),
    Step::Roll,
    Step::Append(5),
    Step::Sync,
];

const CONTINUATION: [Step; 5] =
    [Step::Append(4), Step::Append(700), Step::Sync, Step::Append(600), Step::Sync];

fn crash_test(empty: &Model) -> CrashTest<'_, Model> {
    CrashTest {
        empty,
        workload: &WORKLOAD,
        continuation: &CONTINUATION,
        append: Step::Append(40),
        sync: Step::Sync,
    }
}

#[test]
fn every_power_loss_at_every_change_recovers_what_was_synced() {
    let losses = crash_test(&Model::default()).lose_power_at_every_change();
    assert!(losses > 200, "{losses} losses tried");
}

#[test]
fn what_is_recovered_from_a_killed_process_outlasts_a_later_power_loss() {
    let kills = crash_test(&Model::default()).kill_process_at_every_change();
    assert!(kills > 20, "{kills} kills tried");
}

#[test]
fn a_power_loss_during_recovery_from_a_power_loss_loses_nothing_synced() {
    crash_test(&Model::default()).lose_power_during_recovery();
}

fn step() -> impl Strategy<Value = Step> {
    let length = prop_oneof![2 => 0..40_usize, 1 => 100..900_usize];
    prop_oneof![
        8 => length.clone().prop_map(Step::Append),
        2 => length.prop_map(Step::AppendReserved),
        4 => Just(Step::Sync),
        1 => Just(Step::Roll),
        4 => any::<usize>().prop_map(Step::Release),
        2 => Just(Step::Compact),
        1 => Just(Step::RemoveOldest),
    ]
}

fn event() -> impl Strategy<Value = CrashEvent<Step>> {
    prop_oneof![
        30 => step().prop_map(CrashEvent::Step),
        2 => Just(CrashEvent::LosePower),
        1 => Just(CrashEvent::EndProcess),
        2 => (0..14_u64).prop_map(CrashEvent::InterruptAfter),
        1 => (0..8000_u64).prop_map(CrashEvent::LimitCapacity),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_workloads_survive_repeated_power_losses(
        seed: u64,
        events in prop::collection::vec(event(), 1..120),
    ) {
        let folder = SimulatedFolder::new(seed);
        let mut model = Model::default();
        drop(run_crash_events(&folder, &mut model, events));
    }
}
