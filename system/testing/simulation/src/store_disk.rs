//! Disk of a store: what was appended, and how much of it is synced.

use millrudder_queue::{DiskRecord, Recovered, Ticket};
use std::time::Duration;

#[derive(Clone, Debug)]
struct Appended {
    /// True time (microseconds).
    at: u64,
    ticket: Ticket,
    record: DiskRecord,
}

/// What one store has on its disk.
#[derive(Clone, Debug, Default)]
pub struct StoreDisk {
    records: Vec<Appended>,
    synced: usize,
    /// Records that the sync under way covers.
    syncing: Option<usize>,
}

impl StoreDisk {
    pub fn append(&mut self, at: u64, ticket: Ticket, record: DiskRecord) {
        self.records.push(Appended { at, ticket, record });
    }

    /// Starts a sync of everything appended so far; false if one is under way or nothing is there to sync.
    pub fn start_sync(&mut self) -> bool {
        if self.syncing.is_some() || self.synced == self.records.len() {
            return false;
        }
        self.syncing = Some(self.records.len());
        true
    }

    /// The sync under way is done; gives the last ticket that it covers.
    pub fn end_sync(&mut self) -> Option<Ticket> {
        self.synced = self.syncing.take()?;
        self.records[..self.synced].last().map(|appended| appended.ticket)
    }

    /// The process died; everything written is still there.
    pub fn process_died(&mut self) {
        self.syncing = None;
        self.synced = self.records.len();
    }

    /// Power was lost, and with it what was not synced.
    pub fn power_lost(&mut self) {
        self.syncing = None;
        self.records.truncate(self.synced);
    }

    /// What a process finds that starts at true time `now` (microseconds).
    pub fn recover(&self, now: u64) -> Vec<Recovered> {
        let age = |at: u64| Duration::from_millis(now.saturating_sub(at) / crate::MILLISECOND);
        let recovered =
            |appended: &Appended| Recovered { record: appended.record.clone(), age: age(appended.at) };
        self.records.iter().map(recovered).collect()
    }
}
