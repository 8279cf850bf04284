//! Parsing and validation of a settings file.

use crate::document::Document;
use crate::error::{Position, SettingLocation, SettingsError, YamlError};
use crate::settings::{CloudApi, Serves, Settings};
use serde_saphyr::Location;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

/// Interval of heartbeats when the file names none.
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1_000);

/// Parses the text of a file; `file` is its name for errors.
///
/// # Errors
/// The text is not YAML, or a value has the wrong type or is out of range.
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
        let location = SettingLocation { file: file.to_owned(), position, key };
        SettingsError::Value { location, source: YamlError::from(error) }
    })
}

fn position(location: Location) -> Option<Position> {
    let is_known = location.line() > 0;
    is_known.then(|| Position { line: location.line(), column: location.column() })
}

/// Validates a document.
pub(crate) struct Validator<'a> {
    file: &'a Path,
}

impl<'a> Validator<'a> {
    /// A validator of the document in `file`, which errors name.
    pub(crate) fn new(file: &'a Path) -> Self {
        Self { file }
    }

    /// The settings that the document gives.
    ///
    /// # Errors
    /// As for [`Settings::parse`], except errors of the parser.
    pub(crate) fn settings(&self, document: Document) -> Result<Settings, SettingsError> {
        let zones = document.zones.unwrap_or_default();
        let zone = self.required_name(document.zone, "zone")?;
        let region = document.region.or_else(|| zones.get(&zone).cloned());
        let settings = Settings {
            node_name: self.required_name(document.node_name, "nodeName")?,
            role: document.role.unwrap_or_default(),
            machine_class: document.machine_class.unwrap_or_default(),
            serves: document.serves.map(BTreeSet::from_iter).unwrap_or_default(),
            ip: self.required(document.ip, "ip")?,
            zone,
            region: self.required(region, "region")?,
            zones,
            bind: document.bind_addrs.unwrap_or_default().into(),
            ephemeral_ports: self.required(document.ephemeral_ports, "ephemeralPorts")?,
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

    fn location(&self, key: &str) -> SettingLocation {
        SettingLocation { file: self.file.to_owned(), position: None, key: key.to_owned() }
    }

    fn required<T>(&self, value: Option<T>, key: &str) -> Result<T, SettingsError> {
        value.ok_or_else(|| SettingsError::Missing { location: self.location(key) })
    }

    fn required_name<T: AsRef<str>>(&self, value: Option<T>, key: &str) -> Result<T, SettingsError> {
        let name = value.filter(|name| !name.as_ref().is_empty());
        self.required(name, key)
    }

    /// Checks that everything that the role serves has its addresses and folder.
    fn check_serves(&self, settings: &Settings) -> Result<(), SettingsError> {
        let bind = &settings.bind;
        let requirements = [
            Requirement::new(Serves::Edge, "bindAddrs.front", bind.front.is_some()),
            Requirement::new(Serves::Edge, "bindAddrs.readiness", bind.readiness.is_some()),
            Requirement::new(Serves::Control, "bindAddrs.controlPlane", bind.control_plane.is_some()),
            Requirement::new(Serves::Control, "dataDir", settings.data_dir.is_some()),
            Requirement::new(Serves::Storage, "dataDir", settings.data_dir.is_some()),
        ];
        let missing = requirements.into_iter().find(|requirement| requirement.is_missing(&settings.serves));
        match missing {
            None => Ok(()),
            Some(Requirement { serves, key, .. }) => {
                Err(SettingsError::NeededToServe { location: self.location(key), serves })
            }
        }
    }
}

/// A key without which a role cannot serve something.
struct Requirement {
    serves: Serves,
    key: &'static str,
    is_given: bool,
}

impl Requirement {
    fn new(serves: Serves, key: &'static str, is_given: bool) -> Self {
        Self { serves, key, is_given }
    }

    fn is_missing(&self, serves: &BTreeSet<Serves>) -> bool {
        serves.contains(&self.serves) && !self.is_given
    }
}
