//! Draws durations from the random source of a run.

use std::ops::Range;
use std::time::Duration;

/// A random duration of whole microseconds.
pub(crate) fn random_duration(random: &mut fastrand::Rng, range: Range<Duration>) -> Duration {
    Duration::from_micros(random.u64(whole_micros(range.start)..whole_micros(range.end)))
}

/// Whole microseconds of a duration; the largest number for longer ones.
pub(crate) fn whole_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
