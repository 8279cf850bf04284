//! Bounds and times of a store process.

/// Bounds and times of a store process; all times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Bytes of messages that may be held in memory; more are not accepted.
    pub memory_bytes: u64,
    /// Bytes of what is still needed on the disk; more are not accepted. The shell leaves room for garbage.
    pub disk_bytes: u64,
    /// Messages that may be live at a time; more are not accepted.
    pub max_live_messages: u64,
    /// What a client is told to wait when a bound is reached.
    pub full_retry_after_ms: u32,
    /// Time after its end in which a message may be asked for.
    pub status_ttl_ms: u64,
    /// Added to every time after which something is forgotten, for clocks that differ between machines.
    pub forget_margin_ms: u64,
    /// Time after its end in which a call-back is tried.
    pub callback_retention: u64,
    /// Wait for a dispatcher to reconnect before its leases are granted again.
    pub reconnect_timeout: u64,
    /// A dispatcher that was silent so long is gone; dispatchers send `Ping` at least three times as often.
    pub heartbeat_timeout: u64,
    /// Deliveries of one service that a dispatcher gets at a time before it told its own limit.
    pub default_credit: u32,
    /// Age up to which the dispatcher that accepted a message is trusted to have its body still.
    pub body_retention: u64,
    /// Dispatchers of a region that speak with one receiver of call-backs: it accepts few connections, and each of them
    /// keeps its own.
    pub home_dispatchers_per_receiver: usize,
    /// Dispatchers of a region that get the messages of one service which only one shard's primary grants: its workers
    /// accept few connections.
    pub home_dispatchers_per_service: usize,
    /// Call-backs under way to one receiver, at first and at the most.
    pub callbacks_per_receiver: u32,
    pub max_callbacks_per_receiver: u32,
    /// First wait after a failed attempt or call-back; doubles with each further one.
    pub backoff_ms: u64,
    /// Longest wait between attempts.
    pub max_backoff_ms: u64,
    /// Bounds of the time that a follower is waited for before the next replica is written to as well.
    pub min_write_wait_ms: u64,
    pub max_write_wait_ms: u64,
    /// Bytes of one piece when many states are sent to another store.
    pub snapshot_chunk_bytes: usize,
    /// Time between two such pieces.
    pub snapshot_chunk_interval: u64,
    /// Bytes of repair that may be under way to one store.
    pub repair_window_bytes: usize,
    /// Time between two comparisons of some messages with what replicas know of them; 0 for none.
    pub scrub_interval_ms: u64,
    /// Messages of one shard that are compared at a time.
    pub scrub_messages: usize,
    /// Time between two looks for messages that lie though nothing holds them back; 0 for none.
    pub watchdog_interval: u64,
    /// Time after which a dispatcher that has not said how a call-back ended is taken to have forgotten it: more than
    /// what it takes one to be done with all that it may hold for a receiver that answers.
    pub callback_lease_ms: u64,
    /// Seed of the jitter of back-offs.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            memory_bytes: 128 << 20,
            disk_bytes: 160 << 20,
            max_live_messages: 200_000,
            full_retry_after_ms: 1_000,
            status_ttl_ms: 120_000,
            forget_margin_ms: 15_000,
            callback_retention: 600_000,
            reconnect_timeout: 1_500,
            heartbeat_timeout: 3_000,
            default_credit: 16,
            body_retention: 10_000,
            home_dispatchers_per_receiver: 4,
            home_dispatchers_per_service: 4,
            callbacks_per_receiver: 2,
            max_callbacks_per_receiver: 8,
            backoff_ms: 250,
            max_backoff_ms: 4_000,
            min_write_wait_ms: 15,
            max_write_wait_ms: 60,
            snapshot_chunk_bytes: 256 << 10,
            snapshot_chunk_interval: 4,
            repair_window_bytes: 512 << 10,
            scrub_interval_ms: 5_000,
            scrub_messages: 128,
            watchdog_interval: 1_000,
            callback_lease_ms: 10_000,
            seed: 0,
        }
    }
}
