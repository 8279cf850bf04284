//! Points of a steady clock, some of which lie before the process's start.

/// A point of the steady clock, in milliseconds; negative before the clock's zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Time(i64);

impl Time {
    pub fn from_steady(ms: u64) -> Self {
        Time(i64::try_from(ms).unwrap_or(i64::MAX))
    }

    /// Milliseconds of the steady clock; 0 for points before it.
    pub fn to_steady(self) -> u64 {
        u64::try_from(self.0).unwrap_or(0)
    }

    pub fn plus(self, ms: u64) -> Self {
        Time(self.0.saturating_add(i64::try_from(ms).unwrap_or(i64::MAX)))
    }

    pub fn minus(self, ms: u64) -> Self {
        Time(self.0.saturating_sub(i64::try_from(ms).unwrap_or(i64::MAX)))
    }

    /// Milliseconds since `earlier`; 0 where that is later.
    pub fn saturating_duration_since(self, earlier: Time) -> u64 {
        u64::try_from(self.0.saturating_sub(earlier.0)).unwrap_or(0)
    }

    /// The next multiple of `ms`, so that timers of little urgency go off together.
    pub fn rounded_up(self, ms: i64) -> Self {
        Time(self.0.div_euclid(ms).saturating_add(1).saturating_mul(ms))
    }
}
