//! A machine of the system on loopback: its settings file, its ports and its disk.

use super::{MachineClass, ProcessSettings, Serves, SettingsError};
use crate::identity::{NodeName, ZoneName};
use crate::ports::PortBlock;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// What a machine is to be.
#[derive(Clone, Debug)]
pub struct MachinePlan {
    /// Its class.
    pub class: MachineClass,
    /// Where it stands.
    pub zone: ZoneName,
    /// What it serves.
    pub serves: Vec<Serves>,
}

impl MachinePlan {
    /// A machine that serves clients.
    pub fn edge(zone: &str) -> Self {
        Self { class: MachineClass::Edge, zone: ZoneName::from(zone), serves: vec![Serves::Edge] }
    }

    /// A machine that serves the operator.
    pub fn core(zone: &str) -> Self {
        Self { class: MachineClass::Core, zone: ZoneName::from(zone), serves: vec![Serves::Control] }
    }

    /// A machine that keeps data.
    pub fn storage(zone: &str) -> Self {
        Self { class: MachineClass::Storage, zone: ZoneName::from(zone), serves: vec![Serves::Storage] }
    }

    /// That serves the operator too.
    pub fn with_control(mut self) -> Self {
        if !self.serves.contains(&Serves::Control) {
            self.serves.push(Serves::Control);
        }
        self
    }
}

/// A machine of the system on loopback; its ports are its own until it is dropped.
#[derive(Debug)]
pub struct Machine {
    /// What its settings file says.
    pub settings: ProcessSettings,
    settings_path: PathBuf,
    _ports: Arc<PortBlock>,
}

impl Machine {
    pub(super) fn create(
        folder: &Path,
        settings: ProcessSettings,
        ports: Arc<PortBlock>,
    ) -> Result<Self, SettingsError> {
        let settings_path = folder.join(format!("{}.yaml", settings.node_name));
        let machine = Self { settings, settings_path, _ports: ports };
        machine.make_disk()?;
        machine.write()?;
        Ok(machine)
    }

    /// Its name.
    pub fn node_name(&self) -> &NodeName {
        &self.settings.node_name
    }

    /// Where its settings file is.
    pub fn settings_path(&self) -> &Path {
        &self.settings_path
    }

    /// Where clients reach it.
    pub fn front(&self) -> Option<SocketAddr> {
        self.settings.bind_addrs.front
    }

    /// Where it tells whether it is ready.
    pub fn readiness(&self) -> Option<SocketAddr> {
        self.settings.bind_addrs.readiness
    }

    /// Where the operator reaches it.
    pub fn control_plane(&self) -> Option<SocketAddr> {
        self.settings.bind_addrs.control_plane
    }

    /// Changes its settings and replaces the file at once; the process is told by a signal, or finds out.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn rewrite(&mut self, change: impl FnOnce(&mut ProcessSettings)) -> Result<(), SettingsError> {
        change(&mut self.settings);
        self.write()
    }

    /// Empties its disk, as after the loss of a disk; its process must not be running.
    ///
    /// # Errors
    /// If the folder cannot be emptied.
    pub fn wipe_disk(&self) -> Result<(), SettingsError> {
        let Some(folder) = &self.settings.data_dir else { return Ok(()) };
        match fs::remove_dir_all(folder) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(write_error(folder, error)),
            _ => self.make_disk(),
        }
    }

    fn make_disk(&self) -> Result<(), SettingsError> {
        let Some(folder) = &self.settings.data_dir else { return Ok(()) };
        fs::create_dir_all(folder).map_err(|source| write_error(folder, source))
    }

    fn write(&self) -> Result<(), SettingsError> {
        let text = serde_saphyr::to_string(&self.settings)?;
        let fresh = self.settings_path.with_extension("yaml.new");
        fs::write(&fresh, text).map_err(|source| write_error(&fresh, source))?;
        fs::rename(&fresh, &self.settings_path).map_err(|source| write_error(&self.settings_path, source))
    }
}

fn write_error(path: &Path, source: io::Error) -> SettingsError {
    SettingsError::Write { path: path.to_owned(), source }
}
