//! What is done to the processes of one run, drawn from a seed.

use crate::cluster::{ClusterProcess, ClusterSize};
use std::fmt;
use std::ops::Range;
use std::time::Duration;

/// Faults begin this long after the start of the clients, and go on for [`FAULTS_FOR`].
const FIRST_FAULT: Duration = Duration::from_secs(1);
/// How long faults begin to happen.
const FAULTS_FOR: Duration = Duration::from_secs(12);
/// Time between the beginnings of two faults, in milliseconds: shorter than most faults last.
const INTERVAL_MILLIS: Range<u64> = 100..1_200;
/// How long a process stays away after it has ended, in milliseconds.
const DOWN_MILLIS: Range<u64> = 50..1_500;
/// How long a frozen process, or one without power, says nothing before it goes on or is killed, and how long a disk refuses
/// writes, in milliseconds.
const UNRESPONSIVE_MILLIS: Range<u64> = 50..2_500;
/// Processes of a series that are stopped or killed one right after the other.
const SERIES: Range<usize> = 1..4;

/// Which faults a run has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Stops and reloads only.
    PlannedWork,
    /// Planned work, kills, losses of power and freezes.
    OverlappingLosses,
    /// Most processes are lost at once.
    MassLosses,
}

/// How many processes a run has.
#[derive(Clone, Copy, Debug)]
pub enum SoakSize {
    /// Nine processes.
    Ordinary,
    /// Two hundred: as many as a machine of eight cores and the limits of the workplace bear.
    Large,
}

impl SoakSize {
    /// Machines of each class.
    pub fn cluster(self) -> ClusterSize {
        match self {
            SoakSize::Ordinary => ClusterSize::FULL,
            SoakSize::Large => ClusterSize { core: 5, storage: 45, edge: 150, tolerated_losses: 2 },
        }
    }
}

/// Something that is done to processes.
#[derive(Clone, Debug)]
pub enum Fault {
    /// SIGTERM; each starts again `down` after it has ended.
    Stop { down: Duration },
    /// SIGHUP.
    Reload,
    /// SIGKILL; each starts again after `down`.
    Kill { down: Duration },
    /// They say nothing for a while, with their connections open, then end without a word.
    PowerLoss { unresponsive_for: Duration, down: Duration },
    /// They do not run for a while.
    Freeze { unresponsive_for: Duration },
    /// Their disks refuse each write for a while.
    FailDisk { broken: Duration },
}

/// A fault that begins at a time after the start of the clients.
#[derive(Clone, Debug)]
pub struct Step {
    pub at: Duration,
    /// Indices into the list of all processes.
    pub processes: Vec<usize>,
    pub fault: Fault,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub kind: FaultKind,
    pub size: SoakSize,
    pub steps: Vec<Step>,
}

impl Plan {
    /// The plan of a seed.
    pub fn drawn(seed: u64, kind: FaultKind, size: SoakSize) -> Plan {
        let mut random = fastrand::Rng::with_seed(seed ^ ((kind as u64) << 32));
        let cluster = size.cluster();
        let processes = cluster.core + cluster.storage + cluster.edge;
        let mut steps = Vec::new();
        let mut at = FIRST_FAULT;
        while at < FIRST_FAULT + FAULTS_FOR {
            let many = kind == FaultKind::MassLosses;
            let processes = draw_processes(&mut random, processes, many);
            let fault = draw_fault(&mut random, kind);
            steps.push(Step { at, processes, fault });
            let intervals = if many { 4 } else { 1 };
            at += draw(&mut random, INTERVAL_MILLIS) * intervals;
        }
        Plan { seed, kind, size, steps }
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "plan of seed {}, {:?}, {:?}", self.seed, self.kind, self.size)?;
        for Step { at, processes, fault } in &self.steps {
            writeln!(formatter, "  {at:?} {fault:?} of {processes:?}")?;
        }
        Ok(())
    }
}

fn draw(random: &mut fastrand::Rng, millis: Range<u64>) -> Duration {
    Duration::from_millis(random.u64(millis))
}

/// A short series, or most processes.
fn draw_processes(random: &mut fastrand::Rng, processes: usize, many: bool) -> Vec<usize> {
    let mut all: Vec<usize> = (0..processes).collect();
    random.shuffle(&mut all);
    let count = if many { random.usize(processes / 2..=processes) } else { random.usize(SERIES) };
    all.truncate(count);
    all
}

fn draw_fault(random: &mut fastrand::Rng, kind: FaultKind) -> Fault {
    let down = draw(random, DOWN_MILLIS);
    let unresponsive_for = draw(random, UNRESPONSIVE_MILLIS);
    let choice = match kind {
        FaultKind::PlannedWork => random.u32(0..4),
        FaultKind::OverlappingLosses => random.u32(0..9),
        FaultKind::MassLosses => random.u32(4..9),
    };
    match choice {
        0..3 => Fault::Stop { down },
        3 => Fault::Reload,
        4 | 5 => Fault::Kill { down },
        6 => Fault::PowerLoss { unresponsive_for, down },
        7 => Fault::Freeze { unresponsive_for },
        _ => Fault::FailDisk { broken: unresponsive_for },
    }
}

/// Something that is done to one process at one time.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    Terminate { down: Duration },
    Reload,
    Kill,
    Freeze,
    Thaw,
    FailDisk,
    RestoreDisk,
    Start,
}

/// One act of a plan, in the order of time.
#[derive(Clone, Copy, Debug)]
pub struct TimedAct {
    pub at: Duration,
    pub process: ClusterProcess,
    pub act: Act,
}

impl Plan {
    /// All acts of the plan in the order of time, on these processes.
    pub fn acts(&self, processes: &[ClusterProcess]) -> Vec<TimedAct> {
        let mut acts = Vec::new();
        for step in &self.steps {
            for index in &step.processes {
                let process = processes[*index];
                let acts_of_step = step.fault.acts();
                acts.extend(acts_of_step.into_iter().map(|(after, act)| TimedAct {
                    at: step.at + after,
                    process,
                    act,
                }));
            }
        }
        acts.sort_by_key(|timed| timed.at);
        acts
    }
}

impl Fault {
    /// What is done to each process, with the time since the fault began.
    fn acts(&self) -> Vec<(Duration, Act)> {
        match *self {
            Fault::Stop { down } => vec![(Duration::ZERO, Act::Terminate { down })],
            Fault::Reload => vec![(Duration::ZERO, Act::Reload)],
            Fault::Kill { down } => vec![(Duration::ZERO, Act::Kill), (down, Act::Start)],
            Fault::PowerLoss { unresponsive_for, down } => {
                vec![
                    (Duration::ZERO, Act::Freeze),
                    (unresponsive_for, Act::Kill),
                    (unresponsive_for + down, Act::Start),
                ]
            }
            Fault::Freeze { unresponsive_for } => {
                vec![(Duration::ZERO, Act::Freeze), (unresponsive_for, Act::Thaw)]
            }
            Fault::FailDisk { broken } => vec![(Duration::ZERO, Act::FailDisk), (broken, Act::RestoreDisk)],
        }
    }
}
