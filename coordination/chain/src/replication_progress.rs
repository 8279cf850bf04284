//! The link from a node to one that it feeds: the next member of the chain, or a learner at the tail.

use crate::transfer::Transfer;
use crate::{Position, Sequence};

/// Between two rewinds for a gap lies at least this share of the pause before an unanswered message is sent again.
const GAP_SHARE: u64 = 16;

/// How far a fed node is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    /// End of the fed node's durable log, as it last said.
    pub(crate) end: Position,
    /// Commands up to here were sent.
    pub(crate) sent: Sequence,
    /// The commit point that was sent last.
    pub(crate) committed_sent: Sequence,
    /// When it last made progress, or something was sent to it while nothing was outstanding (microseconds).
    pub(crate) progress_at: u64,
    /// A snapshot is being sent and the fed node has not reached it yet.
    pub(crate) transfer: Option<Transfer>,
    /// When commands were sent again last (microseconds).
    rewound_at: u64,
}

impl Link {
    pub(crate) fn new(end: Position, now: u64) -> Link {
        Link {
            end,
            sent: end.sequence,
            committed_sent: Sequence::default(),
            progress_at: now,
            transfer: None,
            rewound_at: now,
        }
    }

    /// Notes that the fed node holds commands up to `end`.
    pub(crate) fn acknowledged(&mut self, end: Position, now: u64) {
        let installed = self.transfer.is_some_and(|transfer| transfer.id.position == end);
        if end.sequence <= self.end.sequence && !installed {
            return;
        }
        self.end = end;
        self.sent = if installed { end.sequence } else { self.sent.max(end.sequence) };
        self.progress_at = now;
        self.transfer = self.transfer.filter(|transfer| end.sequence < transfer.id.position.sequence);
    }

    /// The fed node cannot take what it got, since it lacks the commands before: they are sent again at once.
    pub(crate) fn gap(&mut self, now: u64, retry_after: u64) {
        let rested = now.saturating_sub(self.rewound_at) >= retry_after / GAP_SHARE;
        if rested && self.transfer.is_none() {
            self.rewind(now);
        }
    }

    fn rewind(&mut self, now: u64) {
        self.sent = self.end.sequence;
        self.transfer = self.transfer.map(|transfer| Transfer::new(transfer.id));
        self.progress_at = now;
        self.rewound_at = now;
    }

    /// Where the fed node's log will end once a snapshot under way is installed.
    pub(crate) fn base(&self) -> Position {
        self.transfer.map_or(self.end, |transfer| transfer.id.position)
    }

    /// Sends everything after the acknowledged end again if nothing was acknowledged for `retry_after`. Of a snapshot
    /// the start goes out again: the answer to it tells what the fed node holds.
    pub(crate) fn rewind_if_stalled(&mut self, now: u64, retry_after: u64) {
        let outstanding = self.sent > self.end.sequence || self.transfer.is_some();
        if outstanding && now.saturating_sub(self.progress_at) >= retry_after {
            self.rewind(now);
        }
    }
}
