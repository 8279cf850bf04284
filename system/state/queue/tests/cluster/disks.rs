//! A simulated disk: what was appended, and how much of it is synced.

use millrudder_queue::{DiskRecord, Recovered, Ticket};
use std::time::Duration;

struct Appended {
    at_ms: u64,
    ticket: Ticket,
    record: DiskRecord,
}

/// What one store has on its disk.
#[derive(Default)]
pub struct Disk {
    records: Vec<Appended>,
    synced: usize,
    /// Records that the sync under way covers.
    syncing: Option<usize>,
    pub failing: bool,
}

impl Disk {
    pub fn append(&mut self, at_ms: u64, ticket: Ticket, record: DiskRecord) {
        self.records.push(Appended { at_ms, ticket, record });
    }

    /// Starts a sync of everything appended so far; `false` if one is under way or nothing is there to sync.
    pub fn start_sync(&mut self) -> bool {
        if self.syncing.is_some() || self.synced == self.records.len() || self.failing {
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

    /// Power was lost; of what was not synced a part is there, as drawn.
    pub fn power_lost(&mut self, mut keep: impl FnMut() -> bool) {
        self.syncing = None;
        let unsynced = self.records.split_off(self.synced);
        self.records.extend(unsynced.into_iter().filter(|_| keep()));
        self.synced = self.records.len();
    }

    pub fn recover(&self, now_ms: u64) -> Vec<Recovered> {
        let recovered = |appended: &Appended| Recovered {
            record: appended.record.clone(),
            age: Duration::from_millis(now_ms - appended.at_ms),
        };
        self.records.iter().map(recovered).collect()
    }
}
