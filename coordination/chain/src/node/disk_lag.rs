//! Whether this node's disk keeps up with what a member has to write.

use std::time::Duration;

use millrudder_clock::Instant;

use super::PersistToken;

/// A record that is not durable after so long shows a disk that would hold up the chain.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(300);
/// A process without an input for so long was paused itself: reports of its disk wait unread.
const PROCESS_PAUSE_THRESHOLD: Duration = Duration::from_millis(200);
/// A disk that was too slow counts as such for so long, since an idle disk shows nothing.
const LAGGING_STATUS_DURATION: Duration = Duration::from_secs(3);

/// How long the oldest record that is not durable has waited.
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
    /// Notes how far the disk is; to be called at each input.
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

    /// Whether the disk is, or was recently, too slow for a member.
    pub(super) fn is_lagging(&self, now: Instant) -> bool {
        now < self.lagging_until
    }
}
