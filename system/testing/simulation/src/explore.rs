//! Exhaustive exploration: injects faults after every single delivery and sync of a run.

use crate::control_machine::ControlMachine;
use crate::fault::{Fault, PlannedFault, Trigger};
use crate::plan::Plan;
use crate::violation::Violation;
use crate::world::World;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// A failed run, so that it can be reproduced.
#[derive(Debug)]
pub struct Failure {
    /// The plan of the run.
    pub plan: Box<Plan>,
    /// The violation that ended it.
    pub violation: Violation,
}

/// The result of an exploration.
#[derive(Debug, Default)]
pub struct Explored {
    /// Number of runs.
    pub runs: usize,
    /// Number of steps after which faults were injected.
    pub steps: usize,
    /// The failure that was found first, if any.
    pub failure: Option<Failure>,
}

/// When the window of an exploration starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExplorationStart {
    /// At once.
    Immediate,
    /// As soon as a disk was lost and its data is restored.
    AfterDiskRestored,
}

/// The settings of an exploration.
#[derive(Clone, Debug)]
pub struct Exploration {
    /// Faults, of which one is injected after each step.
    pub faults: Vec<Fault>,
    /// When the window starts.
    pub start: ExplorationStart,
    /// Length of the window.
    pub window: Duration,
    /// Faults are injected after each step whose number is a multiple of this.
    pub stride: usize,
    /// Number of threads.
    pub threads: usize,
}

impl Exploration {
    /// Runs the plan from `world` on, and from each step of the window on once with each fault.
    ///
    /// # Panics
    /// A thread panics.
    pub fn explore<M>(&self, world: &World<M>, plan: &Plan) -> Explored
    where
        M: ControlMachine + Send + Sync,
        World<M>: Send + Sync,
    {
        let mut base = world.clone();
        base.resume(plan.clone());
        let forks = match self.forks(&mut base) {
            Ok(forks) => forks,
            Err(violation) => {
                let failure = Some(Failure { plan: Box::new(plan.clone()), violation });
                return Explored { failure, ..Explored::default() };
            }
        };
        self.play_all(&forks)
    }

    /// Copies of the world after each step of the window.
    fn forks<M: ControlMachine>(&self, base: &mut World<M>) -> Result<Vec<World<M>>, Violation> {
        if self.start == ExplorationStart::AfterDiskRestored {
            base.run_until_disk_restored()?;
        }
        let until = base.now + self.window;
        let mut forks = Vec::new();
        let mut steps = base.steps;
        while base.step_before(until)? {
            if base.steps != steps {
                steps = base.steps;
                if (steps as usize).is_multiple_of(self.stride) {
                    forks.push(base.clone());
                }
            }
        }
        Ok(forks)
    }

    fn play_all<M>(&self, forks: &[World<M>]) -> Explored
    where
        M: ControlMachine + Send + Sync,
        World<M>: Send + Sync,
    {
        let next = AtomicUsize::new(0);
        let found = AtomicBool::new(false);
        let failure = Mutex::new(None);
        let total = forks.len() * self.faults.len();
        thread::scope(|scope| {
            for _ in 0..self.threads {
                scope.spawn(|| {
                    while !found.load(Ordering::Relaxed) {
                        let number = next.fetch_add(1, Ordering::Relaxed);
                        if number >= total {
                            break;
                        }
                        let (fork, fault) =
                            (&forks[number / self.faults.len()], &self.faults[number % self.faults.len()]);
                        if let Err(failed) = play_fork(fork, fault) {
                            found.store(true, Ordering::Relaxed);
                            failure.lock().expect("no thread panics").get_or_insert(failed);
                        }
                    }
                });
            }
        });
        let runs = next.into_inner().min(total);
        Explored { runs, steps: forks.len(), failure: failure.into_inner().expect("no thread panics") }
    }
}

fn play_fork<M: ControlMachine>(fork: &World<M>, fault: &Fault) -> Result<(), Failure> {
    let mut world = fork.clone();
    let planned = PlannedFault { trigger: Trigger::Step(world.steps), fault: fault.clone() };
    let mut plan = Box::new(world.plan.clone());
    plan.faults.push(planned);
    world.inject(fault);
    world.play().map_err(|violation| Failure { plan, violation })
}
