//! Limits and times of a store process.

use std::time::Duration;
use thiserror::Error;

/// Limits and times of a store process.
///
/// All spans are used in whole milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Bytes of messages that may be in memory; further ones are rejected. A larger limit takes longer backlogs and
    /// more of the machine.
    pub memory_bytes: u64,
    /// Bytes of the disk's records that are still needed; beyond it messages are rejected. The shell's disk must have
    /// space for garbage besides.
    pub disk_bytes: u64,
    /// Messages that may be live at a time; further ones are rejected. Bounds the time of a takeover.
    pub max_live_messages: u64,
    /// What a client is told to wait when a limit is reached. Shorter waits are served sooner and load a full store more.
    pub full_retry_after: Duration,
    /// Time after its end in which a message may be asked for. Its record takes memory for so long.
    pub status_ttl: Duration,
    /// Added to every time after which something is forgotten, for clocks that differ between machines.
    pub forget_margin: Duration,
    /// Time after a message's end in which its call-back is retried.
    pub callback_retention: Duration,
    /// Wait for a dispatcher to reconnect before its leases are granted again. Shorter waits recover sooner from a
    /// dispatcher's failure and run more messages twice when only its connection broke.
    pub reconnect_timeout: Duration,
    /// A dispatcher that sent nothing for so long is disconnected; dispatchers ping at least three times as often.
    pub heartbeat_timeout: Duration,
    /// Deliveries of one service that a dispatcher gets at a time before it announced its own limit.
    pub default_credit: u32,
    /// Age up to which the dispatcher that accepted a message is expected to have its body still, so that a grant need
    /// not carry it.
    pub body_retention: Duration,
    /// Dispatchers of a region that call one receiver of call-backs: it accepts few connections, and each of them opens
    /// its own.
    pub home_dispatchers_per_receiver: usize,
    /// Dispatchers of a region that get the messages of one service which only one shard's primary grants: its workers
    /// accept few connections.
    pub home_dispatchers_per_service: usize,
    /// Call-backs in flight to one receiver at first; rises with each that succeeds.
    pub callbacks_per_receiver: u32,
    /// Call-backs in flight to one receiver at the most; not below `callbacks_per_receiver`.
    pub max_callbacks_per_receiver: u32,
    /// Wait after the first failed attempt or call-back; doubles with each further one.
    pub initial_backoff: Duration,
    /// Longest wait between attempts.
    pub max_backoff: Duration,
    /// Shortest time that a replica is waited for before the next one is written to as well. Shorter ones hide slow
    /// disks better and write more.
    pub min_write_timeout: Duration,
    /// Longest time that a replica is waited for before the next one is written to as well; not below
    /// `min_write_timeout`.
    pub max_write_timeout: Duration,
    /// Bytes of one chunk of a snapshot transfer to another store.
    pub snapshot_chunk_bytes: usize,
    /// Time between two chunks, which leaves the connection to other messages.
    pub snapshot_chunk_interval: Duration,
    /// Bytes of repair that may be in flight to one store.
    pub repair_window_bytes: usize,
    /// Time between two comparisons of some messages with the replicas' copies; zero turns them off.
    pub scrub_interval: Duration,
    /// Messages of one shard that are compared at a time.
    pub scrub_messages: usize,
    /// Time between two scans for orphaned messages; zero turns them off.
    pub watchdog_interval: Duration,
    /// A dispatcher that has not reported a call-back's result for so long is taken to have lost it: more than it takes
    /// one to finish all that it may have in flight to a receiver that answers.
    pub callback_timeout: Duration,
    /// Seed of the jitter of back-offs.
    pub seed: u64,
}

/// Doublings of the back-off after which only its maximum counts; keeps the factor within its type.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// A [`Config`] that contradicts itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// `min_write_timeout` is above `max_write_timeout`.
    #[error("the shortest write time-out, {min:?}, is above the longest one, {max:?}")]
    WriteTimeouts {
        /// The configured minimum.
        min: Duration,
        /// The configured maximum.
        max: Duration,
    },
    /// `callbacks_per_receiver` is above `max_callbacks_per_receiver`.
    #[error("a receiver gets {initial} call-backs at first, which is above the maximum of {max}")]
    CallbackLimits {
        /// The configured limit at first.
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
    /// Names the first pair of limits of which the lower one is above the upper one.
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

    /// Wait after so many consecutive failures: doubles with each further one, up to the maximum.
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
