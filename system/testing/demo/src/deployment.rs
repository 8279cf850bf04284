//! The machines with their processes, the platform, the workers, a receiver and the operator.

use crate::error::DemoError;
use crate::kinds::{self, SERVICES};
use crate::options::Options;
use millrudder_system_standins::{
    eventually_some, ArrivalLog, Behaviour, CallbackReceiver, Client, ConfigurationBuilder,
    ConfigurationVersion, Machine, MachineClass, MachinePlan, Operator, OperatorPlan, Platform, PlatformPlan,
    ProcessGroup, ProcessName, ProcessSignal, PutOutcome, ReceiverPlan, Role, Script, SettingsWriter, Worker,
    WorkerPlan,
};
use std::net::SocketAddr;
use std::time::Duration;
use tempfile::TempDir;

const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];
/// Generous, for a machine that is busy with other things.
const START_BOUND: Duration = Duration::from_secs(60);
/// Beyond what a process may take after SIGTERM it is killed.
const STOP_BOUND: Duration = Duration::from_secs(8);

/// All that runs. Dropped, it ends with all its processes.
pub struct Deployment {
    processes: ProcessGroup,
    machines: Vec<Machine>,
    operator: Operator,
    configuration: ConfigurationBuilder,
    version: u64,
    workers: Vec<Worker>,
    workers_started: usize,
    script: Script<Behaviour>,
    arrival_log: ArrivalLog,
    platform: Platform,
    receiver: CallbackReceiver,
    _folder: TempDir,
}

impl Deployment {
    /// Starts three core, three storage and three edge processes with a first configuration.
    ///
    /// # Errors
    /// Something cannot be started, or does not become ready.
    pub async fn start(options: &Options) -> Result<Self, DemoError> {
        if !options.program.is_file() {
            return Err(DemoError::NoProgram { path: options.program.clone() });
        }
        let folder = tempfile::tempdir()?;
        let platform = Platform::start(PlatformPlan::default()).await?;
        let machines = SettingsWriter::new(folder.path(), platform.address()).write(&plans())?;
        let addresses = machines.iter().filter_map(Machine::control_plane).collect();
        let processes = ProcessGroup::new(&options.program).with_variable("RUST_LOG", "warn").apart();
        let plan = OperatorPlan { give_up: START_BOUND, ..OperatorPlan::default() };
        let mut deployment = Deployment {
            processes,
            machines,
            operator: Operator::with_plan(addresses, plan),
            configuration: kinds::configuration(),
            version: 0,
            workers: Vec::new(),
            workers_started: 0,
            script: Script::default(),
            arrival_log: ArrivalLog::new(),
            platform,
            receiver: CallbackReceiver::start(ReceiverPlan::default()).await?,
            _folder: folder,
        };
        deployment.start_processes()?;
        deployment.start_workers().await?;
        deployment.configure(kinds::configuration()).await?;
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    fn start_processes(&mut self) -> Result<(), DemoError> {
        for number in 0..self.machines.len() {
            self.start_process(number)?;
        }
        Ok(())
    }

    fn start_process(&mut self, number: usize) -> Result<(), DemoError> {
        let machine = &self.machines[number];
        let role = match machine.settings.machine_class {
            MachineClass::Edge => Role::Edge,
            MachineClass::Core => Role::Core,
            MachineClass::Storage => Role::Storage,
        };
        let name = process_name(machine);
        self.processes.start(&name, role, machine.settings_path())?;
        if let Some(id) = self.processes.id(&name) {
            println!("{name} is process {id}");
        }
        Ok(())
    }

    async fn start_workers(&mut self) -> Result<(), DemoError> {
        for service in SERVICES {
            for zone in ZONES {
                self.start_worker(service, zone).await?;
            }
        }
        Ok(())
    }

    async fn start_worker(&mut self, service: &str, zone: &str) -> Result<(), DemoError> {
        self.workers_started += 1;
        let plan = WorkerPlan::new(service, format!("i-{}", self.workers_started));
        let plan = WorkerPlan { zone: zone.into(), script: self.script.clone(), ..plan };
        let worker = Worker::start(plan, self.arrival_log.clone()).await?;
        self.platform.add(worker.listed());
        self.workers.push(worker);
        Ok(())
    }

    /// Brings a configuration into force, under the next version.
    ///
    /// # Errors
    /// It is refused, or has no clear answer.
    async fn configure(&mut self, configuration: ConfigurationBuilder) -> Result<(), DemoError> {
        let next = self.version + 1;
        let configuration = configuration.with_version(next);
        let current = ConfigurationVersion(self.version);
        let outcome = self.operator.put(&configuration.build()?, current).await?;
        if outcome != PutOutcome::Taken {
            return Err(DemoError::Refused { outcome });
        }
        self.configuration = configuration;
        self.version = next;
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), DemoError> {
        let client = Client::new();
        for address in self.machines.iter().filter_map(Machine::readiness) {
            eventually_some(START_BOUND, async || client.is_ready(address).await.then_some(())).await?;
        }
        Ok(())
    }

    /// Adds a route; returns the configuration's version.
    ///
    /// # Errors
    /// As for a configuration.
    pub async fn add_route(&mut self) -> Result<u64, DemoError> {
        let route = kinds::further_route(self.version + 1);
        self.configure(self.configuration.clone().route(route)).await?;
        Ok(self.version)
    }

    /// Shows the oldest worker as draining, with a new one in its place; returns the name of the former.
    ///
    /// # Errors
    /// The new one cannot be started.
    pub async fn replace_worker(&mut self) -> Result<String, DemoError> {
        let Some(oldest) = self.workers.first() else { return Ok(String::new()) };
        let leaving = oldest.listed();
        self.platform.drain(&leaving.instance_id);
        self.start_worker(leaving.backend.as_str(), leaving.zone.as_str()).await?;
        Ok(leaving.instance_id.to_string())
    }

    /// Ends the oldest worker, which has been draining.
    pub fn end_oldest_worker(&mut self) {
        let oldest = self.workers.remove(0);
        self.platform.remove(oldest.instance());
    }

    /// Kills the first store; returns its name.
    ///
    /// # Errors
    /// It cannot be killed.
    pub fn kill_store(&mut self) -> Result<ProcessName, DemoError> {
        let name = process_name(&self.machines[self.first_store()]);
        self.processes.kill(&name)?;
        Ok(name)
    }

    /// Starts the first store again.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start_store(&mut self) -> Result<(), DemoError> {
        self.start_process(self.first_store())
    }

    fn first_store(&self) -> usize {
        let is_store = |machine: &Machine| machine.settings.machine_class == MachineClass::Storage;
        self.machines.iter().position(is_store).unwrap_or_default()
    }

    /// Where clients reach the dispatchers.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.machines.iter().filter_map(Machine::front).collect()
    }

    /// What workers do with each message.
    pub fn script(&self) -> Script<Behaviour> {
        self.script.clone()
    }

    /// Takes call-backs.
    pub fn receiver(&self) -> &CallbackReceiver {
        &self.receiver
    }

    /// Stops all processes in order: dispatchers first, while stores and core still answer.
    pub async fn stop(mut self) {
        for class in [MachineClass::Edge, MachineClass::Storage, MachineClass::Core] {
            self.stop_class(class).await;
        }
    }

    async fn stop_class(&mut self, class: MachineClass) {
        let of_class = |machine: &&Machine| machine.settings.machine_class == class;
        let mut names: Vec<_> = self.machines.iter().filter(of_class).map(process_name).collect();
        // A store may be down just now.
        names.retain(|name| self.processes.is_running(name));
        for name in &names {
            // One that has ended already needs no signal.
            let _ = self.processes.signal(name, ProcessSignal::Terminate);
        }
        for name in &names {
            match self.processes.wait_for_exit(name, STOP_BOUND).await {
                Ok(status) if status.success() => {}
                Ok(status) => println!("{name} has ended with {status}"),
                Err(error) => println!("{error}; it is killed"),
            }
        }
    }
}

fn plans() -> Vec<MachinePlan> {
    let core = ZONES.into_iter().map(MachinePlan::core);
    let storage = ZONES.into_iter().map(MachinePlan::storage);
    let edge = ZONES.into_iter().map(MachinePlan::edge);
    core.chain(storage).chain(edge).collect()
}

fn process_name(machine: &Machine) -> ProcessName {
    ProcessName::from(machine.node_name().as_str())
}
