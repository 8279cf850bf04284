//! A simulated disk: the appended records, and how many of them are synced.

use millrudder_queue::{DiskRecord, Recovered, Ticket};
use std::time::Duration;

struct Appended {
    at_ms: u64,
    ticket: Ticket,
    record: DiskRecord,
}

/// The disk of one store.
#[derive(Default)]
pub struct Disk {
    records: Vec<Appended>,
    synced: usize,
    /// Number of records that the sync in progress covers.
    syncing: Option<usize>,
    pub failing: bool,
}

impl Disk {
    pub fn append(&mut self, at_ms: u64, ticket: Ticket, record: DiskRecord) {
        self.records.push(Appended { at_ms, ticket, record });
    }

    /// Starts a sync of everything appended so far. Returns `false` if one is in progress or there is nothing
    /// to sync.
    pub fn start_sync(&mut self) -> bool {
        if self.syncing.is_some() || self.synced == self.records.len() || self.failing {
            return false;
        }
        self.syncing = Some(self.records.len());
        true
    }

    /// Completes the sync in progress. Returns the last ticket that it covers.
    pub fn end_sync(&mut self) -> Option<Ticket> {
        self.synced = self.syncing.take()?;
        self.records[..self.synced].last().map(|appended| appended.ticket)
    }

    /// Simulates the death of the process: everything written survives.
    pub fn process_died(&mut self) {
        self.syncing = None;
        self.synced = self.records.len();
    }

    /// Simulates a power failure: of the unsynced records, those survive for which `keep` returns true.
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
