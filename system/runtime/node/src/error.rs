//! Why a process does not start or does not go on.

use crate::mechanisms::UnknownMechanism;
use miette::Diagnostic;
use millrudder_settings::SettingsError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The command line cannot be used.
#[derive(Debug, Error, Diagnostic)]
pub enum UsageError {
    /// The command line names no command.
    #[error("no command is given")]
    #[diagnostic(help("one of edge, storage, core, check; see --help"))]
    NoCommand,
    /// The command line names a command that does not exist.
    #[error("there is no command '{word}'")]
    #[diagnostic(help("one of edge, storage, core, check; see --help"))]
    UnknownCommand {
        /// The word in the command's place.
        word: String,
    },
    /// `--without` names a mechanism that does not exist.
    #[error(transparent)]
    #[diagnostic(help("see --help"))]
    Mechanism(#[from] UnknownMechanism),
    /// An option is unknown or lacks its value.
    #[error(transparent)]
    Argument(#[from] lexopt::Error),
}

/// A process cannot serve, or cannot go on serving.
#[derive(Debug, Error, Diagnostic)]
pub enum RoleError {
    /// Neither the command line nor the environment names a settings file.
    #[error("no settings file is named")]
    #[diagnostic(help("name it by --settings FILE or by the variable MILLRUDDER_SETTINGS"))]
    NoSettings,
    /// The settings file cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// The settings lack a key that this role needs.
    #[error("the settings lack '{key}', which this role needs")]
    MissingKey {
        /// The key, with the keys that it is nested in.
        key: &'static str,
    },
    /// A listening socket cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// What the operating system says.
        source: io::Error,
    },
    /// The checkpoint store in the data folder cannot be opened, or failed.
    #[error("the data folder cannot be used: {0}")]
    Checkpoints(#[from] millrudder_checkpoint_store::StorageError),
    /// The record log in the data folder cannot be opened, or failed.
    #[error("the data folder cannot be used: {0}")]
    Records(#[from] millrudder_record_log::RecordLogError),
    /// The data folder does not exist and cannot be created.
    #[error("the data folder cannot be made: {0}")]
    Folder(#[source] io::Error),
    /// What was read from the disk passed its checksums, but cannot be decoded or encoded again.
    #[error("the state on disk cannot be read: {0}")]
    Unreadable(#[source] speedy::Error),
    /// The core's state machine does not accept the state on the disk or its configuration.
    #[error("the core's state cannot be used: {0}")]
    Core(#[from] millrudder_chain::StartError),
    /// The runtime or its signal handlers cannot be set up.
    #[error("the runtime cannot start: {0}")]
    Runtime(#[source] io::Error),
}
