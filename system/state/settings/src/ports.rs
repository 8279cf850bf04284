//! The range of ports for connections between the processes of the system.

use serde::Deserialize;
use std::ops::RangeInclusive;
use thiserror::Error;

/// Ports from `first` to `last`, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "Vec<u16>")]
pub struct PortRange {
    first: u16,
    last: u16,
}

/// Why numbers are not a range of ports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PortRangeError {
    /// Port 0 stands for "any" and cannot be given to others.
    #[error("port 0 cannot be used")]
    Zero,
    /// The range is empty.
    #[error("the first port, {first}, lies above the last, {last}")]
    Reversed {
        /// Lower end as given.
        first: u16,
        /// Upper end as given.
        last: u16,
    },
    /// A range is given by two numbers.
    #[error("a range takes two ports, first and last, and {count} are given")]
    NotTwo {
        /// How many numbers are given.
        count: usize,
    },
}

impl PortRange {
    /// The ports from `first` to `last`.
    ///
    /// # Errors
    /// `first` is 0 or above `last`.
    pub fn new(first: u16, last: u16) -> Result<Self, PortRangeError> {
        if first == 0 {
            return Err(PortRangeError::Zero);
        }
        if first > last {
            return Err(PortRangeError::Reversed { first, last });
        }
        Ok(Self { first, last })
    }

    /// The lowest port.
    pub fn first(self) -> u16 {
        self.first
    }

    /// The highest port.
    pub fn last(self) -> u16 {
        self.last
    }

    /// Number of ports; never 0.
    pub fn count(self) -> usize {
        usize::from(self.last - self.first) + 1
    }

    /// The port that lies `offset` above the first, if it belongs to the range.
    pub fn port(self, offset: u16) -> Option<u16> {
        self.first.checked_add(offset).filter(|port| *port <= self.last)
    }

    /// All ports in rising order.
    pub fn iter(self) -> RangeInclusive<u16> {
        self.first..=self.last
    }
}

impl TryFrom<Vec<u16>> for PortRange {
    type Error = PortRangeError;

    /// A range from a list of its first and last port.
    fn try_from(ports: Vec<u16>) -> Result<Self, PortRangeError> {
        match *ports {
            [first, last] => Self::new(first, last),
            _ => Err(PortRangeError::NotTwo { count: ports.len() }),
        }
    }
}
