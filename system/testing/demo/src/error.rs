//! Why the demo cannot start or go on.

use millrudder_system_standins::{NotInTime, OrderError, ProcessError, PutOutcome, SettingsError};
use std::error::Error;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// The command line cannot be used.
#[derive(Debug, Error)]
pub enum UsageError {
    #[error("{0}; see --help")]
    Argument(#[from] lexopt::Error),
    #[error("--rate takes messages a second from {least} to {most}, not {rate}")]
    Rate { rate: f64, least: f64, most: f64 },
}

/// The demo cannot start or go on.
#[derive(Debug, Error)]
pub enum DemoError {
    #[error("there is no program at {}; `cargo build -p millrudder-system` makes it", path.display())]
    NoProgram { path: PathBuf },
    #[error("something on this machine is not to be had")]
    Machine(#[from] io::Error),
    #[error("settings cannot be written")]
    Settings(#[from] SettingsError),
    #[error("a process cannot be started or stopped")]
    Process(#[from] ProcessError),
    #[error("a configuration cannot be written")]
    Configuration(#[from] serde_json::Error),
    #[error("the operator has no clear answer")]
    Order(#[from] OrderError),
    #[error("a configuration is refused: {outcome:?}")]
    Refused { outcome: PutOutcome },
    #[error("it was told to stop before all were ready")]
    StoppedAtStart,
    #[error("the dispatchers do not become ready")]
    NotReady(#[from] NotInTime),
}

/// An error with what caused it, on one line.
pub fn with_causes(error: &dyn Error) -> String {
    let causes = std::iter::successors(Some(error), |error| (*error).source());
    let texts: Vec<String> = causes.map(ToString::to_string).collect();
    texts.join(": ")
}
