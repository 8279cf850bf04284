//! Progress of the replication from this node to another one: the next member of the chain, or a learner.

use std::time::Duration;

use millrudder_clock::Instant;

use crate::transfer::Transfer;
use crate::{Position, Sequence, SnapshotId};

/// Commands are sent again for a gap at most once in this fraction of the time-out after which an unanswered message is retried.
const GAP_RETRIES_PER_TIMEOUT: u32 = 16;

/// How far one receiver has been brought up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicationProgress {
    /// End of the receiver's durable log, as it last acknowledged.
    acked: Position,
    /// Commands up to here were sent.
    sent: Sequence,
    /// The commit point that was sent last.
    committed_sent: Sequence,
    /// When the receiver last made progress, or something was sent to it while nothing was in flight.
    progress_at: Instant,
    /// The snapshot that is being sent, until the receiver has installed it.
    transfer: Option<Transfer>,
    /// When commands were sent again last.
    rewound_at: Instant,
}

impl ReplicationProgress {
    pub(crate) fn new(acked: Position, now: Instant) -> ReplicationProgress {
        ReplicationProgress {
            acked,
            sent: acked.sequence,
            committed_sent: Sequence::default(),
            progress_at: now,
            transfer: None,
            rewound_at: now,
        }
    }

    /// End of the receiver's durable log, as it last acknowledged.
    pub(crate) fn acked(&self) -> Position {
        self.acked
    }

    /// Commands up to here were sent.
    pub(crate) fn sent(&self) -> Sequence {
        self.sent
    }

    /// The commit point that was sent last.
    pub(crate) fn committed_sent(&self) -> Sequence {
        self.committed_sent
    }

    /// The snapshot that is being sent, until the receiver has installed it.
    pub(crate) fn transfer(&self) -> Option<Transfer> {
        self.transfer
    }

    /// Whether the receiver has acknowledged everything that was sent.
    pub(crate) fn is_idle(&self) -> bool {
        self.sent == self.acked.sequence && self.transfer.is_none()
    }

    /// Nothing was in flight until now: the time-out of a retry starts now.
    pub(crate) fn restart_retry_timeout(&mut self, now: Instant) {
        self.progress_at = now;
    }

    /// Commands up to `sent` leave together with the commit point.
    pub(crate) fn record_sent(&mut self, sent: Sequence, committed: Sequence) {
        self.sent = sent;
        self.committed_sent = committed;
    }

    /// The commit point leaves alone.
    pub(crate) fn record_committed_sent(&mut self, committed: Sequence) {
        self.committed_sent = committed;
    }

    /// Begins to send a snapshot.
    pub(crate) fn start_transfer(&mut self, id: SnapshotId) {
        self.transfer = Some(Transfer::new(id));
    }

    /// Replaces the state of the transfer after chunks of it were sent.
    pub(crate) fn set_transfer(&mut self, transfer: Transfer) {
        self.transfer = Some(transfer);
    }

    /// The receiver has the first `received` bytes of a snapshot. Returns whether that is progress.
    pub(crate) fn handle_snapshot_received(&mut self, now: Instant, id: SnapshotId, received: u64) -> bool {
        let transfer = self.transfer.as_mut().filter(|transfer| transfer.id() == id);
        let has_progressed = transfer.is_some_and(|transfer| transfer.handle_received(received));
        if has_progressed {
            self.progress_at = now;
        }
        has_progressed
    }

    /// Notes that the receiver's durable log ends at `end`.
    pub(crate) fn handle_ack(&mut self, end: Position, now: Instant) {
        let is_installed = self.transfer.is_some_and(|transfer| transfer.id().position == end);
        if end.sequence <= self.acked.sequence && !is_installed {
            return;
        }
        self.acked = end;
        self.sent = if is_installed { end.sequence } else { self.sent.max(end.sequence) };
        self.progress_at = now;
        self.transfer = self.transfer.filter(|transfer| end.sequence < transfer.id().position.sequence);
    }

    /// The receiver lacks the commands before those that it got: they are sent again, unless they just were.
    pub(crate) fn handle_gap(&mut self, now: Instant, retry_after: Duration) {
        let may_rewind = now - self.rewound_at >= retry_after / GAP_RETRIES_PER_TIMEOUT;
        if may_rewind && self.transfer.is_none() {
            self.rewind(now);
        }
    }

    fn rewind(&mut self, now: Instant) {
        self.sent = self.acked.sequence;
        self.transfer = self.transfer.map(|transfer| Transfer::new(transfer.id()));
        self.progress_at = now;
        self.rewound_at = now;
    }

    /// Where the receiver's log will end once a snapshot in flight is installed.
    pub(crate) fn end_after_transfer(&self) -> Position {
        self.transfer.map_or(self.acked, |transfer| transfer.id().position)
    }

    /// Sends everything after the acknowledged end again if nothing was acknowledged for `retry_after`. Of a snapshot
    /// the start is sent again: the answer to it tells what the receiver has.
    pub(crate) fn rewind_if_stalled(&mut self, now: Instant, retry_after: Duration) {
        let is_in_flight = self.sent > self.acked.sequence || self.transfer.is_some();
        if is_in_flight && now - self.progress_at >= retry_after {
            self.rewind(now);
        }
    }
}
