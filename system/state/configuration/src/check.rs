//! Validation of single fields.

use crate::error::{ConfigurationError, Item, PathKey};
use std::time::Duration;

/// Maximum duration that is accepted, so that sums with a clock's reading stay within its range.
const MAX_DURATION: Duration = Duration::from_secs(10 * 365 * 24 * 60 * 60);

const MILLISECOND: Duration = Duration::from_millis(1);

/// Milliseconds per second.
pub(crate) const MILLISECONDS: f64 = 1_000.0;

/// Seconds per second.
pub(crate) const SECONDS: f64 = 1.0;

/// Validates fields of one item of the configuration.
pub(crate) struct Checker {
    item: Item,
}

impl Checker {
    pub(crate) fn new(item: Item) -> Self {
        Self { item }
    }

    /// A number that is not negative.
    pub(crate) fn non_negative(&self, key: &'static str, value: f64) -> Result<f64, ConfigurationError> {
        if !value.is_finite() || value < 0.0 {
            return Err(ConfigurationError::OutOfRange { item: self.item.clone(), key, value });
        }
        Ok(value)
    }

    /// A duration of `value` units, of which `per_second` make a second, rounded up to whole milliseconds: those are what
    /// messages and timers count in.
    pub(crate) fn duration(
        &self,
        key: &'static str,
        value: f64,
        per_second: f64,
    ) -> Result<Duration, ConfigurationError> {
        let units = self.non_negative(key, value)?;
        Duration::try_from_secs_f64(units / per_second)
            .ok()
            .map(|duration| match duration.is_zero() && units > 0.0 {
                true => MILLISECOND,
                false => rounded_up(duration),
            })
            .filter(|duration| *duration <= MAX_DURATION)
            .ok_or_else(|| ConfigurationError::OutOfRange { item: self.item.clone(), key, value })
    }

    /// A duration as above that is longer than 0.
    pub(crate) fn positive_duration(
        &self,
        key: &'static str,
        value: f64,
        per_second: f64,
    ) -> Result<Duration, ConfigurationError> {
        let duration = self.duration(key, value, per_second)?;
        if duration.is_zero() {
            return Err(ConfigurationError::Zero { item: self.item.clone(), key });
        }
        Ok(duration)
    }

    /// A duration as above, or the default where none is given.
    pub(crate) fn duration_or(
        &self,
        key: &'static str,
        value: Option<f64>,
        per_second: f64,
        default: Duration,
    ) -> Result<Duration, ConfigurationError> {
        value.map_or(Ok(default), |value| self.duration(key, value, per_second))
    }

    /// A path that starts with `/`.
    pub(crate) fn path(&self, key: PathKey, path: String) -> Result<Box<str>, ConfigurationError> {
        let path = path.into_boxed_str();
        if !path.starts_with('/') {
            return Err(ConfigurationError::Path { item: self.item.clone(), key, path });
        }
        Ok(path)
    }

    /// A name, which must not be empty.
    pub(crate) fn name<T: AsRef<str>>(&self, name: T) -> Result<T, ConfigurationError> {
        if name.as_ref().is_empty() {
            return Err(ConfigurationError::EmptyName(self.item.clone()));
        }
        Ok(name)
    }
}

/// The next whole millisecond, if the duration is none.
fn rounded_up(duration: Duration) -> Duration {
    let rest = Duration::from_nanos(u64::from(duration.subsec_nanos() % 1_000_000));
    match rest.is_zero() {
        true => duration,
        false => duration - rest + MILLISECOND,
    }
}
