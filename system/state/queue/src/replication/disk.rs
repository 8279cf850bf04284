//! Appends to the local disk that wait for their sync.

use crate::api::{DiskRecord, Output, Ticket};
use crate::primary_entry::SentVersion;
use crate::time::Instant;
use millrudder_protocol::{Epoch, RequestNumber, ShardId, StoreId};
use std::collections::VecDeque;
use std::time::Duration;

/// What follows the sync of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SyncAction {
    /// Nothing waits for it.
    Nothing,
    /// This store, as primary, has a version on its disk.
    Own(SentVersion),
    /// A primary's `Write` is on the disk.
    Write { store: StoreId, number: RequestNumber },
    /// The shard is promised to this store itself.
    OwnPromise { shard: ShardId, term: Epoch },
    /// The shard is promised to a new primary.
    Promise { store: StoreId, shard: ShardId, term: Epoch },
}

#[derive(Clone, Debug)]
struct Unsynced {
    ticket: Ticket,
    at: Instant,
    on_synced: SyncAction,
}

/// The local disk, as a queue of appends.
#[derive(Clone, Debug)]
pub(super) struct LocalDisk {
    next: Ticket,
    unsynced: VecDeque<Unsynced>,
    /// So many of the oldest are overdue.
    overdue: usize,
    is_failed: bool,
}

impl LocalDisk {
    pub fn new() -> Self {
        LocalDisk { next: Ticket(1), unsynced: VecDeque::new(), overdue: 0, is_failed: false }
    }

    /// Appends a record; `on_synced` follows its sync.
    pub fn append(
        &mut self,
        record: DiskRecord,
        on_synced: SyncAction,
        now: Instant,
        outputs: &mut Vec<Output>,
    ) {
        let ticket = self.next;
        self.next = Ticket(ticket.0 + 1);
        self.unsynced.push_back(Unsynced { ticket, at: now, on_synced });
        outputs.push(Output::Append { ticket, record });
    }

    /// Everything up to `ticket` is synced; gives what follows, in the order of the appends.
    pub fn synced(&mut self, ticket: Ticket) -> Vec<SyncAction> {
        let mut allowed = Vec::new();
        while self.unsynced.front().is_some_and(|oldest| oldest.ticket <= ticket) {
            let Some(oldest) = self.unsynced.pop_front() else { break };
            self.overdue = self.overdue.saturating_sub(1);
            allowed.push(oldest.on_synced);
        }
        allowed
    }

    /// The connection that a primary's writes came on has ended: nobody is sent their acknowledgement. On the next connection
    /// their numbers may be those of other writes, as each process numbers its own.
    pub fn forget_writes(&mut self, of: StoreId) {
        for unsynced in &mut self.unsynced {
            if matches!(unsynced.on_synced, SyncAction::Write { store, .. } if store == of) {
                unsynced.on_synced = SyncAction::Nothing;
            }
        }
    }

    /// When the oldest append that is not overdue becomes so.
    pub fn deadline(&self, timeout: Duration) -> Option<Instant> {
        self.unsynced.get(self.overdue).map(|next| next.at + timeout)
    }

    /// Own versions that have become overdue since the last call.
    pub fn take_overdue(&mut self, now: Instant, timeout: Duration) -> Vec<SentVersion> {
        let mut messages = Vec::new();
        while self.deadline(timeout).is_some_and(|deadline| deadline <= now) {
            if let SyncAction::Own(sent) = self.unsynced[self.overdue].on_synced {
                messages.push(sent);
            }
            self.overdue += 1;
        }
        messages
    }

    pub fn is_overdue(&self) -> bool {
        self.overdue > 0
    }

    /// Time that the oldest append has waited for its sync.
    pub fn oldest_unsynced(&self, now: Instant) -> Duration {
        self.unsynced.front().map_or(Duration::ZERO, |oldest| now.saturating_duration_since(oldest.at))
    }

    /// The disk cannot be trusted any more.
    pub fn fail(&mut self) {
        self.is_failed = true;
    }

    pub fn is_failed(&self) -> bool {
        self.is_failed
    }
}
