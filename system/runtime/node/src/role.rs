//! Starts a role: reads its settings, makes the runtime, runs its shell until that ends.

use crate::cli::Role;
use crate::error::RoleError;
use crate::mechanisms::Mechanisms;
use crate::signals::Signals;
use crate::{core, edge, storage};
use millrudder_settings::{Settings, VARIABLE};
use std::path::{Path, PathBuf};
use tokio::task::LocalSet;

/// Reads the settings named by the command line, or else by the environment.
///
/// # Errors
/// No file is named, or it cannot be used.
pub fn load_settings(file: Option<&Path>) -> Result<Settings, RoleError> {
    Ok(Settings::load(&settings_file(file)?)?)
}

fn settings_file(file: Option<&Path>) -> Result<PathBuf, RoleError> {
    match file {
        Some(file) => Ok(file.to_owned()),
        None => std::env::var_os(VARIABLE).map(PathBuf::from).ok_or(RoleError::NoSettings),
    }
}

/// Serves in a role until a signal asks the process to stop.
///
/// # Errors
/// The process cannot start, or cannot go on serving.
pub fn serve(role: Role, file: Option<PathBuf>, mechanisms: Mechanisms) -> miette::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(RoleError::Runtime)?;
    // First of all: until then the default action of a signal ends the process without a word.
    let signals = runtime.block_on(async { Signals::install() })?;
    let file = settings_file(file.as_deref())?;
    let mut settings = load_settings(Some(&file))?;
    mechanisms.apply(&mut settings);
    let local = LocalSet::new();
    log::info!(node_name = &*settings.node_name, role:%, mechanisms:%; "starting");
    let ended = local.block_on(&runtime, async {
        match role {
            Role::Edge => edge::run(settings, file, signals).await,
            Role::Storage => storage::run(settings, file, signals, mechanisms).await,
            Role::Core => core::run(settings, file, signals).await,
        }
    });
    drop(local);
    // An attempt to open a disk that stalls may never return; the process ends nevertheless.
    runtime.shutdown_background();
    ended?;
    log::info!("stopped");
    Ok(())
}
