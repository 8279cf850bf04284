//! Versions of the configuration.

use derive_more::{Display, FromStr};
use speedy::{Readable, Writable};
use thiserror::Error;

/// Number of a configuration; every change has a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr, Readable, Writable,
)]
pub struct ConfigurationVersion(pub u64);

impl ConfigurationVersion {
    /// Stands for the version before the first configuration.
    pub const NONE: Self = Self(0);
}

/// The version is not higher than the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("version {new} is not higher than the current {current}")]
pub struct VersionError {
    /// The version in force.
    pub current: ConfigurationVersion,
    /// The version that was to follow.
    pub new: ConfigurationVersion,
}

/// Checks whether a configuration with the version `new` may follow one with the version `current`.
///
/// # Errors
/// `new` is not higher than `current`.
pub fn check_successor(current: ConfigurationVersion, new: ConfigurationVersion) -> Result<(), VersionError> {
    if new <= current {
        return Err(VersionError { current, new });
    }
    Ok(())
}
