//! Readings of the monotonic clock, including ones before the start of the process.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A reading of the monotonic clock in whole milliseconds; negative before the clock's origin.
///
/// [`millrudder_clock::Instant`] cannot represent times before its origin. They are needed here: a message that
/// is found on the disk, or that another store sends, may have been received before this process started its
/// clock.
///
/// Arithmetic saturates, and truncates to whole milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Instant {
    millis: i64,
}

impl Instant {
    /// The next multiple of `step` after this reading, so that timers that are not urgent fire together.
    pub fn rounded_up(self, step: Duration) -> Instant {
        let step = signed_millis(step);
        Instant { millis: self.millis.div_euclid(step).saturating_add(1).saturating_mul(step) }
    }

    /// The duration since `earlier`; zero if that is later than this reading.
    pub fn saturating_duration_since(self, earlier: Instant) -> Duration {
        let millis = self.millis.saturating_sub(earlier.millis);
        Duration::from_millis(u64::try_from(millis).unwrap_or(0))
    }
}

impl From<millrudder_clock::Instant> for Instant {
    fn from(reading: millrudder_clock::Instant) -> Self {
        Instant { millis: i64::try_from(reading.as_millis()).unwrap_or(i64::MAX) }
    }
}

/// Converts readings before the origin to the origin.
impl From<Instant> for millrudder_clock::Instant {
    fn from(reading: Instant) -> Self {
        millrudder_clock::Instant::from_millis(u64::try_from(reading.millis).unwrap_or(0))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, span: Duration) -> Instant {
        Instant { millis: self.millis.saturating_add(signed_millis(span)) }
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;

    fn sub(self, span: Duration) -> Instant {
        Instant { millis: self.millis.saturating_sub(signed_millis(span)) }
    }
}

pub(crate) use millrudder_clock::whole_millis as millis;

fn signed_millis(span: Duration) -> i64 {
    i64::try_from(span.as_millis()).unwrap_or(i64::MAX)
}

/// A duration in whole milliseconds for a 32-bit field of a message; durations that are too long become the
/// largest number.
pub(crate) fn millis_u32(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
