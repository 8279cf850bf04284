//! Whatever a loss of power leaves, the store recovers what was synced, and a prefix of what it was told.

mod support;

use millrudder_checkpoint_store::{CheckpointStore, CrashOutcome, SimulatedFolder};
use proptest::prelude::*;
use support::history::{History, Step};

/// A short life with every kind of step, checkpoints to both slots, and groups of several records.
const LIFE: [Step; 14] = [
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

/// Opens the store and checks what it recovered; `None` if the process was stopped on the way.
fn open(folder: &SimulatedFolder, history: &mut History) -> Option<CheckpointStore<SimulatedFolder>> {
    let (store, recovered) = CheckpointStore::open(folder.clone()).ok()?;
    history.accept(&recovered);
    Some(store)
}

/// As [`open`], when nothing may go wrong.
fn must_open(folder: &SimulatedFolder, history: &mut History) -> CheckpointStore<SimulatedFolder> {
    let (store, recovered) = CheckpointStore::open(folder.clone()).unwrap();
    history.accept(&recovered);
    store
}

/// Lives until the process is stopped after `changes` changes; returns whether it was.
fn live_until_stopped(folder: &SimulatedFolder, history: &mut History, changes: u64) -> bool {
    folder.interrupt_after(changes);
    let Some(mut store) = open(folder, history) else { return true };
    LIFE.into_iter().any(|step| history.run(&mut store, step).is_err())
}

#[test]
fn every_loss_at_every_change_recovers_what_was_synced() {
    let mut losses = 0;
    for changes in 0.. {
        let folder = SimulatedFolder::new(0);
        let mut history = History::new();
        let stopped = live_until_stopped(&folder, &mut history, changes);
        losses += folder.for_each_loss(CrashOutcome::choices, |lost| {
            let mut history = history.clone();
            let mut store = must_open(&lost, &mut history);
            lose_power_in_the_next_sync(&lost.fork(), history.clone());
            // The store goes on: what is left over of the loss must not mix with what is written now.
            for step in [Step::Append(4), Step::Sync, Step::Checkpoint(8), Step::Append(6), Step::Sync] {
                history.run(&mut store, step).unwrap();
            }
            lost.lose_power_with(|_| CrashOutcome::Missing);
            must_open(&lost, &mut history);
        });
        if !stopped {
            break;
        }
    }
    assert!(losses > 500, "{losses} losses tried");
}

/// Opens the store, loses power in the write of a record in every way, and opens it again.
fn lose_power_in_the_next_sync(folder: &SimulatedFolder, mut history: History) {
    let mut store = must_open(folder, &mut history);
    history.run(&mut store, Step::Append(40)).unwrap();
    folder.interrupt_after(0);
    assert!(history.run(&mut store, Step::Sync).is_err());
    folder.for_each_loss(CrashOutcome::choices, |lost| {
        must_open(&lost, &mut history.clone());
    });
}

#[test]
fn what_a_process_killed_at_any_change_leaves_outlasts_a_later_loss() {
    for changes in 0.. {
        let folder = SimulatedFolder::new(0);
        let mut history = History::new();
        let stopped = live_until_stopped(&folder, &mut history, changes);
        folder.end_process();
        let mut store = must_open(&folder, &mut history);
        let untouched = folder.fork();
        untouched.for_each_loss(CrashOutcome::choices, |lost| {
            must_open(&lost, &mut history.clone());
        });
        history.run(&mut store, Step::Append(4)).unwrap();
        history.run(&mut store, Step::Sync).unwrap();
        folder.for_each_loss(CrashOutcome::choices, |lost| {
            must_open(&lost, &mut history.clone());
        });
        if !stopped {
            break;
        }
    }
}

#[test]
fn a_loss_during_recovery_from_a_loss_harms_nothing() {
    for first in 0..60 {
        for second in 0..8 {
            let folder = SimulatedFolder::new(first * 100 + second);
            let mut history = History::new();
            live_until_stopped(&folder, &mut history, first);
            folder.lose_power();
            live_until_stopped(&folder, &mut history, second);
            folder.lose_power();
            must_open(&folder, &mut history);
        }
    }
}

/// What happens to a store in a random life.
#[derive(Clone, Debug)]
enum Event {
    Step(Step),
    LosePower,
    EndProcess,
    InterruptAfter(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let length = prop_oneof![20 => 0..40_usize, 10 => 400..1600_usize, 1 => Just(270_000_usize)];
    prop_oneof![
        10 => length.prop_map(|length| Event::Step(Step::Append(length))),
        6 => Just(Event::Step(Step::Sync)),
        3 => (0..3000_usize).prop_map(|length| Event::Step(Step::Checkpoint(length))),
        2 => Just(Event::LosePower),
        1 => Just(Event::EndProcess),
        2 => (0..12_u64).prop_map(Event::InterruptAfter),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_lives_with_many_losses(seed: u64, events in prop::collection::vec(event(), 1..60)) {
        let folder = SimulatedFolder::new(seed);
        let mut history = History::new();
        let mut store = must_open(&folder, &mut history);
        for event in events {
            match event {
                Event::Step(step) => {
                    if history.run(&mut store, step).is_ok() {
                        continue;
                    }
                    folder.lose_power();
                }
                Event::LosePower => folder.lose_power(),
                Event::EndProcess => folder.end_process(),
                Event::InterruptAfter(changes) => {
                    folder.interrupt_after(changes);
                    continue;
                }
            }
            store = match open(&folder, &mut history) {
                Some(store) => store,
                // The process was stopped on the way.
                None => {
                    folder.lose_power();
                    must_open(&folder, &mut history)
                }
            };
        }
        folder.lose_power();
        must_open(&folder, &mut history);
    }

    #[test]
    fn damage_anywhere_never_adds_or_changes_a_record(
        seed: u64,
        steps in prop::collection::vec((0..60_usize).prop_map(Step::Append), 1..12),
        file_index: prop::sample::Index,
        byte_index: prop::sample::Index,
        mask in 1..=255_u8,
    ) {
        use millrudder_checkpoint_store::Folder;
        let folder = SimulatedFolder::new(seed);
        let mut history = History::new();
        let mut store = must_open(&folder, &mut history);
        history.run(&mut store, Step::Checkpoint(30)).unwrap();
        let mut kept = 0;
        for step in steps {
            history.run(&mut store, step).unwrap();
            history.run(&mut store, Step::Sync).unwrap();
            kept += 1;
        }
        let names = folder.list().unwrap();
        let name = &names[file_index.index(names.len())];
        let length = folder.read(name).unwrap().len();
        folder.corrupt(name, byte_index.index(length), mask);
        // Only the last synced record looks like one that was never synced.
        if let Ok((_, recovered)) = CheckpointStore::open(folder) {
            prop_assert!(recovered.checkpoint.is_some());
            prop_assert!(recovered.records.len() + 1 >= kept);
        }
    }
}
