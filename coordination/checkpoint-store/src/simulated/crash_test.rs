//! Crash tests that all stores on a [`Folder`](crate::Folder) share: power losses and process kills at every change.
//!
//! A test describes its store by a [`CrashModel`] and a [`CrashTest`]; the methods run the store on simulated folders
//! and panic where it recovers something else than the model allows.

use super::{CrashOutcome, SimulatedFolder};
use std::fmt::Debug;

/// A model of a store: what was done with it, and by that what it may and must recover.
pub trait CrashModel: Clone {
    /// The store under test.
    type Store;
    /// One operation on the store.
    type Step: Clone;
    /// A failure of the store.
    type Error: Debug;

    /// Opens the store in `folder` and checks what it recovered. The model continues from there.
    ///
    /// # Errors
    /// The store's, if it could not be opened.
    ///
    /// # Panics
    /// The store recovered something else than the model allows.
    fn open(&mut self, folder: &SimulatedFolder) -> Result<Self::Store, Self::Error>;

    /// Runs one step on the store and records it, also if it fails: it may have taken effect.
    ///
    /// # Errors
    /// The store's; the store must be opened again then.
    fn run(&mut self, store: &mut Self::Store, step: Self::Step) -> Result<(), Self::Error>;

    /// Opens the store when nothing may fail.
    ///
    /// # Panics
    /// The store could not be opened, or recovered something else than the model allows.
    fn must_open(&mut self, folder: &SimulatedFolder) -> Self::Store {
        self.open(folder).expect("the store opens on a healthy disk")
    }
}

/// An event of a random run.
#[derive(Clone, Debug)]
pub enum CrashEvent<Step> {
    /// Run a step on the store.
    Step(Step),
    /// Lose power, with random outcomes.
    LosePower,
    /// End the process.
    EndProcess,
    /// Interrupt the process after this many further changes.
    InterruptAfter(u64),
    /// Limit the disk to this many bytes.
    LimitCapacity(u64),
}

/// Crash tests of one store.
#[derive(Clone, Copy, Debug)]
pub struct CrashTest<'a, Model: CrashModel> {
    /// A model of an empty store.
    pub empty: &'a Model,
    /// A short run with every kind of step; it is interrupted at each of its changes.
    pub workload: &'a [Model::Step],
    /// Steps that must succeed after a recovery.
    pub continuation: &'a [Model::Step],
    /// A step that adds a record.
    pub append: Model::Step,
    /// A step that syncs all records.
    pub sync: Model::Step,
}

impl<Model: CrashModel> CrashTest<'_, Model> {
    /// Interrupts the workload at each of its changes and tries every outcome of a loss of power there. Each time the
    /// store is recovered, continues, and is recovered again; a second loss of power in its next sync is tried, too.
    ///
    /// Returns the number of losses tried.
    ///
    /// # Panics
    /// The store recovered something else than the model allows.
    #[must_use]
    pub fn lose_power_at_every_change(&self) -> usize {
        let mut losses = 0;
        for changes in 0.. {
            let folder = SimulatedFolder::new(0);
            let mut model = self.empty.clone();
            let was_interrupted = self.run_until_interrupted(&folder, &mut model, changes);
            losses += folder.for_each_crash(CrashOutcome::choices, |crashed| {
                self.recover_and_continue(&crashed, model.clone());
            });
            if !was_interrupted {
                break;
            }
        }
        losses
    }

    fn recover_and_continue(&self, folder: &SimulatedFolder, mut model: Model) {
        let mut store = model.must_open(folder);
        self.lose_power_in_next_sync(&folder.fork(), model.clone());
        // Remains of the loss must not mix with what is written now.
        for step in self.continuation {
            model.run(&mut store, step.clone()).expect("the disk is healthy");
        }
        folder.lose_power_with(|_| CrashOutcome::Lost);
        model.must_open(folder);
    }

    fn lose_power_in_next_sync(&self, folder: &SimulatedFolder, mut model: Model) {
        let mut store = model.must_open(folder);
        model.run(&mut store, self.append.clone()).expect("the disk is healthy");
        folder.interrupt_after(0);
        assert!(model.run(&mut store, self.sync.clone()).is_err(), "the sync is interrupted");
        open_after_every_crash(folder, &model);
    }

    /// Kills the process at each change of the workload. What the next process recovers must outlast every loss of
    /// power that follows, before and after a further sync.
    ///
    /// Returns the number of kills.
    ///
    /// # Panics
    /// The store recovered something else than the model allows.
    #[must_use]
    pub fn kill_process_at_every_change(&self) -> usize {
        let mut kills = 0;
        for changes in 0.. {
            let folder = SimulatedFolder::new(0);
            let mut model = self.empty.clone();
            let was_interrupted = self.run_until_interrupted(&folder, &mut model, changes);
            folder.end_process();
            let mut store = model.must_open(&folder);
            open_after_every_crash(&folder.fork(), &model);
            for step in [&self.append, &self.sync] {
                model.run(&mut store, step.clone()).expect("the disk is healthy");
            }
            open_after_every_crash(&folder, &model);
            if !was_interrupted {
                break;
            }
            kills += 1;
        }
        kills
    }

    /// Loses power with random outcomes early in the workload, and again in the recovery from that or soon after it.
    ///
    /// # Panics
    /// The store recovered something else than the model allows.
    pub fn lose_power_during_recovery(&self) {
        for first in 0..60 {
            for second in 0..8 {
                let folder = SimulatedFolder::new(first * 100 + second);
                let mut model = self.empty.clone();
                for changes in [first, second] {
                    self.run_until_interrupted(&folder, &mut model, changes);
                    folder.lose_power();
                }
                model.must_open(&folder);
            }
        }
    }

    /// Runs the workload until the process is interrupted after `changes` changes; returns whether it was.
    fn run_until_interrupted(&self, folder: &SimulatedFolder, model: &mut Model, changes: u64) -> bool {
        folder.interrupt_after(changes);
        let Ok(mut store) = model.open(folder) else { return true };
        self.workload.iter().any(|step| model.run(&mut store, step.clone()).is_err())
    }
}

/// Opens the store after every outcome that a loss of power can have now.
fn open_after_every_crash<Model: CrashModel>(folder: &SimulatedFolder, model: &Model) {
    folder.for_each_crash(CrashOutcome::choices, |crashed| {
        model.clone().must_open(&crashed);
    });
}

/// Runs random events on a store and recovers it after each that it does not survive. At the end power is lost once
/// more; returns the store that is recovered then.
///
/// # Panics
/// The store recovered something else than the model allows.
pub fn run_crash_events<Model: CrashModel>(
    folder: &SimulatedFolder,
    model: &mut Model,
    events: impl IntoIterator<Item = CrashEvent<Model::Step>>,
) -> Model::Store {
    let mut store = model.must_open(folder);
    for event in events {
        match event {
            CrashEvent::Step(step) => {
                if model.run(&mut store, step).is_ok() {
                    continue;
                }
                folder.lose_power();
            }
            CrashEvent::LosePower => folder.lose_power(),
            CrashEvent::EndProcess => folder.end_process(),
            CrashEvent::InterruptAfter(changes) => {
                folder.interrupt_after(changes);
                continue;
            }
            CrashEvent::LimitCapacity(bytes) => {
                folder.set_capacity(Some(bytes));
                continue;
            }
        }
        store = reopen(folder, model);
    }
    drop(store);
    folder.lose_power();
    reopen(folder, model)
}

/// Opens the store; if the process is interrupted or the disk is full on the way, once more with both repaired.
fn reopen<Model: CrashModel>(folder: &SimulatedFolder, model: &mut Model) -> Model::Store {
    if let Ok(store) = model.open(folder) {
        return store;
    }
    folder.set_capacity(None);
    folder.lose_power();
    model.must_open(folder)
}
