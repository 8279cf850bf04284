//! Whatever the outcome of a loss of power, the store recovers what was synced, and a prefix of what was appended.

mod support;

use millrudder_checkpoint_store::{
    run_crash_events, CheckpointStore, CrashEvent, CrashModel, CrashTest, Folder, SimulatedFolder,
};
use proptest::prelude::*;
use support::history::{History, Step};

/// Every kind of step, checkpoints to both slots, and groups of several records.
const WORKLOAD: [Step; 14] = [
    Step::Append(3),
    Step::Sync,
    Step::Append(700),
    Step::Append(0),
    Step::Sync,
    Step::Append(5),
    Step::Checkpoint(40),
    Step::Append(9),
    Step::Sync,
    Step::Checkpoint(1200),
    Step::Append(1),
    Step::Checkpoint(10),
    Step::Append(2),
    Step::Sync,
];

const CONTINUATION: [Step; 5] =
    [Step::Append(4), Step::Sync, Step::Checkpoint(8), Step::Append(6), Step::Sync];

fn crash_test(empty: &History) -> CrashTest<'_, History> {
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
    let losses = crash_test(&History::default()).lose_power_at_every_change();
    assert!(losses > 500, "{losses} losses tried");
}

#[test]
fn what_is_recovered_from_a_killed_process_outlasts_a_later_power_loss() {
    let kills = crash_test(&History::default()).kill_process_at_every_change();
    assert!(kills > 20, "{kills} kills tried");
}

#[test]
fn a_power_loss_during_recovery_from_a_power_loss_loses_nothing_synced() {
    crash_test(&History::default()).lose_power_during_recovery();
}

fn event() -> impl Strategy<Value = CrashEvent<Step>> {
    let length = prop_oneof![20 => 0..40_usize, 10 => 400..1600_usize, 1 => Just(270_000_usize)];
    prop_oneof![
        10 => length.prop_map(|length| CrashEvent::Step(Step::Append(length))),
        6 => Just(CrashEvent::Step(Step::Sync)),
        3 => (0..3000_usize).prop_map(|length| CrashEvent::Step(Step::Checkpoint(length))),
        2 => Just(CrashEvent::LosePower),
        1 => Just(CrashEvent::EndProcess),
        2 => (0..12_u64).prop_map(CrashEvent::InterruptAfter),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_workloads_survive_repeated_power_losses(
        seed: u64,
        events in prop::collection::vec(event(), 1..60),
    ) {
        let folder = SimulatedFolder::new(seed);
        let mut history = History::default();
        drop(run_crash_events(&folder, &mut history, events));
    }

    #[test]
    fn damage_anywhere_never_adds_or_changes_a_record(
        seed: u64,
        steps in prop::collection::vec((0..60_usize).prop_map(Step::Append), 1..12),
        file_index: prop::sample::Index,
        byte_index: prop::sample::Index,
        mask in 1..=255_u8,
    ) {
        let folder = SimulatedFolder::new(seed);
        let mut history = History::default();
        let mut store = history.must_open(&folder);
        history.run(&mut store, Step::Checkpoint(30)).unwrap();
        let mut synced = 0;
        for step in steps {
            history.run(&mut store, step).unwrap();
            history.run(&mut store, Step::Sync).unwrap();
            synced += 1;
        }
        let names = folder.list().unwrap();
        let name = &names[file_index.index(names.len())];
        let length = folder.read(name).unwrap().len();
        folder.corrupt(name, byte_index.index(length), mask);
        // Only the last synced record can look like one that was never synced.
        if let Ok((_, recovered)) = CheckpointStore::open(folder) {
            prop_assert!(recovered.checkpoint.is_some());
            prop_assert!(recovered.records.len() + 1 >= synced);
        }
    }
}
