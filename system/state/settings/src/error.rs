//! Errors in a settings file, and their locations.

use crate::settings::Serves;
use miette::Diagnostic;
use std::fmt;
use std::path::PathBuf;
use thiserror::Error;

/// Line and column in a file, both from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Line, from 1.
    pub line: u64,
    /// Column in characters, from 1.
    pub column: u64,
}

/// Location of a setting in a file, also of a missing one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingLocation {
    /// The file as it was named by the caller.
    pub file: PathBuf,
    /// Position of the value; `None` where the key is absent.
    pub position: Option<Position>,
    /// The key with those above it, joined by dots; empty for the whole file.
    pub key: String,
}

impl fmt::Display for SettingLocation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.file.display())?;
        if let Some(position) = self.position {
            write!(formatter, ":{}:{}", position.line, position.column)?;
        }
        if !self.key.is_empty() {
            write!(formatter, ": key {}", self.key)?;
        }
        Ok(())
    }
}

/// An error of the YAML parser. Its text is one line without the position, which [`SettingLocation`] has.
#[derive(Debug)]
pub struct YamlError(Box<serde_saphyr::Error>);

impl From<serde_saphyr::Error> for YamlError {
    fn from(error: serde_saphyr::Error) -> Self {
        Self(Box::new(error))
    }
}

impl fmt::Display for YamlError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.without_snippet().to_string();
        let end = text.rfind(" at line ").unwrap_or(text.len());
        let line = text[..end].lines().next().unwrap_or_default();
        formatter.write_str(line)
    }
}

impl std::error::Error for YamlError {}

/// Why settings cannot be used.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: cannot be read", file.display())]
    #[diagnostic(code(settings::unreadable), help("the variable MILLRUDDER_SETTINGS names the file"))]
    Unreadable {
        /// The file as it was named by the caller.
        file: PathBuf,
        /// The error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The file is too long to be settings.
    #[error("{}: {bytes} bytes are too many for settings, {max} are the most", file.display())]
    #[diagnostic(code(settings::too_long))]
    TooLong {
        /// The file as it was named by the caller.
        file: PathBuf,
        /// Its length in bytes.
        bytes: u64,
        /// The maximum, in bytes.
        max: u64,
    },
    /// The text is not YAML, or a value has the wrong type or is out of range.
    #[error("{location}: {source}")]
    #[diagnostic(code(settings::value))]
    Value {
        /// Location of the value.
        location: SettingLocation,
        /// The parser's error.
        #[source]
        source: YamlError,
    },
    /// A key that has no default is absent or empty.
    #[error("{location}: missing")]
    #[diagnostic(code(settings::missing), help("this key has no default"))]
    Missing {
        /// Location of the key.
        location: SettingLocation,
    },
    /// An address or folder is missing that the role needs for what it serves.
    #[error("{location}: missing, and the role serves {serves}")]
    #[diagnostic(code(settings::serves), help("add the key, or take the entry from `serves`"))]
    NeededToServe {
        /// Location of the missing key.
        location: SettingLocation,
        /// What the role serves.
        serves: Serves,
    },
}
