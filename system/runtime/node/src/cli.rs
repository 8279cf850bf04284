//! The command line.

use crate::error::UsageError;
use crate::mechanisms::Mechanisms;
use lexopt::prelude::*;
use std::ffi::OsString;
use std::fmt;
use std::path::PathBuf;

/// Printed by `--help`.
pub const HELP: &str = "\
millrudder-system: complete ingest and dispatch service

Usage: millrudder-system [--settings FILE] edge|storage|core|check

  edge      take clients' messages, have them kept, deliver them to workers
  storage   keep messages on this machine's disk
  core      keep the configuration, the placement of shards and the list of workers
  check     read and check the settings, then exit

  --without NAME   switch a mechanism off, for a trial; may be repeated
                   (regions, receiver-homes, service-homes)
  --settings FILE  settings of this process; else MILLRUDDER_SETTINGS names the file
  --version        print the version
  --help           print this

The log's level comes from RUST_LOG (error, warn, info, debug, trace); info if it is not set.";

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A dispatcher.
    Edge,
    /// A store.
    Storage,
    /// A core machine.
    Core,
}

impl fmt::Display for Role {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Role::Edge => "edge",
            Role::Storage => "storage",
            Role::Core => "core",
        })
    }
}

/// A command line that can be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Read the settings and exit.
    Check {
        /// The settings file, if the command line names one.
        settings: Option<PathBuf>,
    },
    /// Serve in a role.
    Serve {
        /// The role.
        role: Role,
        /// The settings file, if the command line names one.
        settings: Option<PathBuf>,
        /// The mechanisms that are on.
        mechanisms: Mechanisms,
    },
}

enum Verb {
    Check,
    Serve(Role),
}

/// Parses the command line; `arguments` begin with the program's name.
///
/// # Errors
/// The command line names no command, or a command, option or mechanism that does not exist.
pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Command, UsageError> {
    let mut parser = lexopt::Parser::from_iter(arguments);
    let mut settings = None;
    let mut verb = None;
    let mut mechanisms = Mechanisms::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Long("without") => mechanisms = mechanisms.without(&parser.value()?.to_string_lossy())?,
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Value(word) if verb.is_none() => verb = Some(verb_of(&word)?),
            other => return Err(other.unexpected().into()),
        }
    }
    match verb {
        Some(Verb::Check) => Ok(Command::Check { settings }),
        Some(Verb::Serve(role)) => Ok(Command::Serve { role, settings, mechanisms }),
        None => Err(UsageError::NoCommand),
    }
}

fn verb_of(word: &OsString) -> Result<Verb, UsageError> {
    match word.to_str() {
        Some("check") => Ok(Verb::Check),
        Some("edge") => Ok(Verb::Serve(Role::Edge)),
        Some("storage") => Ok(Verb::Serve(Role::Storage)),
        Some("core") => Ok(Verb::Serve(Role::Core)),
        _ => Err(UsageError::UnknownCommand { word: word.to_string_lossy().into_owned() }),
    }
}
