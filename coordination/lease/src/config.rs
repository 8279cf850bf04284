//! Times of a lease.

use std::time::Duration;

use thiserror::Error;

/// Times that holders and voters share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// How long a voter binds itself by a grant, and withholds grants after its start.
    pub duration: Duration,
    /// How long before the end of its lease a holder stops, to cover the difference in clock rates.
    pub safety: Duration,
    /// Pause between renewals, and between the requests of one that does not hold the lease.
    pub renew_every: Duration,
}

impl Default for LeaseConfig {
    fn default() -> LeaseConfig {
        LeaseConfig {
            duration: Duration::from_millis(700),
            safety: Duration::from_millis(100),
            renew_every: Duration::from_millis(150),
        }
    }
}

/// Why a [`LeaseConfig`] cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LeaseConfigError {
    /// A lease must outlast two renewals, or one lost message would end it.
    #[error("a lease of {duration:?} less {safety:?} does not outlast two renewals every {renew_every:?}")]
    TooShort { duration: Duration, safety: Duration, renew_every: Duration },
    /// Requests cost messages; a pause of zero would never rest.
    #[error("the pause between renewals is zero")]
    NoRenewalPause,
}

impl LeaseConfig {
    /// Checks that the times fit together.
    pub fn check(&self) -> Result<(), LeaseConfigError> {
        let LeaseConfig { duration, safety, renew_every } = *self;
        if renew_every.is_zero() {
            return Err(LeaseConfigError::NoRenewalPause);
        }
        if duration < safety + renew_every * 2 {
            return Err(LeaseConfigError::TooShort { duration, safety, renew_every });
        }
        Ok(())
    }
}
