//! Whole numbers in JSON, which may be written as `7`, `7.0` or `7e0`.

use serde::de::{Error, Unexpected, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;

/// Above this, not every whole number has a floating-point number of its own.
const LARGEST_EXACT: f64 = 9_007_199_254_740_992.0;

/// Reads a whole number that fits `T`.
pub(crate) fn whole<'de, D: Deserializer<'de>, T: TryFrom<u64>>(deserializer: D) -> Result<T, D::Error> {
    let number = Whole::deserialize(deserializer)?;
    fit(number)
}

/// Reads a whole number that fits `T`, or null.
pub(crate) fn optional_whole<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let number = Option::<Whole>::deserialize(deserializer)?;
    number.map(fit).transpose()
}

fn fit<T: TryFrom<u64>, E: Error>(number: Whole) -> Result<T, E> {
    T::try_from(number.0).map_err(|_| E::invalid_value(Unexpected::Unsigned(number.0), &"a smaller number"))
}

struct Whole(u64);

impl<'de> Deserialize<'de> for Whole {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_u64(WholeVisitor)
    }
}

struct WholeVisitor;

impl Visitor<'_> for WholeVisitor {
    type Value = Whole;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a whole number of 0 or more")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Whole, E> {
        Ok(Whole(number))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<Whole, E> {
        let exact = number.fract() == 0.0 && (0.0..=LARGEST_EXACT).contains(&number);
        if !exact {
            return Err(E::invalid_value(Unexpected::Float(number), &self));
        }
        Ok(Whole(number as u64))
    }
}
