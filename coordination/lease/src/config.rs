//! Configuration of lease durations.

use std::time::Duration;

use thiserror::Error;

/// Durations that must be the same at all holders and voters.
///
/// They are whole microseconds, the resolution of the durations in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// Duration of a grant: the voter grants the role to no other candidate for this long. It is also the length of the
    /// grace period during which a voter that has just started grants nothing.
    pub duration: Duration,
    /// How long before the voters' grants expire a holder treats its lease as expired. This covers the difference between
    /// the clock rates of holder and voters.
    pub safety_margin: Duration,
    /// Interval at which a holder renews its lease, and at which a candidate repeats its request.
    pub renew_interval: Duration,
}

impl Default for LeaseConfig {
    fn default() -> LeaseConfig {
        LeaseConfig {
            duration: Duration::from_millis(700),
            safety_margin: Duration::from_millis(100),
            renew_interval: Duration::from_millis(150),
        }
    }
}

/// Why a [`LeaseConfig`] is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LeaseConfigError {
    /// The lease is shorter than two renewal intervals plus the safety margin, so a single lost message would end it.
    #[error("the lease duration {duration:?} is shorter than the safety margin {safety_margin:?} plus two renewal intervals of {renew_interval:?}")]
    TooShort {
        /// [`LeaseConfig::duration`].
        duration: Duration,
        /// [`LeaseConfig::safety_margin`].
        safety_margin: Duration,
        /// [`LeaseConfig::renew_interval`].
        renew_interval: Duration,
    },
    /// With an interval of zero, requests would be sent in an endless loop.
    #[error("the renewal interval is zero")]
    NoRenewalInterval,
}

impl LeaseConfig {
    /// Checks that the durations are consistent with each other.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the durations violate.
    pub fn check(&self) -> Result<(), LeaseConfigError> {
        let LeaseConfig { duration, safety_margin, renew_interval } = *self;
        if renew_interval.is_zero() {
            return Err(LeaseConfigError::NoRenewalInterval);
        }
        if duration < safety_margin + renew_interval * 2 {
            return Err(LeaseConfigError::TooShort { duration, safety_margin, renew_interval });
        }
        Ok(())
    }
}
