//! Operators' settings: a YAML file, usually `deploy/millrudder.yaml`, given by `--settings` or
//! `MILLRUDDER_SETTINGS`. Without a file the defaults below apply, which suit the platform's deployment.
//!
//! An unknown or repeated key, a value of the wrong type and a number without its unit are errors that name the
//! file, the line and the key.

mod units;

use millrudder_exchange::Front;
use serde::Deserialize;
use std::fmt;
use std::path::{Path, PathBuf};
pub use units::{Address, Count, Size, Span};

/// Environment variable with the path of the file, used if there is no `--settings`.
pub const VARIABLE: &str = "MILLRUDDER_SETTINGS";
/// Largest settings file that is read (bytes); a larger one is certainly not a settings file.
const FILE_LIMIT: u64 = 1024 * 1024;

/// Weight of a front in the division of places.
pub type Weight = Count<1, 1_000>;

/// The whole settings file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    pub fronts: Fronts,
    pub admission: Admission,
    pub upgrade: Upgrade,
    pub log: Log,
}

/// Settings of the fronts.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Fronts {
    pub http: Http,
    /// The gRPC front; it is off if this is absent.
    pub grpc: Option<Grpc>,
}

/// The HTTP/1.1 front, which the platform uses.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Http {
    /// Address that overrides the one given by the platform.
    pub listen: Option<Address>,
    /// Weight in the division of places among the fronts.
    pub weight: Weight,
    pub limits: HttpLimits,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct HttpLimits {
    /// Inbound connections, call-backs included; if absent, as many as the file descriptors allow.
    pub connections: Option<Count<16, 100_000>>,
}

/// The gRPC front.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Grpc {
    pub listen: Address,
    #[serde(default = "one")]
    pub weight: Weight,
    #[serde(default)]
    pub limits: GrpcLimits,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct GrpcLimits {
    /// Client connections; they are subtracted from the budget of file descriptors.
    pub connections: Count<1, 10_000>,
    /// Concurrent calls on one connection (HTTP/2's SETTINGS_MAX_CONCURRENT_STREAMS).
    pub streams: Count<1, 10_000>,
    /// Size of a call's decoded headers (SETTINGS_MAX_HEADER_LIST_SIZE).
    pub header_list: Size<1_024, 262_144>,
    /// Time from the connect to the complete preface, and from a call's headers to its last byte.
    pub request_time: Span<100, 60_000>,
    /// Time for the client to read an answer.
    pub answer_time: Span<100, 600_000>,
    /// Idle time after which a connection without a call gets GOAWAY.
    pub idle_time: Span<1_000, 86_400_000>,
    /// Frames per second in addition to those that belong to calls: PING, SETTINGS, PRIORITY, empty DATA,
    /// unknown ones.
    pub control_frames: Count<10, 100_000>,
}

/// Limits that all fronts share.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Admission {
    /// Jobs that may be admitted at the same time, over all fronts; if absent, as many as the budget of file
    /// descriptors has places for.
    pub jobs: Option<Count<1, 1_000_000>>,
    /// Total size of their bodies; if absent, half of the memory budget for buffers.
    pub bodies: Option<Size<65_536, 1_099_511_627_776>>,
}

/// Handover to a new process.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Upgrade {
    /// Path of the control socket; there is none if this is absent.
    pub control: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    pub format: LogFormat,
    pub level: LogLevel,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    Error,
    Warning,
    #[default]
    Info,
    Debug,
}

fn one() -> Weight {
    Weight::of(1)
}

impl Default for Http {
    fn default() -> Self {
        Http { listen: None, weight: one(), limits: HttpLimits::default() }
    }
}

impl Default for GrpcLimits {
    fn default() -> Self {
        GrpcLimits {
            connections: Count::of(64),
            streams: Count::of(128),
            header_list: Size::of_bytes(16 * 1024),
            request_time: Span::of_ms(2_200),
            answer_time: Span::of_ms(5_000),
            idle_time: Span::of_ms(600_000),
            control_frames: Count::of(200),
        }
    }
}

/// An error in a settings file, with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsError {
    file: PathBuf,
    /// Line and column, from 1; `None` if the file could not be read at all.
    position: Option<(u64, u64)>,
    key: String,
    problem: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some((line, column)) = self.position {
            write!(f, ":{line}:{column}")?;
        }
        if !self.key.is_empty() {
            write!(f, ": key {}", self.key)?;
        }
        write!(f, ": {}", self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Reads and checks a file. It blocks, so it must not be called in a coroutine.
    ///
    /// # Errors
    /// The file cannot be read or is not YAML, or a key or value in it is invalid.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let unread = |problem: String| SettingsError {
            file: file.to_owned(),
            position: None,
            key: String::new(),
            problem,
        };
        let size = std::fs::metadata(file).map_err(|e| unread(format!("cannot be read: {e}")))?.len();
        if size > FILE_LIMIT {
            return Err(unread(format!("{size} bytes are too many for settings, {FILE_LIMIT} are the most")));
        }
        let text = std::fs::read_to_string(file).map_err(|e| unread(format!("cannot be read: {e}")))?;
        Settings::read(&text, file)
    }

    /// Reads settings from `text`; `file` is only used in error messages.
    ///
    /// # Errors
    /// As for [`Settings::load`].
    pub fn read(text: &str, file: &Path) -> Result<Self, SettingsError> {
        if text.lines().all(|line| line.trim().is_empty() || line.trim_start().starts_with('#')) {
            return Ok(Settings::default());
        }
        let mut key = String::new();
        let options = serde_saphyr::options! { with_snippet: false };
        let read = serde_saphyr::with_deserializer_from_str_with_options(text, options, |de| {
            serde_path_to_error::deserialize(de).map_err(|error| {
                key = error.path().to_string();
                error.into_inner()
            })
        });
        read.map_err(|error| {
            let position = error.location().filter(|l| l.line() > 0).map(|l| (l.line(), l.column()));
            let (key, problem) = explain(&key, &error);
            SettingsError { file: file.to_owned(), position, key, problem }
        })
    }

    /// The fronts in use, each with its weight.
    pub fn weights(&self) -> Vec<(Front, u32)> {
        let http = (Front::Http, self.fronts.http.weight.get() as u32);
        let grpc = self.fronts.grpc.as_ref().map(|grpc| (Front::Grpc, grpc.weight.get() as u32));
        std::iter::once(http).chain(grpc).collect()
    }

    /// Keys that differ from `newer` and are not applied before the next start; all others are applied while
    /// running.
    pub fn pending_keys(&self, newer: &Settings) -> Vec<&'static str> {
        let (old, new) = (&self.fronts, &newer.fronts);
        let grpc = |fronts: &Fronts| fronts.grpc.as_ref().map(|g| (g.listen, g.limits.clone()));
        let differing = [
            ("fronts.http.listen", old.http.listen != new.http.listen),
            ("fronts.http.limits", old.http.limits != new.http.limits),
            ("fronts.grpc", grpc(old) != grpc(new)),
            ("admission", self.admission != newer.admission),
            ("upgrade", self.upgrade != newer.upgrade),
            ("log.format", self.log.format != newer.log.format),
        ];
        differing.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }
}

/// The key and a description of the problem in the terms of the settings file, not of the parser.
fn explain(path: &str, error: &serde_saphyr::Error) -> (String, String) {
    use serde_saphyr::Error;
    let path = if path == "." { "" } else { path };
    let within = |key: &str| match path.rsplit_once('.') {
        _ if path.is_empty() => key.to_owned(),
        // Depending on where the parser finds the error, the path already ends with the key.
        Some((parent, last)) if last == key || last == "?" => format!("{parent}.{key}"),
        None if path == key || path == "?" => key.to_owned(),
        _ => format!("{path}.{key}"),
    };
    match error.without_snippet() {
        Error::SerdeUnknownField { field, expected, .. } => {
            let near = match nearest(field, expected) {
                Some(near) => format!("did you mean {near}?"),
                None => format!("known here: {}", expected.join(", ")),
            };
            (within(field), format!("unknown key; {near}"))
        }
        Error::SerdeUnknownVariant { variant, expected, .. } => {
            let near =
                nearest(variant, expected).map_or(String::new(), |near| format!(", did you mean {near}?"));
            (path.to_owned(), format!("{variant:?} is none of {}{near}", expected.join(", ")))
        }
        Error::SerdeMissingField { field, .. } => (within(field), "missing".to_owned()),
        Error::DuplicateMappingKey { key: Some(key), .. } => (within(key), "given twice".to_owned()),
        other => {
            let text = other.to_string();
            let at = text.rfind(" at line ").unwrap_or(text.len());
            (path.to_owned(), text[..at].lines().next().unwrap_or_default().to_owned())
        }
    }
}

/// The known word with the least edit distance, if it is near enough to be a likely typing error.
fn nearest<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    let distance = |other: &&str| strsim::damerau_levenshtein(&word.to_lowercase(), &other.to_lowercase());
    known.iter().copied().min_by_key(distance).filter(|near| distance(near) <= 1 + near.len() / 4)
}

#[cfg(test)]
mod tests;
