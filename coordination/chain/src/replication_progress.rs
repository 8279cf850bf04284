//! Progress of replication from this node to one receiver.

use std::time::Duration;

use millrudder_clock::Instant;

use crate::transfer::Transfer;
use crate::{Position, Sequence, SnapshotId};

/// Limit on resends caused by reported gaps: at most this many per retry time-out (`retry_after`).
const GAP_RETRIES_PER_TIMEOUT: u32 = 16;

/// How far replication to one receiver has come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicationProgress {
    /// End of the receiver's durable log, as it last acknowledged.
    acked: Position,
    /// The last command that was sent.
    sent: Sequence,
    /// The commit point in the last message sent.
    committed_sent: Sequence,
    /// When the receiver last made progress, or something was sent to it while nothing was in flight.
    progress_at: Instant,
    /// Transfer of a snapshot, until the receiver has installed it.
    transfer: Option<Transfer>,
    /// When commands were last resent.
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

    /// The last command that was sent.
    pub(crate) fn sent(&self) -> Sequence {
        self.sent
    }

    /// The commit point in the last message sent.
    pub(crate) fn committed_sent(&self) -> Sequence {
        self.committed_sent
    }

    /// Transfer of a snapshot, until the receiver has installed it.
    pub(crate) fn transfer(&self) -> Option<Transfer> {
        self.transfer
    }

    /// Whether the receiver has acknowledged everything that was sent.
    pub(crate) fn is_idle(&self) -> bool {
        self.sent == self.acked.sequence && self.transfer.is_none()
    }

    /// Restarts the retry time-out; called when nothing is in flight.
    pub(crate) fn restart_retry_timeout(&mut self, now: Instant) {
        self.progress_at = now;
    }

    /// Records that commands up to `sent` and the commit point are being sent.
    pub(crate) fn record_sent(&mut self, sent: Sequence, committed: Sequence) {
        self.sent = sent;
        self.committed_sent = committed;
    }

    /// Records that the commit point is being sent without commands.
    pub(crate) fn record_committed_sent(&mut self, committed: Sequence) {
        self.committed_sent = committed;
    }

    /// Starts the transfer of a snapshot.
    pub(crate) fn start_transfer(&mut self, id: SnapshotId) {
        self.transfer = Some(Transfer::new(id));
    }

    /// Updates the transfer after chunks were sent.
    pub(crate) fn set_transfer(&mut self, transfer: Transfer) {
        self.transfer = Some(transfer);
    }

    /// Handles the receiver's report that it has the first `received` bytes of a snapshot. Returns whether that is
    /// progress.
    pub(crate) fn handle_snapshot_received(&mut self, now: Instant, id: SnapshotId, received: u64) -> bool {
        let transfer = self.transfer.as_mut().filter(|transfer| transfer.id() == id);
        let has_progressed = transfer.is_some_and(|transfer| transfer.handle_received(received));
        if has_progressed {
            self.progress_at = now;
        }
        has_progressed
    }

    /// Handles an acknowledgement that the receiver's durable log ends at `end`.
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

    /// Handles a gap reported by the receiver: resends what follows its log, unless that was just done.
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

    /// Where the receiver's log ends, or will end once the snapshot in flight is installed.
    pub(crate) fn end_after_transfer(&self) -> Position {
        self.transfer.map_or(self.acked, |transfer| transfer.id().position)
    }

    /// Resends everything after the acknowledged end if there was no progress for `retry_after`. A snapshot transfer
    /// restarts with the first chunk: the receiver's answer states how much of it it already has.
    pub(crate) fn rewind_if_stalled(&mut self, now: Instant, retry_after: Duration) {
        let is_in_flight = self.sent > self.acked.sequence || self.transfer.is_some();
        if is_in_flight && now - self.progress_at >= retry_after {
            self.rewind(now);
        }
    }
}
