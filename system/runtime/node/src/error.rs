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
    #[error("no command is given")]
    #[diagnostic(help("one of edge, storage, core, check; see --help"))]
    NoCommand,
    #[error("there is no command '{word}'")]
    #[diagnostic(help("one of edge, storage, core, check; see --help"))]
    UnknownCommand { word: String },
    #[error(transparent)]
    #[diagnostic(help("see --help"))]
    Mechanism(#[from] UnknownMechanism),
    #[error(transparent)]
    Argument(#[from] lexopt::Error),
}

/// A process cannot serve.
#[derive(Debug, Error, Diagnostic)]
pub enum RoleError {
    #[error("no settings file is named")]
    #[diagnostic(help("name it by --settings FILE or by the variable MILLRUDDER_SETTINGS"))]
    NoSettings,
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    #[error("the settings lack '{key}', which this role needs")]
    MissingKey { key: &'static str },
    #[error("cannot listen on {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
    #[error("the data folder cannot be used: {0}")]
    Slots(#[from] millrudder_checkpoint_store::StorageError),
    #[error("the data folder cannot be used: {0}")]
    Records(#[from] millrudder_record_log::RecordLogError),
    #[error("the data folder cannot be made: {0}")]
    Folder(#[source] io::Error),
    #[error("the state on disk cannot be read")]
    Unreadable,
    #[error("the core's state cannot be used: {0}")]
    Core(#[from] millrudder_chain::StartError),
    #[error("the runtime cannot start: {0}")]
    Runtime(#[source] io::Error),
}
