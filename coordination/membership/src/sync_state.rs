//! State of the exchange of lists with other members.

use std::net::SocketAddr;

use millrudder_clock::Instant;

/// A pending request to a member that has more records to send.
#[derive(Clone, Copy, Debug)]
struct Continuation {
    due: Instant,
    address: SocketAddr,
}

/// Count of datagrams with a matching digest, and the times of requests for differing records.
#[derive(Clone, Debug, Default)]
pub(crate) struct SyncState {
    /// Number of consecutive datagrams with a digest equal to that of this process, since the last update.
    agreements: u32,
    requested_at: Option<Instant>,
    continuation: Option<Continuation>,
}

impl SyncState {
    /// Resets the count of equal digests, because there is an update that other members do not know.
    pub fn reset_agreements(&mut self) {
        self.agreements = 0;
    }

    /// Counts a digest equal to that of this process. Returns the number of consecutive ones.
    pub fn count_agreement(&mut self) -> u32 {
        self.agreements = self.agreements.saturating_add(1);
        self.agreements
    }

    /// Returns the time at which this process last requested differing records.
    pub fn requested_at(&self) -> Option<Instant> {
        self.requested_at
    }

    pub fn set_requested_at(&mut self, now: Instant) {
        self.requested_at = Some(now);
    }

    /// Schedules a request at `due` for the rest of a truncated answer.
    pub fn schedule_continuation(&mut self, due: Instant, address: SocketAddr) {
        self.continuation = Some(Continuation { due, address });
    }

    pub fn next_deadline(&self) -> Option<Instant> {
        self.continuation.map(|continuation| continuation.due)
    }

    /// Returns the address of the member that must be asked for the rest of its records now.
    pub fn take_due(&mut self, now: Instant) -> Option<SocketAddr> {
        self.continuation.take_if(|continuation| continuation.due <= now).map(|due| due.address)
    }
}
