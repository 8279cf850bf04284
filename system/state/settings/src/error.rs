//! What can be wrong with a settings file, and where.

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

/// Where in a settings file something stands or is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The file as it was named by the caller.
    pub file: PathBuf,
    /// None where the key is absent.
    pub position: Option<Position>,
    /// The key with those above it, joined by dots; empty for the whole file.
    pub key: String,
}

impl fmt::Display for Place {
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

/// A problem found by the YAML reader; its text is one line without the position, which [`Place`] holds.
#[derive(Debug)]
pub struct YamlProblem(Box<serde_saphyr::Error>);

impl From<serde_saphyr::Error> for YamlProblem {
    fn from(error: serde_saphyr::Error) -> Self {
        Self(Box::new(error))
    }
}

impl fmt::Display for YamlProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.without_snippet().to_string();
        let end = text.rfind(" at line ").unwrap_or(text.len());
        let line = text[..end].lines().next().unwrap_or_default();
        formatter.write_str(line)
    }
}

impl std::error::Error for YamlProblem {}

/// Why settings cannot be used.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file cannot be read at all.
    #[error("{}: cannot be read", file.display())]
    #[diagnostic(code(settings::unreadable), help("the variable MILLRUDDER_SETTINGS names the file"))]
    Unreadable {
        /// The file as it was named by the caller.
        file: PathBuf,
        /// What the system said.
        #[source]
        source: std::io::Error,
    },
    /// The file is too long to be settings.
    #[error("{}: {bytes} bytes are too many for settings, {most} are the most", file.display())]
    #[diagnostic(code(settings::too_long))]
    TooLong {
        /// The file as it was named by the caller.
        file: PathBuf,
        /// Its length in bytes.
        bytes: u64,
        /// The most that is read, in bytes.
        most: u64,
    },
    /// The text is no YAML, or a value is of the wrong kind or out of range.
    #[error("{place}: {problem}")]
    #[diagnostic(code(settings::value))]
    Value {
        /// Where it stands.
        place: Place,
        /// What the YAML reader found.
        #[source]
        problem: YamlProblem,
    },
    /// A key that has no default is absent or empty.
    #[error("{place}: missing")]
    #[diagnostic(code(settings::missing), help("this key has no default"))]
    Missing {
        /// Which key.
        place: Place,
    },
    /// The role serves something for which an address or folder is missing.
    #[error("{place}: missing, and the role serves {serves}")]
    #[diagnostic(code(settings::serves), help("add the key, or take the entry from `serves`"))]
    NeededToServe {
        /// The key that is missing.
        place: Place,
        /// What cannot be served without it.
        serves: Serves,
    },
}
