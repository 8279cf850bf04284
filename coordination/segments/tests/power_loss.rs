//! Whatever a loss of power leaves, the log recovers what was synced, in order, and nothing that was never told.

mod support;

use millrudder_checkpoint_store::{CrashOutcome, SimulatedFolder};
use millrudder_segments::{inspect, SegmentLog};
use proptest::prelude::*;
use support::model::{Model, Step};
use support::{open, try_open};

/// A short life with rolls in the middle of a group, releases, a compaction and a removal.
const LIFE: [Step; 20] = [
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

fn must_open(folder: &SimulatedFolder, model: &mut Model) -> SegmentLog<SimulatedFolder> {
    let (mut log, found) = open(folder);
    model.accept(&mut log, &found);
    log
}

/// Lives until the process is stopped after `changes` changes; returns whether it was.
fn live_until_stopped(folder: &SimulatedFolder, model: &mut Model, changes: u64) -> bool {
    folder.interrupt_after(changes);
    let Ok((mut log, found)) = try_open(folder) else { return true };
    model.accept(&mut log, &found);
    LIFE.into_iter().any(|step| model.run(&mut log, step).is_err())
}

#[test]
fn every_loss_at_every_change_recovers_what_was_synced() {
    let mut losses = 0;
    for changes in 0.. {
        let folder = SimulatedFolder::new(0);
        let mut model = Model::default();
        let stopped = live_until_stopped(&folder, &mut model, changes);
        losses += folder.for_each_crash(CrashOutcome::choices, |lost| {
            let mut model = model.clone();
            assert!(inspect(&lost).unwrap().is_sound());
            let mut log = must_open(&lost, &mut model);
            lose_power_in_the_next_sync(&lost.fork(), model.clone());
            // The log goes on: what is left over of the loss must not mix with what is written now.
            for step in [Step::Append(4), Step::Append(700), Step::Sync, Step::Append(600), Step::Sync] {
                model.run(&mut log, step).unwrap();
            }
            lost.lose_power_with(|_| CrashOutcome::Lost);
            must_open(&lost, &mut model);
        });
        if !stopped {
            break;
        }
    }
    assert!(losses > 200, "{losses} losses tried");
}

/// Opens the log, loses power in the write of a record in every way, and opens it again.
fn lose_power_in_the_next_sync(folder: &SimulatedFolder, mut model: Model) {
    let mut log = must_open(folder, &mut model);
    model.run(&mut log, Step::Append(40)).unwrap();
    folder.interrupt_after(0);
    assert!(model.run(&mut log, Step::Sync).is_err());
    folder.for_each_crash(CrashOutcome::choices, |lost| {
        must_open(&lost, &mut model.clone());
    });
}

#[test]
fn what_a_process_killed_at_any_change_leaves_outlasts_a_later_loss() {
    for changes in 0.. {
        let folder = SimulatedFolder::new(0);
        let mut model = Model::default();
        let stopped = live_until_stopped(&folder, &mut model, changes);
        folder.end_process();
        let mut log = must_open(&folder, &mut model);
        let untouched = folder.fork();
        untouched.for_each_crash(CrashOutcome::choices, |lost| {
            must_open(&lost, &mut model.clone());
        });
        model.run(&mut log, Step::Append(4)).unwrap();
        model.run(&mut log, Step::Sync).unwrap();
        folder.for_each_crash(CrashOutcome::choices, |lost| {
            must_open(&lost, &mut model.clone());
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
            let mut model = Model::default();
            live_until_stopped(&folder, &mut model, first);
            folder.lose_power();
            live_until_stopped(&folder, &mut model, second);
            folder.lose_power();
            must_open(&folder, &mut model);
        }
    }
}

/// What happens to a log in a random life.
#[derive(Clone, Debug)]
enum Event {
    Step(Step),
    LosePower,
    EndProcess,
    InterruptAfter(u64),
    DiskFullFrom(u64),
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

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        30 => step().prop_map(Event::Step),
        2 => Just(Event::LosePower),
        1 => Just(Event::EndProcess),
        2 => (0..14_u64).prop_map(Event::InterruptAfter),
        1 => (0..8000_u64).prop_map(Event::DiskFullFrom),
    ]
}

/// Opens the log; if the process is stopped or the disk is full on the way, once more with both repaired.
fn reopen(folder: &SimulatedFolder, model: &mut Model) -> SegmentLog<SimulatedFolder> {
    if let Ok((mut log, found)) = try_open(folder) {
        model.accept(&mut log, &found);
        return log;
    }
    folder.set_capacity(None);
    folder.lose_power();
    must_open(folder, model)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_lives_with_many_losses(seed: u64, events in prop::collection::vec(event(), 1..120)) {
        let folder = SimulatedFolder::new(seed);
        let mut model = Model::default();
        let mut log = must_open(&folder, &mut model);
        for event in events {
            match event {
                Event::Step(step) => {
                    if model.run(&mut log, step).is_ok() {
                        model.check(&mut log);
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
                Event::DiskFullFrom(bytes) => {
                    folder.set_capacity(Some(bytes));
                    continue;
                }
            }
            log = reopen(&folder, &mut model);
        }
        folder.lose_power();
        reopen(&folder, &mut model);
    }
}
