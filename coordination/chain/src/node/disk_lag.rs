//! Detects whether this node's disk is too slow for a member of the chain.

use std::time::Duration;

use millrudder_clock::Instant;

use super::PersistToken;

/// If a record is not durable after this time, the disk is lagging and would delay every commit of the chain.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(300);
/// A process that handled no input for this long was itself paused: completed writes have not been reported to it yet,
/// so their age says nothing about the disk.
const PROCESS_PAUSE_THRESHOLD: Duration = Duration::from_millis(200);
/// How long a disk counts as lagging after a slow write, since an idle disk gives no evidence of its speed.
const LAGGING_STATUS_DURATION: Duration = Duration::from_secs(3);

/// Tracks how long the oldest record that is not durable has been pending.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DiskLag {
    oldest: Option<PendingRecord>,
    updated_at: Instant,
    lagging_until: Instant,
}

#[derive(Clone, Copy, Debug)]
struct PendingRecord {
    token: PersistToken,
    since: Instant,
}

impl DiskLag {
    /// Records the newest issued and the newest durable record; to be called after each input.
    pub(super) fn update(&mut self, now: Instant, issued: PersistToken, durable: PersistToken) {
        let was_paused = now - self.updated_at >= PROCESS_PAUSE_THRESHOLD;
        self.updated_at = now;
        if was_paused {
            self.oldest = None;
        }
        if self.oldest.is_some_and(|record| now - record.since >= SLOW_WRITE_THRESHOLD) {
            self.lagging_until = now + LAGGING_STATUS_DURATION;
        }
        let still_pending = self.oldest.filter(|record| record.token > durable);
        let next = PendingRecord { token: PersistToken(durable.0 + 1), since: now };
        self.oldest = still_pending.or((issued > durable).then_some(next));
    }

    /// Whether the disk is lagging, or was within [`LAGGING_STATUS_DURATION`].
    pub(super) fn is_lagging(&self, now: Instant) -> bool {
        now < self.lagging_until
    }
}
