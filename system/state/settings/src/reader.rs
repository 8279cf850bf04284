//! From the text of a settings file to checked settings.

use crate::document::Document;
use crate::error::{Place, Position, SettingsError, YamlProblem};
use crate::settings::{CloudApi, Serves, Settings};
use serde_saphyr::Location;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

/// Time between signs of life when the file names none.
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1_000);

/// Reads the text of a file; `file` is its name for errors.
pub(crate) fn read_document(text: &str, file: &Path) -> Result<Document, SettingsError> {
    let mut key = String::new();
    let options = serde_saphyr::options! { with_snippet: false };
    let read = serde_saphyr::with_deserializer_from_str_with_options(text, options, |deserializer| {
        serde_path_to_error::deserialize(deserializer).map_err(|error| {
            key = error.path().to_string();
            error.into_inner()
        })
    });
    read.map_err(|error| {
        let position = error.location().and_then(position);
        let key = if key == "." { String::new() } else { key };
        let place = Place { file: file.to_owned(), position, key };
        SettingsError::Value { place, problem: YamlProblem::from(error) }
    })
}

fn position(location: Location) -> Option<Position> {
    let known = location.line() > 0;
    known.then(|| Position { line: location.line(), column: location.column() })
}

/// Turns the document into settings; knows the file for errors.
pub(crate) struct Reader<'a> {
    file: &'a Path,
}

impl<'a> Reader<'a> {
    /// `file`: its name for errors.
    pub(crate) fn new(file: &'a Path) -> Self {
        Self { file }
    }

    /// The settings that the document gives.
    ///
    /// # Errors
    /// As for [`Settings::parse`], but for what is no YAML.
    pub(crate) fn settings(&self, document: Document) -> Result<Settings, SettingsError> {
        let zones = document.zones.unwrap_or_default();
        let zone = self.name(document.zone, "zone")?;
        let region = document.region.or_else(|| zones.get(&zone).cloned());
        let settings = Settings {
            node_name: self.name(document.node_name, "nodeName")?,
            role: document.role.unwrap_or_default(),
            machine_class: document.machine_class.unwrap_or_default(),
            serves: document.serves.map(BTreeSet::from_iter).unwrap_or_default(),
            ip: self.present(document.ip, "ip")?,
            zone,
            region: self.present(region, "region")?,
            zones,
            bind: document.bind_addrs.unwrap_or_default().into(),
            ephemeral_ports: self.present(document.ephemeral_ports, "ephemeralPorts")?,
            seeds: document.seeds.unwrap_or_default(),
            bootstrap: document.bootstrap.unwrap_or(false),
            counts_for_quorum: document.counts_for_quorum.unwrap_or(false),
            limits: document.limits.unwrap_or_default().into(),
            data_dir: document.data_dir.filter(|folder| !folder.as_os_str().is_empty()),
            heartbeat: document.heartbeat_ms.map_or(DEFAULT_HEARTBEAT, |interval| interval.0),
            fault_tolerance: document.fault_tolerance.unwrap_or_default().into(),
            bounds: document.bounds.unwrap_or_default().into(),
            cloud_api: document.cloud_api.and_then(CloudApi::from_document),
        };
        self.check_serves(&settings)?;
        Ok(settings)
    }

    fn place(&self, key: &str) -> Place {
        Place { file: self.file.to_owned(), position: None, key: key.to_owned() }
    }

    fn present<T>(&self, value: Option<T>, key: &str) -> Result<T, SettingsError> {
        value.ok_or_else(|| SettingsError::Missing { place: self.place(key) })
    }

    fn name<T: AsRef<str>>(&self, value: Option<T>, key: &str) -> Result<T, SettingsError> {
        let named = value.filter(|name| !name.as_ref().is_empty());
        self.present(named, key)
    }

    fn check_serves(&self, settings: &Settings) -> Result<(), SettingsError> {
        let needed = [
            (Serves::Edge, "bindAddrs.front", settings.bind.front.is_some()),
            (Serves::Edge, "bindAddrs.readiness", settings.bind.readiness.is_some()),
            (Serves::Control, "bindAddrs.controlPlane", settings.bind.control_plane.is_some()),
            (Serves::Control, "dataDir", settings.data_dir.is_some()),
            (Serves::Storage, "dataDir", settings.data_dir.is_some()),
        ];
        let missing =
            |&&(serves, _, given): &&(Serves, &str, bool)| settings.serves.contains(&serves) && !given;
        match needed.iter().find(missing) {
            None => Ok(()),
            Some(&(serves, key, _)) => Err(SettingsError::NeededToServe { place: self.place(key), serves }),
        }
    }
}
