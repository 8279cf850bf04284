//! Errors of the start.

use millrudder_config::settings::SettingsError;
use millrudder_config::ConfigError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why the dispatcher cannot start, or has failed.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("settings: {0}")]
    Settings(#[source] SettingsError),
    #[error("configuration: {0}")]
    Configuration(#[source] ConfigError),
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    #[error("NODE_INHERITED_FD: {0}")]
    InheritedListener(#[source] io::Error),
    #[error("control socket {}: {source}", path.display())]
    ControlSocket { path: PathBuf, source: io::Error },
    #[error("listen for operators on {address}: {source}")]
    ListenForOperators { address: SocketAddr, source: io::Error },
    /// The thread that takes over from the predecessor cannot be started.
    #[error("upgrade: {0}")]
    Upgrade(#[source] io::Error),
    /// The coroutine that owns the decision module has panicked.
    #[error("the dispatch coroutine has failed")]
    DispatchFailed,
    #[error("listen on {address}: {source}")]
    Listen { address: SocketAddr, source: io::Error },
}

/// Why the demo cannot start.
#[derive(Debug, Error)]
pub enum DemoError {
    #[error(transparent)]
    Start(#[from] StartError),
    #[error("stand-ins: {0}")]
    StandIns(#[source] io::Error),
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
