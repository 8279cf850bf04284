//! Limits and durations of a store process.
//!
//! All durations are used in whole milliseconds.

use std::time::Duration;
use thiserror::Error;

/// Limits and durations of a store process.
///
/// All durations are used in whole milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Maximum bytes of messages in memory; further messages are rejected. A larger limit accommodates longer
    /// backlogs and uses more memory.
    pub memory_bytes: u64,
    /// Maximum bytes of disk records that are still needed; beyond it messages are rejected. The disk must have
    /// additional space for garbage records.
    pub disk_bytes: u64,
    /// Maximum number of live messages; further ones are rejected. Limits the time that a takeover takes.
    pub max_live_messages: u64,
    /// Delay after which a rejected client is told to retry when a limit is reached. Shorter delays get
    /// messages accepted sooner and put more load on a full store.
    pub full_retry_after: Duration,
    /// Time after its end during which the status of a message can be queried. Its record takes up memory for
    /// that time.
    pub status_ttl: Duration,
    /// Safety margin for clocks that differ between machines; added to every time after which something is
    /// forgotten.
    pub forget_margin: Duration,
    /// Time after a message's end during which its call-back is retried.
    pub callback_retention: Duration,
    /// Time that a disconnected dispatcher has to reconnect before its leases are granted again. Shorter times
    /// recover sooner from the failure of a dispatcher, and run more messages twice if only the connection
    /// broke.
    pub reconnect_timeout: Duration,
    /// A dispatcher that sent nothing for this long is disconnected; dispatchers must ping at least three times
    /// as often.
    pub heartbeat_timeout: Duration,
    /// Maximum number of concurrent deliveries of one service by a dispatcher that has not announced its own
    /// limit yet.
    pub default_credit: u32,
    /// Time for which the dispatcher that accepted a message is expected to keep its body, so that a grant need
    /// not include it.
    pub body_retention: Duration,
    /// Number of dispatchers in a region that make the call-backs to one receiver. A receiver may accept few
    /// connections, and each dispatcher opens its own.
    pub home_dispatchers_per_receiver: usize,
    /// Number of dispatchers in a region that deliver those messages of one service which only one shard's
    /// primary grants. Its workers may accept few connections.
    pub home_dispatchers_per_service: usize,
    /// Initial limit of call-backs in flight to one receiver; it rises with each call-back that succeeds.
    pub callbacks_per_receiver: u32,
    /// Highest limit of call-backs in flight to one receiver; not below `callbacks_per_receiver`.
    pub max_callbacks_per_receiver: u32,
    /// Back-off after the first failed attempt or call-back; doubles with each further failure.
    pub initial_backoff: Duration,
    /// Longest back-off between attempts.
    pub max_backoff: Duration,
    /// Shortest time to wait for a replica's acknowledgement before the next replica is written to as well.
    /// Shorter times hide slow disks better and cause more writes.
    pub min_write_timeout: Duration,
    /// Longest time to wait for a replica's acknowledgement before the next replica is written to as well; not
    /// below `min_write_timeout`.
    pub max_write_timeout: Duration,
    /// Size in bytes of one chunk of a snapshot transfer to another store.
    pub snapshot_chunk_bytes: usize,
    /// Time between two chunks of a snapshot transfer, which leaves room for other messages on the connection.
    pub snapshot_chunk_interval: Duration,
    /// Maximum bytes of repair writes in flight to one store.
    pub repair_window_bytes: usize,
    /// Interval at which some messages are compared with the replicas' copies; zero disables the comparison.
    pub scrub_interval: Duration,
    /// Number of messages of one shard that are compared at a time.
    pub scrub_messages: usize,
    /// Interval at which the watchdog scans for orphaned messages; zero disables it.
    pub watchdog_interval: Duration,
    /// Time after which a dispatcher that has not reported the result of a call-back is assumed to have lost
    /// it. It must be longer than a dispatcher takes to finish all call-backs that it may have in flight to a
    /// receiver that answers.
    pub callback_timeout: Duration,
    /// Seed of the random jitter of back-offs.
    pub seed: u64,
}

/// Maximum number of doublings of the back-off; keeps the factor within its type. The back-off has reached its
/// maximum by then.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// A contradiction between two values of a [`Config`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// `min_write_timeout` is above `max_write_timeout`.
    #[error("min_write_timeout ({min:?}) is greater than max_write_timeout ({max:?})")]
    WriteTimeouts {
        /// The configured minimum.
        min: Duration,
        /// The configured maximum.
        max: Duration,
    },
    /// `callbacks_per_receiver` is above `max_callbacks_per_receiver`.
    #[error("callbacks_per_receiver ({initial}) is greater than max_callbacks_per_receiver ({max})")]
    CallbackLimits {
        /// The configured initial limit.
        initial: u32,
        /// The configured maximum.
        max: u32,
    },
}

impl Config {
    /// Checks that no two values contradict each other.
    ///
    /// # Errors
    ///
    /// Returns the first pair of limits of which the lower one is greater than the upper one.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let (min, max) = (self.min_write_timeout, self.max_write_timeout);
        if min > max {
            return Err(ConfigError::WriteTimeouts { min, max });
        }
        let (initial, max) = (self.callbacks_per_receiver, self.max_callbacks_per_receiver);
        if initial > max {
            return Err(ConfigError::CallbackLimits { initial, max });
        }
        Ok(())
    }

    /// Back-off after this number of consecutive failures: doubles with each further failure, up to the
    /// maximum.
    pub(crate) fn backoff(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        self.initial_backoff.saturating_mul(1 << doublings).min(self.max_backoff)
    }
}

impl Default for Config {
    fn default() -> Self {
        Config {
            memory_bytes: 128 << 20,
            disk_bytes: 160 << 20,
            max_live_messages: 200_000,
            full_retry_after: Duration::from_secs(1),
            status_ttl: Duration::from_secs(120),
            forget_margin: Duration::from_secs(15),
            callback_retention: Duration::from_secs(600),
            reconnect_timeout: Duration::from_millis(1_500),
            heartbeat_timeout: Duration::from_secs(3),
            default_credit: 16,
            body_retention: Duration::from_secs(10),
            home_dispatchers_per_receiver: 4,
            home_dispatchers_per_service: 4,
            callbacks_per_receiver: 2,
            max_callbacks_per_receiver: 8,
            initial_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(4),
            min_write_timeout: Duration::from_millis(15),
            max_write_timeout: Duration::from_millis(60),
            snapshot_chunk_bytes: 256 << 10,
            snapshot_chunk_interval: Duration::from_millis(4),
            repair_window_bytes: 512 << 10,
            scrub_interval: Duration::from_secs(5),
            scrub_messages: 128,
            watchdog_interval: Duration::from_secs(1),
            callback_timeout: Duration::from_secs(10),
            seed: 0,
        }
    }
}
