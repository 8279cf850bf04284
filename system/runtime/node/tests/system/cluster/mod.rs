//! A complete system on loopback: the built program in all its roles, and stand-ins for everything outside it.

mod disks;
mod load;
mod log;
mod messages;
mod permits;
mod scenarios;
mod sockets;

pub use load::{Load, LoadPlan};
pub use messages::Sent;
use permits::ClusterPermit;
pub use scenarios::{run_together, Scenario};

use millrudder_system_standins::{
    eventually, eventually_some, ArrivalLog, Client, Configuration, ConfigurationBuilder,
    ConfigurationVersion, FaultTolerance, Machine, MachinePlan, Operator, OperatorPlan, Platform,
    PlatformPlan, ProcessGroup, ProcessName, ProcessSignal, PutOutcome, Role, Serves, SettingsWriter, Worker,
    WorkerPlan,
};
use std::net::SocketAddr;
use std::process::ExitStatus;
use std::time::Duration;
use tempfile::TempDir;

/// Generous: what does not come within it on a busy machine does not come at all.
pub const BOUND: Duration = Duration::from_secs(30);
/// A busy machine may not schedule a process for this long.
const STALL: Duration = Duration::from_secs(2);
/// Files here are in memory: other programs' writes to the disk hold no process up.
const MEMORY_FOLDER: &str = "/dev/shm";
/// The zones of every deployment here.
const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];
/// The program.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_millrudder-system");

/// Dispatchers log which messages they have withdrawn.
const LOG_LEVELS: &str = "info,millrudder_system::edge=debug";

/// How many machines of each class; they are spread over the three zones in turn.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSize {
    pub core: usize,
    pub storage: usize,
    pub edge: usize,
    pub tolerated_losses: u32,
}

impl ClusterSize {
    /// Tolerates the loss of any one machine, with a dispatcher in each zone.
    pub const FULL: ClusterSize = ClusterSize { core: 3, storage: 3, edge: 3, tolerated_losses: 1 };

    fn plans(self) -> Vec<MachinePlan> {
        let zone = |number: usize| ZONES[number % ZONES.len()];
        let core = (0..self.core).map(|number| MachinePlan::core(zone(number)));
        let storage = (0..self.storage).map(|number| MachinePlan::storage(zone(number)));
        let edge = (0..self.edge).map(|number| MachinePlan::edge(zone(number)));
        core.chain(storage).chain(edge).collect()
    }
}

/// One process of the system, as the fixture knows it: a role on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterProcess {
    /// Index of the machine in the list.
    pub machine: usize,
    pub role: Role,
}

/// A running system with its platform and operator; it ends when it is dropped.
pub struct Cluster {
    pub processes: ProcessGroup,
    pub machines: Vec<Machine>,
    pub platform: Platform,
    pub operator: Operator,
    pub client: Client,
    pub arrival_log: ArrivalLog,
    _folder: TempDir,
    _permit: ClusterPermit,
}

impl Cluster {
    /// Starts all processes; no configuration is active yet.
    pub async fn start(size: ClusterSize) -> Self {
        let permit = ClusterPermit::acquire().await;
        let folder = folder();
        let platform = Platform::start(PlatformPlan::default()).await.unwrap();
        let tolerance = FaultTolerance { machines: size.tolerated_losses, ..FaultTolerance::default() };
        let writer = SettingsWriter::new(folder.path(), platform.address());
        let mut writer = writer.with_fault_tolerance(tolerance);
        let machines = writer.write(&size.plans()).unwrap();
        let program = disks::program_that_survives_the_file_limit(folder.path());
        let processes = ProcessGroup::new(program).with_variable("RUST_LOG", LOG_LEVELS);
        let operator = operator_of(&machines);
        let (client, arrival_log) = (Client::new(), ArrivalLog::new());
        let mut cluster = Cluster {
            processes,
            machines,
            platform,
            operator,
            client,
            arrival_log,
            _folder: folder,
            _permit: permit,
        };
        cluster.start_all();
        cluster
    }

    /// Starts all processes with a first configuration, and waits until every dispatcher is ready.
    pub async fn configured(size: ClusterSize, configuration: &ConfigurationBuilder) -> Self {
        let cluster = Cluster::start(size).await;
        cluster.configure(configuration).await;
        cluster
    }

    /// Settings of every machine as after the first start of the system.
    pub fn disable_bootstrap(&mut self) {
        for machine in &mut self.machines {
            machine.rewrite(|settings| settings.bootstrap = false).unwrap();
        }
    }

    /// Sends the first configuration, and waits until every dispatcher is ready.
    pub async fn configure(&self, configuration: &ConfigurationBuilder) {
        let outcome = self.put(&configuration.build().unwrap(), 0).await;
        assert_eq!(outcome, PutOutcome::Taken, "the first configuration");
        self.all_ready().await;
    }

    /// Every process, those that do not run now included.
    pub fn all_processes(&self) -> Vec<ClusterProcess> {
        let roles = self.machines.iter().map(|machine| roles_of(&machine.settings.serves));
        let processes = roles.enumerate().flat_map(|(machine, roles)| {
            let process = move |role| ClusterProcess { machine, role };
            roles.into_iter().map(process)
        });
        processes.collect()
    }

    /// The processes of one role.
    pub fn processes_of(&self, role: Role) -> Vec<ClusterProcess> {
        let mut processes = self.all_processes();
        processes.retain(|process| process.role == role);
        processes
    }

    /// Starts every process that is not running.
    pub fn start_all(&mut self) {
        for process in self.all_processes() {
            if !self.is_running(process) {
                self.start_process(process);
            }
        }
    }

    /// Starts a process.
    pub fn start_process(&mut self, process: ClusterProcess) {
        let name = self.name_of(process);
        let settings = self.machines[process.machine].settings_path();
        self.processes.start(&name, process.role, settings).unwrap();
    }

    pub fn is_running(&mut self, process: ClusterProcess) -> bool {
        self.processes.is_running(&self.name_of(process))
    }

    /// What a process is called.
    pub fn name_of(&self, process: ClusterProcess) -> ProcessName {
        ProcessName::new(format!("{} {}", self.machines[process.machine].node_name(), process.role))
    }

    /// What a process has written.
    pub fn log_of(&self, process: ClusterProcess) -> Vec<String> {
        self.processes.log(&self.name_of(process)).map_or_else(Vec::new, |log| log.lines())
    }

    /// The addresses that clients are sent to.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.machines.iter().filter_map(Machine::front).collect()
    }

    /// The addresses that the operator is sent to.
    pub fn control_planes(&self) -> Vec<SocketAddr> {
        self.machines.iter().filter_map(Machine::control_plane).collect()
    }

    /// Waits until every dispatcher is ready.
    pub async fn all_ready(&self) {
        for machine in &self.machines {
            let Some(address) = machine.readiness() else { continue };
            let ready = eventually_some(BOUND, async || self.client.is_ready(address).await.then_some(()));
            assert!(ready.await.is_ok(), "{} is not ready", machine.node_name());
        }
    }

    /// Waits until a dispatcher is no longer ready.
    pub async fn becomes_unready(&self, readiness: SocketAddr) {
        let unready = eventually_some(BOUND, async || (!self.client.is_ready(readiness).await).then_some(()));
        assert!(unready.await.is_ok(), "{readiness} is still ready");
    }

    /// Waits until every core machine gives back this configuration.
    pub async fn core_agrees(&self, configuration: &Configuration) {
        for address in self.control_planes() {
            let operator = Operator::new(vec![address]);
            let agrees = eventually_some(BOUND, async || {
                let answer = operator.get().await.ok()?.answer;
                (answer.body == configuration.body).then_some(())
            });
            assert!(agrees.await.is_ok(), "{address} has another configuration");
        }
    }

    /// Sends a configuration that builds on `if_version`, until there is a clear answer.
    pub async fn put(&self, configuration: &Configuration, if_version: u64) -> PutOutcome {
        self.operator.put(configuration, ConfigurationVersion(if_version)).await.unwrap()
    }

    /// Starts a worker and puts it on the platform's list.
    pub async fn worker(&self, plan: WorkerPlan) -> Worker {
        let worker = Worker::start(plan, self.arrival_log.clone()).await.unwrap();
        self.platform.add(worker.listed());
        worker
    }

    /// Starts a worker at an address that another one has just left; it is not on the platform's list.
    pub async fn successor(&self, address: SocketAddr, plan: WorkerPlan) -> Worker {
        let start = async || Worker::start_at(address, plan.clone(), self.arrival_log.clone()).await.ok();
        eventually_some(BOUND, start).await.unwrap_or_else(|_| panic!("{address} is not free"))
    }

    /// Signals a process.
    pub fn signal(&mut self, process: ClusterProcess, signal: ProcessSignal) {
        self.processes.signal(&self.name_of(process), signal).unwrap();
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, process: ClusterProcess) {
        self.processes.kill(&self.name_of(process)).unwrap();
    }

    /// Kills every process, and waits for their ends.
    pub fn kill_all(&mut self) {
        self.processes.signal_all(ProcessSignal::Kill).unwrap();
        for process in self.all_processes() {
            self.kill(process);
        }
    }

    /// Kills a process and empties its disk.
    pub fn lose_disk(&mut self, process: ClusterProcess) {
        self.kill(process);
        self.machines[process.machine].wipe_disk().unwrap();
    }

    /// Waits for the end of a process, as long as the platform does after SIGTERM and as this machine may stall.
    pub async fn exit_within_grace(&mut self, process: ClusterProcess) -> ExitStatus {
        let grace = Duration::from_secs_f64(self.machines[process.machine].settings.bounds.grace_s);
        let name = self.name_of(process);
        self.processes.wait_for_exit(&name, grace + STALL).await.unwrap()
    }

    /// Waits until a process writes a line with this text, or has written one.
    pub async fn writes(&self, process: ClusterProcess, text: &str) {
        let written = || self.log_of(process).iter().any(|line| line.contains(text));
        let written = eventually(BOUND, written).await;
        assert!(written.is_ok(), "{} does not write: {text}", self.name_of(process));
    }

    /// Prints what all processes have written.
    pub fn print_logs(&self) {
        for process in self.all_processes() {
            println!("--- {}", self.name_of(process));
            for line in self.log_of(process) {
                println!("{line}");
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
    }
}

fn roles_of(serves: &[Serves]) -> Vec<Role> {
    let role = |serves: &Serves| match serves {
        Serves::Edge => Role::Edge,
        Serves::Control => Role::Core,
        Serves::Storage => Role::Storage,
    };
    serves.iter().map(role).collect()
}

fn folder() -> TempDir {
    tempfile::tempdir_in(MEMORY_FOLDER).or_else(|_| tempfile::tempdir()).unwrap()
}

fn operator_of(machines: &[Machine]) -> Operator {
    let addresses = machines.iter().filter_map(Machine::control_plane).collect();
    Operator::with_plan(addresses, OperatorPlan { give_up: BOUND, ..OperatorPlan::default() })
}
