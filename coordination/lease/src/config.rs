//! Durations of a lease.

use std::time::Duration;

use thiserror::Error;

/// Durations that holders and voters share, in whole microseconds: messages carry nothing finer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// How long a grant binds its voter, and the grace period after a voter's start.
    pub duration: Duration,
    /// How long before the voters' grants expire a holder stops, to cover the difference in clock rates.
    pub safety_margin: Duration,
    /// Interval between renewals, and between the requests of a candidate.
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
    /// A lease must outlast two renewals, or one lost message would end it.
    #[error("a lease of {duration:?} less {safety_margin:?} does not outlast two renewals every {renew_interval:?}")]
    TooShort {
        /// [`LeaseConfig::duration`].
        duration: Duration,
        /// [`LeaseConfig::safety_margin`].
        safety_margin: Duration,
        /// [`LeaseConfig::renew_interval`].
        renew_interval: Duration,
    },
    /// Without an interval requests would be sent without end.
    #[error("the interval between renewals is zero")]
    NoRenewalInterval,
}

impl LeaseConfig {
    /// Checks that the durations fit together.
    ///
    /// # Errors
    ///
    /// Says which rule the durations break.
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
