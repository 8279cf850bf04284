//! What the stand-ins saw: every run of every key, every job sent where it should not have been.

use std::collections::HashMap;

/// Drains have to be kept from this long (ms) after the dispatcher was told.
pub const DRAIN_GRACE_MS: f64 = 500.0;

#[derive(Clone, Debug, Default)]
pub struct Books {
    /// Jobs by key, and how often each was run to its end.
    pub runs: HashMap<String, u32>,
    /// Jobs that a worker has accepted.
    pub accepted: u64,
    pub turned_away: u64,
    /// Repeats that a cell dropped.
    pub dropped: u64,
    /// Jobs sent to a worker later than [`DRAIN_GRACE_MS`] after its drain was told.
    pub after_drain: u64,
    /// The latest of any job after a drain was told (ms).
    pub latest_after_drain: f64,
    pub fallen: u64,
    /// The most that any cold worker was sent, over what it may be sent.
    pub worst_cold: f64,
    /// Call-backs that nobody answered.
    pub call_backs_lost: u64,
}

impl Books {
    /// Keys that were run more than once.
    pub fn doubled(&self) -> usize {
        self.runs.values().filter(|runs| **runs > 1).count()
    }
}
