//! Whether this node's disk keeps up with what a member has to write.

use super::PersistToken;

/// A record that is not durable after so long (microseconds) shows a disk on which a chain would wait.
const TOO_LONG_MICROS: u64 = 300_000;
/// A process that looks this long (microseconds) after its last look stood still itself: reports of its disk wait unread.
const STOOD_STILL_MICROS: u64 = 200_000;
/// A disk that was too slow counts as such for so long (microseconds), since a disk at rest shows nothing.
const REMEMBERED_MICROS: u64 = 3_000_000;

/// How long the oldest record that is not durable has waited.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DiskLag {
    waiting: Option<Waiting>,
    looked_at: u64,
    slow_until: u64,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    for_record: PersistToken,
    since: u64,
}

impl DiskLag {
    /// Notes how far the disk is, to be called at each input.
    pub(super) fn look(&mut self, now: u64, issued: PersistToken, on_disk: PersistToken) {
        let stood_still = now.saturating_sub(self.looked_at) >= STOOD_STILL_MICROS;
        self.looked_at = now;
        if stood_still {
            self.waiting = None;
        }
        if let Some(waiting) = self.waiting {
            if now.saturating_sub(waiting.since) >= TOO_LONG_MICROS {
                self.slow_until = now + REMEMBERED_MICROS;
            }
        }
        let still = self.waiting.filter(|waiting| waiting.for_record > on_disk);
        let next = Waiting { for_record: PersistToken(on_disk.0 + 1), since: now };
        self.waiting = still.or((issued > on_disk).then_some(next));
    }

    /// Whether the disk is, or was of late, too slow for a member.
    pub(super) fn is_lagging(&self, now: u64) -> bool {
        now < self.slow_until
    }
}
