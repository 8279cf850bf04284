//! Real processes of the system's program, which end with the group at the latest.

use crate::eventually::eventually_some;
use crate::identity::ProcessName;
use crate::process_log::ProcessLog;
use crate::settings::MachineClass;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use thiserror::Error;

const SETTINGS_VARIABLE: &str = "MILLRUDDER_SETTINGS";
/// Has a process lead a group of its own.
const OWN_GROUP: i32 = 0;
/// The variables that a process gets of its caller's.
const PASSED_ON: [&str; 3] = ["PATH", "HOME", "LANG"];

/// The program's first argument.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// `edge`
    Edge,
    /// `core`
    Core,
    /// `storage`
    Storage,
}

impl From<MachineClass> for Role {
    fn from(class: MachineClass) -> Self {
        match class {
            MachineClass::Edge => Role::Edge,
            MachineClass::Core => Role::Core,
            MachineClass::Storage => Role::Storage,
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Role::Edge => "edge",
            Role::Core => "core",
            Role::Storage => "storage",
        })
    }
}

/// What is done to a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessSignal {
    /// SIGTERM: end in order.
    Terminate,
    /// SIGKILL: end at once.
    Kill,
    /// SIGHUP: the settings have changed.
    HangUp,
    /// SIGSTOP: freeze.
    Stop,
    /// SIGCONT: thaw.
    Continue,
}

impl ProcessSignal {
    fn number(self) -> Signal {
        match self {
            ProcessSignal::Terminate => Signal::TERM,
            ProcessSignal::Kill => Signal::KILL,
            ProcessSignal::HangUp => Signal::HUP,
            ProcessSignal::Stop => Signal::STOP,
            ProcessSignal::Continue => Signal::CONT,
        }
    }
}

/// Why a process could not be started, signalled or waited for.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// It could not be started.
    #[error("cannot start {name} from {binary}")]
    Start {
        /// The process.
        name: ProcessName,
        /// The program.
        binary: PathBuf,
        /// What the machine said.
        source: io::Error,
    },
    /// A process of that name is running already.
    #[error("{name} is running already")]
    Running {
        /// The process.
        name: ProcessName,
    },
    /// The group has no such process, or it has ended.
    #[error("{name} is not running")]
    NotRunning {
        /// The process.
        name: ProcessName,
    },
    /// The machine refused.
    #[error("cannot reach {name}")]
    Unreachable {
        /// The process.
        name: ProcessName,
        /// What the machine said.
        source: io::Error,
    },
    /// It has not ended in time.
    #[error("{name} has not ended within {bound:?}")]
    StillRunning {
        /// The process.
        name: ProcessName,
        /// How long it was waited for.
        bound: Duration,
    },
}

/// Processes of one program. Those that still run when the group is dropped are killed.
#[derive(Debug)]
pub struct ProcessGroup {
    binary: PathBuf,
    environment: BTreeMap<String, String>,
    processes: BTreeMap<ProcessName, Process>,
    apart: bool,
}

#[derive(Debug)]
struct Process {
    child: Child,
    log: ProcessLog,
}

impl ProcessGroup {
    /// An empty group of processes of the program at `binary`.
    pub fn new(binary: impl Into<PathBuf>) -> Self {
        Self { binary: binary.into(), environment: BTreeMap::new(), processes: BTreeMap::new(), apart: false }
    }

    /// With a variable for all processes, such as one that sets the log's level.
    pub fn with_variable(mut self, name: &str, value: &str) -> Self {
        self.environment.insert(name.to_owned(), value.to_owned());
        self
    }

    /// Whose processes do not get what the terminal signals its foreground, such as Ctrl-C: the caller gets it alone,
    /// and ends them in its own order.
    pub fn apart(mut self) -> Self {
        self.apart = true;
        self
    }

    /// Starts a process in a role, with a settings file. A name whose process has ended may be used again; its log
    /// goes on.
    ///
    /// # Errors
    /// If the name is in use, or the program cannot be started.
    pub fn start(&mut self, name: &ProcessName, role: Role, settings: &Path) -> Result<(), ProcessError> {
        if self.is_running(name) {
            return Err(ProcessError::Running { name: name.clone() });
        }
        let log = self.log(name).unwrap_or_default();
        let started = self.command(role, settings).spawn();
        let mut child = started.map_err(|source| ProcessError::Start {
            name: name.clone(),
            binary: self.binary.clone(),
            source,
        })?;
        if let Some(output) = child.stdout.take() {
            log.follow(output);
        }
        if let Some(errors) = child.stderr.take() {
            log.follow(errors);
        }
        self.processes.insert(name.clone(), Process { child, log });
        Ok(())
    }

    fn command(&self, role: Role, settings: &Path) -> Command {
        let mut command = Command::new(&self.binary);
        command.arg(role.to_string());
        command.env_clear();
        command.envs(PASSED_ON.iter().filter_map(|name| Some((name, std::env::var_os(name)?))));
        command.envs(&self.environment);
        command.env(SETTINGS_VARIABLE, settings);
        if self.apart {
            command.process_group(OWN_GROUP);
        }
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }

    /// Whether a process of that name is running, frozen ones included.
    pub fn is_running(&mut self, name: &ProcessName) -> bool {
        let process = self.processes.get_mut(name);
        process.is_some_and(|process| matches!(process.child.try_wait(), Ok(None)))
    }

    /// What a process has written; `None` if there was never one of that name.
    pub fn log(&self, name: &ProcessName) -> Option<ProcessLog> {
        self.processes.get(name).map(|process| process.log.clone())
    }

    /// The process id, as long as it runs.
    pub fn id(&mut self, name: &ProcessName) -> Option<u32> {
        self.is_running(name).then(|| self.processes.get(name).map(|process| process.child.id()))?
    }

    /// Signals one process.
    ///
    /// # Errors
    /// If it is not running, or the machine refuses.
    pub fn signal(&mut self, name: &ProcessName, signal: ProcessSignal) -> Result<(), ProcessError> {
        // A child that has not been waited for keeps its id, so no other process can be hit.
        let pid = self.id(name).and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        let pid = pid.ok_or_else(|| ProcessError::NotRunning { name: name.clone() })?;
        kill_process(pid, signal.number())
            .map_err(|error| ProcessError::Unreachable { name: name.clone(), source: error.into() })
    }

    /// Signals every process that runs, one right after the other.
    ///
    /// # Errors
    /// If the machine refuses one of them; the others are signalled nevertheless.
    pub fn signal_all(&mut self, signal: ProcessSignal) -> Result<(), ProcessError> {
        let names: Vec<ProcessName> = self.processes.keys().cloned().collect();
        let mut result = Ok(());
        for name in names {
            match self.signal(&name, signal) {
                Ok(()) | Err(ProcessError::NotRunning { .. }) => {}
                Err(error) => result = Err(error),
            }
        }
        result
    }

    /// Waits for the end of a process, at most for `bound`.
    ///
    /// # Errors
    /// If there is no such process, or it has not ended in time.
    pub async fn wait_for_exit(
        &mut self,
        name: &ProcessName,
        bound: Duration,
    ) -> Result<ExitStatus, ProcessError> {
        let process = self.processes.get_mut(name);
        let process = process.ok_or_else(|| ProcessError::NotRunning { name: name.clone() })?;
        let exited = eventually_some(bound, async || process.child.try_wait().transpose()).await;
        let status = exited.map_err(|_| ProcessError::StillRunning { name: name.clone(), bound })?;
        status.map_err(|source| ProcessError::Unreachable { name: name.clone(), source })
    }

    /// Kills one process and waits for its end.
    ///
    /// # Errors
    /// If there is no such process, or the machine refuses.
    pub fn kill(&mut self, name: &ProcessName) -> Result<(), ProcessError> {
        let process = self.processes.get_mut(name);
        let process = process.ok_or_else(|| ProcessError::NotRunning { name: name.clone() })?;
        process.kill().map_err(|source| ProcessError::Unreachable { name: name.clone(), source })
    }
}

impl Process {
    fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }
}

impl Drop for ProcessGroup {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            // Nothing more can be done about a process that cannot be killed.
            let _ = process.kill();
        }
    }
}
