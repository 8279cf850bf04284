//! The queue of appends to the local disk that are not synced yet.

use crate::api::{DiskRecord, Output, Ticket};
use crate::primary_entry::SentVersion;
use crate::time::Instant;
use millrudder_protocol::{Epoch, RequestNumber, ShardId, StoreId};
use std::collections::VecDeque;
use std::time::Duration;

/// What follows the sync of an append to the local disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SyncAction {
    /// Nothing follows.
    Nothing,
    /// Counts the local copy of a version, of whose shard this store is the primary.
    CountLocalCopy(SentVersion),
    /// Acknowledges a `Write` to the primary that sent it.
    AcknowledgeWrite { store: StoreId, number: RequestNumber },
    /// Continues the takeover of a shard by this store: its own promise is synced.
    ContinueTakeover { shard: ShardId, term: Epoch },
    /// Sends a snapshot of the shard to the new primary to which it is promised.
    SendSnapshot { store: StoreId, shard: ShardId, term: Epoch },
}

#[derive(Clone, Debug)]
struct Unsynced {
    ticket: Ticket,
    appended_at: Instant,
    on_synced: SyncAction,
}

/// The local disk, as a queue of appends in the order of their tickets.
#[derive(Clone, Debug)]
pub(super) struct LocalDisk {
    next_ticket: Ticket,
    unsynced: VecDeque<Unsynced>,
    /// Number of appends that are overdue; they are the oldest ones.
    overdue: usize,
    is_failed: bool,
}

impl LocalDisk {
    pub fn new() -> Self {
        LocalDisk { next_ticket: Ticket(1), unsynced: VecDeque::new(), overdue: 0, is_failed: false }
    }

    /// Appends a record; `on_synced` is carried out once it is synced.
    pub fn append(
        &mut self,
        record: DiskRecord,
        on_synced: SyncAction,
        now: Instant,
        outputs: &mut Vec<Output>,
    ) {
        let ticket = self.next_ticket;
        self.next_ticket = Ticket(ticket.0 + 1);
        self.unsynced.push_back(Unsynced { ticket, appended_at: now, on_synced });
        outputs.push(Output::Append { ticket, record });
    }

    /// Handles the sync of everything up to `ticket`. Returns the actions that follow, in the order of the
    /// appends.
    pub fn handle_synced(&mut self, ticket: Ticket) -> Vec<SyncAction> {
        let mut actions = Vec::new();
        while self.unsynced.front().is_some_and(|oldest| oldest.ticket <= ticket) {
            let Some(oldest) = self.unsynced.pop_front() else { break };
            self.overdue = self.overdue.saturating_sub(1);
            actions.push(oldest.on_synced);
        }
        actions
    }

    /// Cancels the acknowledgements of writes from a primary whose connection has closed. Each process numbers
    /// its own writes, so on the next connection the same numbers may refer to other writes.
    pub fn cancel_write_acks(&mut self, of: StoreId) {
        for unsynced in &mut self.unsynced {
            if matches!(unsynced.on_synced, SyncAction::AcknowledgeWrite { store, .. } if store == of) {
                unsynced.on_synced = SyncAction::Nothing;
            }
        }
    }

    /// Time at which the oldest append that is not overdue becomes overdue.
    pub fn deadline(&self, timeout: Duration) -> Option<Instant> {
        self.unsynced.get(self.overdue).map(|next| next.appended_at + timeout)
    }

    /// Versions written as primary whose appends have become overdue since the last call.
    pub fn take_overdue(&mut self, now: Instant, timeout: Duration) -> Vec<SentVersion> {
        let mut messages = Vec::new();
        while self.deadline(timeout).is_some_and(|deadline| deadline <= now) {
            if let SyncAction::CountLocalCopy(sent) = self.unsynced[self.overdue].on_synced {
                messages.push(sent);
            }
            self.overdue += 1;
        }
        messages
    }

    pub fn is_overdue(&self) -> bool {
        self.overdue > 0
    }

    /// Time that the oldest append has been waiting for its sync.
    pub fn oldest_unsynced(&self, now: Instant) -> Duration {
        self.unsynced
            .front()
            .map_or(Duration::ZERO, |oldest| now.saturating_duration_since(oldest.appended_at))
    }

    /// Marks the disk as failed: nothing on it can be relied on any more.
    pub fn fail(&mut self) {
        self.is_failed = true;
    }

    pub fn is_failed(&self) -> bool {
        self.is_failed
    }
}
