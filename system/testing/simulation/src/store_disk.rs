//! Simulated disk of a store: the appended records, and how many of them are synced.
//!
//! It differs from the core's [`millrudder_chain::SimulatedDisk`] and stays apart from it: a store returns its records
//! one by one with their ages, not folded into one state; a killed process loses none of them; and a sync covers all
//! records appended when it starts. The simulated folders of `millrudder-checkpoint-store` work on bytes below both.

use crate::random_time::whole_micros;
use millrudder_clock::Instant;
use millrudder_queue::{DiskRecord, Recovered, Ticket};
use std::time::Duration;

#[derive(Clone, Debug)]
struct Appended {
    /// When it was appended (true time).
    at: Instant,
    ticket: Ticket,
    record: DiskRecord,
}

/// The disk of one store.
#[derive(Clone, Debug, Default)]
pub struct StoreDisk {
    records: Vec<Appended>,
    /// Number of synced records.
    synced: usize,
    /// Number of records that are synced once the sync in progress ends.
    syncing: Option<usize>,
}

impl StoreDisk {
    /// Appends a record at true time `at`.
    pub fn append(&mut self, at: Instant, ticket: Ticket, record: DiskRecord) {
        self.records.push(Appended { at, ticket, record });
    }

    /// Starts a sync of all records appended so far; false if one is in progress or all are synced.
    pub fn start_sync(&mut self) -> bool {
        if self.syncing.is_some() || self.synced == self.records.len() {
            return false;
        }
        self.syncing = Some(self.records.len());
        true
    }

    /// Ends the sync in progress. Returns the last ticket that it covers.
    pub fn end_sync(&mut self) -> Option<Ticket> {
        self.synced = self.syncing.take()?;
        self.records[..self.synced].last().map(|appended| appended.ticket)
    }

    /// Ends the process; all appended records survive.
    pub fn kill_process(&mut self) {
        self.syncing = None;
        self.synced = self.records.len();
    }

    /// Loses power, and with it the records that were not synced.
    pub fn lose_power(&mut self) {
        self.syncing = None;
        self.records.truncate(self.synced);
    }

    /// The records that a process recovers which starts at true time `now`.
    pub fn recover(&self, now: Instant) -> Vec<Recovered> {
        let age = |at: Instant| Duration::from_millis(whole_micros(now - at) / 1_000);
        let recovered =
            |appended: &Appended| Recovered { record: appended.record.clone(), age: age(appended.at) };
        self.records.iter().map(recovered).collect()
    }
}
