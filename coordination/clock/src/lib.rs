//! Readings of a machine's steady clock, passed into state machines that have no clock of their own.
//!
//! [`Instant`] is to a state machine what [`std::time::Instant`] is to a program, but it can be made from a number: a
//! shell converts its clock once, at the edge, and a simulation counts time as it likes. Readings of two processes, or of
//! two runs of one process, cannot be compared.
//!
//! Arithmetic saturates in both directions: a deadline beyond the end of time never comes, and the span from a later
//! reading to an earlier one is zero.
//!
//! ```
//! use millrudder_clock::Instant;
//! use std::time::Duration;
//!
//! let now = Instant::from_millis(1_500);
//! let deadline = now + Duration::from_millis(250);
//! assert_eq!(deadline - now, Duration::from_millis(250));
//! assert_eq!(now - deadline, Duration::ZERO);
//! assert_eq!(deadline.as_millis(), 1_750);
//! ```

use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// A reading of a steady clock: the time since an origin that is the same for all readings of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant {
    since_origin: Duration,
}

impl Instant {
    /// The origin of the clock; no reading is earlier.
    pub const ORIGIN: Instant = Instant { since_origin: Duration::ZERO };

    /// The reading `since_origin` after the origin.
    #[must_use]
    pub const fn from_duration(since_origin: Duration) -> Instant {
        Instant { since_origin }
    }

    /// The reading `micros` microseconds after the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Instant {
        Instant { since_origin: Duration::from_micros(micros) }
    }

    /// The reading `millis` milliseconds after the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Instant {
        Instant { since_origin: Duration::from_millis(millis) }
    }

    /// Time since the origin.
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        self.since_origin
    }

    /// Whole microseconds since the origin; the largest number for readings beyond it.
    #[must_use]
    pub fn as_micros(self) -> u64 {
        u64::try_from(self.since_origin.as_micros()).unwrap_or(u64::MAX)
    }

    /// Whole milliseconds since the origin; the largest number for readings beyond it.
    #[must_use]
    pub fn as_millis(self) -> u64 {
        whole_millis(self.since_origin)
    }

    /// The reading `span` earlier; `None` before the origin.
    #[must_use]
    pub fn checked_sub(self, span: Duration) -> Option<Instant> {
        self.since_origin.checked_sub(span).map(Instant::from_duration)
    }
}

/// A span in whole milliseconds, as messages between processes carry it; the largest number for longer ones.
#[must_use]
pub fn whole_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, span: Duration) -> Instant {
        Instant { since_origin: self.since_origin.saturating_add(span) }
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

/// The origin where `span` is longer than the time since it.
impl Sub<Duration> for Instant {
    type Output = Instant;

    fn sub(self, span: Duration) -> Instant {
        Instant { since_origin: self.since_origin.saturating_sub(span) }
    }
}

/// Zero where `earlier` is the later reading.
impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Instant) -> Duration {
        self.since_origin.saturating_sub(earlier.since_origin)
    }
}
