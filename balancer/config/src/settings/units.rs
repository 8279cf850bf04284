//! Values with units and ranges as written in the settings file: `5 s`, `64 KiB`, `128`.

use serde::de::{Deserialize, Deserializer, Error as _};
use std::fmt;
use std::net::SocketAddr;
use thiserror::Error;

/// Units of time, in milliseconds.
const TIME_UNITS: [(&str, f64); 5] = [("us", 0.001), ("ms", 1.0), ("s", 1e3), ("min", 6e4), ("h", 3.6e6)];
/// Units of size, in bytes.
const SIZE_UNITS: [(&str, u64); 4] = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];

/// A time between `MIN` and `MAX` milliseconds.
#[derive(Clone, Copy, PartialEq)]
pub struct Span<const MIN: u64, const MAX: u64>(f64);

impl<const MIN: u64, const MAX: u64> Span<MIN, MAX> {
    /// A default value; panics if it is outside the range, which the tests rule out.
    pub const fn of_ms(ms: u64) -> Self {
        assert!(MIN <= ms && ms <= MAX);
        Span(ms as f64)
    }

    pub fn ms(self) -> f64 {
        self.0
    }
}

/// A number of bytes between `MIN` and `MAX`.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Size<const MIN: u64, const MAX: u64>(u64);

impl<const MIN: u64, const MAX: u64> Size<MIN, MAX> {
    pub const fn of_bytes(bytes: u64) -> Self {
        assert!(MIN <= bytes && bytes <= MAX);
        Size(bytes)
    }

    pub fn bytes(self) -> u64 {
        self.0
    }
}

/// A whole number between `MIN` and `MAX`.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Count<const MIN: u64, const MAX: u64>(u64);

impl<const MIN: u64, const MAX: u64> Count<MIN, MAX> {
    pub const fn of(n: u64) -> Self {
        assert!(MIN <= n && n <= MAX);
        Count(n)
    }

    pub fn get(self) -> u64 {
        self.0
    }
}

/// An address with its port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Address(pub SocketAddr);

impl<const MIN: u64, const MAX: u64> fmt::Debug for Span<MIN, MAX> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

impl<const MIN: u64, const MAX: u64> fmt::Debug for Size<MIN, MAX> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} B", self.0)
    }
}

impl<const MIN: u64, const MAX: u64> fmt::Debug for Count<MIN, MAX> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Splits a text into the number and the unit after it.
fn split(text: &str) -> (&str, &str) {
    let text = text.trim();
    let end = text.find(|c: char| !(c.is_ascii_digit() || c == '.')).unwrap_or(text.len());
    (&text[..end], text[end..].trim_start())
}

/// Why a text is not a quantity with a unit.
#[derive(Debug, PartialEq, Eq, Error)]
enum QuantityError {
    #[error("{text:?}: {expected}")]
    NoNumber { text: String, expected: ExpectedQuantity },
    #[error("{text:?} has no unit: {expected}")]
    NoUnit { text: String, expected: ExpectedQuantity },
    #[error("{text:?}: unknown unit {unit:?}, did you mean {nearest}?")]
    MisspeltUnit { text: String, unit: String, nearest: String },
    #[error("{text:?}: unknown unit {unit:?}, {expected}")]
    UnknownUnit { text: String, unit: String, expected: ExpectedQuantity },
}

/// The expected form of a quantity, for error messages.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{kind} is wanted: a number and one of {}", units.join(", "))]
struct ExpectedQuantity {
    kind: &'static str,
    units: Vec<&'static str>,
}

/// Reads a number with its unit and returns it scaled by the unit's factor.
fn read(text: &str, units: &[(&'static str, f64)], kind: &'static str) -> Result<f64, QuantityError> {
    let (number, unit) = split(text);
    let names: Vec<&'static str> = units.iter().map(|(name, _)| *name).collect();
    let (text, expected) = (text.to_owned(), ExpectedQuantity { kind, units: names.clone() });
    let Ok(number) = number.parse::<f64>() else {
        return Err(QuantityError::NoNumber { text, expected });
    };
    if unit.is_empty() {
        return Err(QuantityError::NoUnit { text, expected });
    }
    if let Some((_, scale)) = units.iter().find(|(name, _)| *name == unit) {
        return Ok(number * scale);
    }
    let unit = unit.to_owned();
    match super::nearest(&unit, &names) {
        Some(nearest) => Err(QuantityError::MisspeltUnit { text, nearest: nearest.to_owned(), unit }),
        None => Err(QuantityError::UnknownUnit { text, unit, expected }),
    }
}

fn show_span(ms: u64) -> String {
    let fits = |(_, scale): &&(&str, f64)| ms as f64 / scale >= 1.0 && (ms as f64 / scale).fract() == 0.0;
    let (name, scale) = TIME_UNITS.iter().rev().find(fits).unwrap_or(&TIME_UNITS[1]);
    format!("{} {name}", ms as f64 / scale)
}

fn show_size(bytes: u64) -> String {
    let (name, scale) = SIZE_UNITS
        .iter()
        .rev()
        .find(|(_, s)| bytes >= *s && bytes.is_multiple_of(*s))
        .unwrap_or(&SIZE_UNITS[0]);
    format!("{} {name}", bytes / scale)
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for Span<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let ms = read(&text, &TIME_UNITS, "a time").map_err(D::Error::custom)?;
        if ms < MIN as f64 || ms > MAX as f64 {
            let (min, max) = (show_span(MIN), show_span(MAX));
            return Err(D::Error::custom(format!("{text:?} is outside {min} to {max}")));
        }
        Ok(Span(ms))
    }
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for Size<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let units = SIZE_UNITS.map(|(name, scale)| (name, scale as f64));
        let bytes = read(&text, &units, "a size").map_err(D::Error::custom)?;
        if bytes < MIN as f64 || bytes > MAX as f64 {
            let (min, max) = (show_size(MIN), show_size(MAX));
            return Err(D::Error::custom(format!("{text:?} is outside {min} to {max}")));
        }
        Ok(Size(bytes as u64))
    }
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for Count<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let n = u64::deserialize(from)?;
        if !(MIN..=MAX).contains(&n) {
            return Err(D::Error::custom(format!("{n} is outside {MIN} to {MAX}")));
        }
        Ok(Count(n))
    }
}

impl<'de> Deserialize<'de> for Address {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        let wrong =
            |_| D::Error::custom(format!("{text:?} is not an address with a port, like 127.0.0.1:7071"));
        text.parse().map(Address).map_err(wrong)
    }
}
