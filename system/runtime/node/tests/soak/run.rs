//! Plays one plan.

use crate::changes::{configuration, Changes};
use crate::checks;
use crate::clients::Clients;
use crate::cluster::{Cluster, ClusterProcess};
use crate::plan::{Act, FaultKind, Plan, TimedAct};
use millrudder_system_standins::{ProcessSignal, PutOutcome, Role, WorkerPlan};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

/// How often processes are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Clients go on for this long after the last fault.
const CALM: Duration = Duration::from_secs(2);
/// A busy machine may not schedule a process for this long.
const STALL: Duration = Duration::from_secs(2);
/// Workers in each zone have so many slots.
const WORKER_CAPACITY: usize = 32;

/// What a run found.
pub struct Outcome {
    pub summary: String,
    pub violations: Vec<String>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.summary)?;
        self.violations.iter().try_for_each(|violation| write!(formatter, "\n  {violation}"))
    }
}

/// What a process is expected to do.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    Running,
    /// It was asked to stop, and starts again after it has ended.
    Stopping {
        since: Instant,
        down: Duration,
    },
    /// It has ended, and starts again at this time.
    Restarting {
        at: Instant,
    },
    /// It was killed; a later act starts it.
    Down,
}

/// The processes of a run, and what is expected of each.
struct Processes {
    cluster: Cluster,
    expected: BTreeMap<String, (ClusterProcess, Expected)>,
    /// How often each process was started.
    starts: BTreeMap<String, usize>,
    kind: FaultKind,
    stops: usize,
    kills: usize,
    violations: Vec<String>,
}

/// Plays a plan from the start of the system to the check of all that it accepted.
pub async fn play(plan: &Plan) -> Outcome {
    LocalSet::new().run_until(play_on_task_set(plan)).await
}

async fn play_on_task_set(plan: &Plan) -> Outcome {
    let mut cluster = Cluster::start(plan.size.cluster()).await;
    let outcome = cluster.put(&configuration(1), 0).await;
    assert_eq!(outcome, PutOutcome::Taken, "the first configuration");
    cluster.all_ready().await;
    cluster.core_is_complete().await;
    cluster.disable_bootstrap();
    let mut workers = Vec::new();
    for zone in ["zone-1", "zone-2", "zone-3"] {
        let worker = WorkerPlan::new("records", format!("i-{zone}"));
        let worker =
            WorkerPlan { zone: zone.into(), capacity: WORKER_CAPACITY, queue: WORKER_CAPACITY, ..worker };
        workers.push(cluster.worker(worker).await);
    }
    let clients = Clients::start(&cluster.fronts(), plan.kind);
    let changes = Changes::start(cluster.control_planes());

    let mut processes = Processes::new(cluster, plan.kind);
    processes.play(plan).await;
    processes.look_after_for(CALM).await;

    let (acknowledged, change_violations) = changes.end().await;
    let report = clients.end().await;
    let Processes { mut cluster, stops, kills, mut violations, .. } = processes;
    violations.extend(change_violations);
    violations.extend(report.violations.iter().cloned());
    violations.extend(checks::check_processes(&mut cluster));
    checks::check_outcome(&cluster, plan.kind, acknowledged, &report, &mut violations).await;
    let summary = format!(
        "{report}, {stops} stops, {kills} kills, {acknowledged} configurations, {} found",
        violations.len()
    );
    if !violations.is_empty() {
        cluster.print_logs();
    }
    Outcome { summary, violations }
}

impl Processes {
    fn new(cluster: Cluster, kind: FaultKind) -> Processes {
        let all = cluster.all_processes();
        let expected = all.into_iter().map(|process| {
            let name = cluster.name_of(process).to_string();
            (name, (process, Expected::Running))
        });
        let expected: BTreeMap<_, _> = expected.collect();
        let starts = expected.keys().map(|name| (name.clone(), 1)).collect();
        Processes { cluster, expected, starts, kind, stops: 0, kills: 0, violations: Vec::new() }
    }

    /// Carries out all acts at their times, and waits until all processes run again.
    async fn play(&mut self, plan: &Plan) {
        let begun = Instant::now();
        let acts = plan.acts(&self.cluster.all_processes());
        for TimedAct { at, process, act } in acts {
            while begun.elapsed() < at {
                self.look_after();
                sleep(POLL_INTERVAL.min(at.saturating_sub(begun.elapsed()))).await;
            }
            self.carry_out(process, act);
        }
        while self.expected.values().any(|(_, expected)| *expected != Expected::Running) {
            self.look_after();
            sleep(POLL_INTERVAL).await;
        }
        for process in self.cluster.all_processes() {
            self.signal(process, ProcessSignal::Continue);
        }
    }

    fn start(&mut self, process: ClusterProcess) {
        let name = self.cluster.name_of(process).to_string();
        *self.starts.entry(name).or_default() += 1;
        self.cluster.start_process(process);
    }

    /// Whether the program of a process has begun to run. Before it does, the operating system ends the process at a
    /// signal, which no program can prevent.
    fn has_begun(&self, process: ClusterProcess) -> bool {
        let begun = self.cluster.log_of(process).iter().filter(|line| line.contains("] starting ")).count();
        begun >= self.starts[&self.cluster.name_of(process).to_string()]
    }

    /// Goes on to look after the processes, none of which is to end.
    async fn look_after_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            self.look_after();
            sleep(POLL_INTERVAL).await;
        }
    }

    fn carry_out(&mut self, process: ClusterProcess, act: Act) {
        let name = self.cluster.name_of(process).to_string();
        let (_, expected) = self.expected[&name];
        let next = match (act, expected) {
            (Act::Terminate { down }, Expected::Running) => {
                self.stops += 1;
                self.signal(process, ProcessSignal::Terminate);
                Expected::Stopping { since: Instant::now(), down }
            }
            (Act::Kill, Expected::Running | Expected::Stopping { .. }) => {
                self.kills += 1;
                self.cluster.kill(process);
                Expected::Down
            }
            (Act::Start, Expected::Down) => {
                self.start(process);
                Expected::Running
            }
            (Act::Reload, Expected::Running) if !self.has_begun(process) => expected,
            (Act::Reload, Expected::Running) => {
                self.signal_as_expected(process, ProcessSignal::HangUp, expected)
            }
            (Act::Freeze, Expected::Running) => {
                self.signal_as_expected(process, ProcessSignal::Stop, expected)
            }
            (Act::Thaw, Expected::Running | Expected::Stopping { .. }) => {
                self.signal_as_expected(process, ProcessSignal::Continue, expected)
            }
            // A process that was started again meanwhile has a disk that works.
            (Act::FailDisk | Act::RestoreDisk, Expected::Running | Expected::Stopping { .. }) => {
                self.switch_disk(process, act);
                expected
            }
            // Another fault has been there before.
            (_, expected) => expected,
        };
        self.expect(&name, next);
    }

    fn signal_as_expected(
        &mut self,
        process: ClusterProcess,
        signal: ProcessSignal,
        then: Expected,
    ) -> Expected {
        self.signal(process, signal);
        then
    }

    /// Dispatchers have no disk.
    fn switch_disk(&mut self, process: ClusterProcess, act: Act) {
        if process.role == Role::Edge || !self.cluster.is_running(process) {
            return;
        }
        match act {
            Act::FailDisk => self.cluster.fail_disk(process),
            _ => self.cluster.restore_disk(process),
        }
    }

    fn expect(&mut self, name: &str, next: Expected) {
        self.expected.get_mut(name).expect("the process is known").1 = next;
    }

    /// A process may just have ended.
    fn signal(&mut self, process: ClusterProcess, signal: ProcessSignal) {
        if self.cluster.is_running(process) {
            self.cluster.signal(process, signal);
        }
    }

    /// Starts processes that have stopped, and notes those that have ended by themselves or do not stop.
    fn look_after(&mut self) {
        let now = Instant::now();
        for name in self.expected.keys().cloned().collect::<Vec<_>>() {
            let (process, expected) = self.expected[&name];
            let is_running = self.cluster.is_running(process);
            let next = match expected {
                Expected::Running if !is_running => {
                    self.violations.push(format!("{name} has ended by itself"));
                    self.start(process);
                    Expected::Running
                }
                Expected::Stopping { down, .. } if !is_running => Expected::Restarting { at: now + down },
                Expected::Stopping { since, down } if now - since > self.longest_stop(process) => {
                    let stopped_for = now - since;
                    self.violations.push(format!("{name} has not ended {stopped_for:?} after SIGTERM"));
                    self.cluster.kill(process);
                    Expected::Restarting { at: now + down }
                }
                Expected::Restarting { at } if now >= at => {
                    self.start(process);
                    Expected::Running
                }
                other => other,
            };
            self.expect(&name, next);
        }
    }

    /// The platform ends a process by force after `graceS`. A frozen one may need as long again.
    fn longest_stop(&self, process: ClusterProcess) -> Duration {
        let grace = Duration::from_secs_f64(self.cluster.machines[process.machine].settings.bounds.grace_s);
        match self.kind {
            FaultKind::PlannedWork => grace + STALL,
            FaultKind::OverlappingLosses | FaultKind::MassLosses => grace * 2 + STALL,
        }
    }
}
