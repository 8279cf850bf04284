//! Numbers of the file, with their units and ranges.

use serde::Deserialize;
use std::time::Duration;
use thiserror::Error;

/// Maximum duration that is accepted, so that sums with a clock's reading stay within its range.
const MAX_DURATION: Duration = Duration::from_secs(10 * 365 * 24 * 60 * 60);

/// Bytes in the megabyte of `memoryMb` and `diskMb`: the smaller reading, so that what is planned also fits.
const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;

/// A finite number that is not negative.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(try_from = "f64")]
pub(crate) struct NonNegative(pub f64);

/// Megabytes, as bytes.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(try_from = "f64")]
pub(crate) struct Megabytes(pub u64);

/// Seconds, whole or fractional.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(try_from = "f64")]
pub(crate) struct Seconds(pub Duration);

/// Milliseconds, whole or fractional.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(try_from = "f64")]
pub(crate) struct Milliseconds(pub Duration);

/// Milliseconds above 0, whole or fractional.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(try_from = "f64")]
pub(crate) struct PositiveMilliseconds(pub Duration);

/// Why a number is invalid.
#[derive(Clone, Copy, Debug, Error)]
pub(crate) enum NumberError {
    #[error("{0} is not a number of 0 or more")]
    Negative(f64),
    #[error("must be above 0")]
    Zero,
    #[error("{0} is longer than ten years")]
    TooLong(f64),
}

impl TryFrom<f64> for NonNegative {
    type Error = NumberError;

    fn try_from(number: f64) -> Result<Self, NumberError> {
        if !number.is_finite() || number < 0.0 {
            return Err(NumberError::Negative(number));
        }
        Ok(Self(number))
    }
}

impl TryFrom<f64> for Megabytes {
    type Error = NumberError;

    fn try_from(number: f64) -> Result<Self, NumberError> {
        let megabytes = NonNegative::try_from(number)?;
        Ok(Self((megabytes.0 * BYTES_PER_MEGABYTE) as u64))
    }
}

impl TryFrom<f64> for Seconds {
    type Error = NumberError;

    fn try_from(number: f64) -> Result<Self, NumberError> {
        duration(number, 1.0).map(Self)
    }
}

impl TryFrom<f64> for Milliseconds {
    type Error = NumberError;

    fn try_from(number: f64) -> Result<Self, NumberError> {
        duration(number, 1_000.0).map(Self)
    }
}

impl TryFrom<f64> for PositiveMilliseconds {
    type Error = NumberError;

    fn try_from(number: f64) -> Result<Self, NumberError> {
        let milliseconds = Milliseconds::try_from(number)?;
        if milliseconds.0.is_zero() {
            return Err(NumberError::Zero);
        }
        Ok(Self(milliseconds.0))
    }
}

/// The duration of `number` units, of which `per_second` make a second.
fn duration(number: f64, per_second: f64) -> Result<Duration, NumberError> {
    let units = NonNegative::try_from(number)?;
    Duration::try_from_secs_f64(units.0 / per_second)
        .ok()
        .filter(|duration| *duration <= MAX_DURATION)
        .ok_or(NumberError::TooLong(number))
}
