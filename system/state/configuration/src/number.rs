//! Integers in JSON, which may be written as `7`, `7.0` or `7e0`.

use serde::de::{Error, Unexpected, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;

/// 2^53: above this, not every integer has a floating-point number of its own.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

/// Deserializes an integer that fits `T`.
pub(crate) fn integer<'de, D: Deserializer<'de>, T: TryFrom<u64>>(deserializer: D) -> Result<T, D::Error> {
    let number = Integer::deserialize(deserializer)?;
    fit(number)
}

/// Deserializes an integer that fits `T`, or null.
pub(crate) fn optional_integer<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let number = Option::<Integer>::deserialize(deserializer)?;
    number.map(fit).transpose()
}

fn fit<T: TryFrom<u64>, E: Error>(number: Integer) -> Result<T, E> {
    T::try_from(number.0).map_err(|_| E::invalid_value(Unexpected::Unsigned(number.0), &"a smaller number"))
}

struct Integer(u64);

impl<'de> Deserialize<'de> for Integer {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_u64(IntegerVisitor)
    }
}

struct IntegerVisitor;

impl Visitor<'_> for IntegerVisitor {
    type Value = Integer;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a whole number of 0 or more")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Integer, E> {
        Ok(Integer(number))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<Integer, E> {
        let is_exact = number.fract() == 0.0 && (0.0..=MAX_EXACT_INTEGER).contains(&number);
        if !is_exact {
            return Err(E::invalid_value(Unexpected::Float(number), &self));
        }
        Ok(Integer(number as u64))
    }
}
