//! When this process exchanges lists with others, and whether the lists are known to agree.

use std::net::SocketAddr;

use millrudder_clock::Instant;

/// A member that has more records to send.
#[derive(Clone, Copy, Debug)]
struct Continuation {
    due: Instant,
    address: SocketAddr,
}

/// How far the lists of others agree, and when this process last asked for a difference.
#[derive(Clone, Debug, Default)]
pub(crate) struct SyncState {
    /// Datagrams in succession with a digest equal to the own one, since the last update.
    agreements: u32,
    requested_at: Option<Instant>,
    continuation: Option<Continuation>,
}

impl SyncState {
    /// There is an update that others do not know.
    pub fn reset_agreements(&mut self) {
        self.agreements = 0;
    }

    /// Counts a digest equal to the own one. Returns how many came in succession.
    pub fn count_agreement(&mut self) -> u32 {
        self.agreements = self.agreements.saturating_add(1);
        self.agreements
    }

    /// When this process last asked for a difference.
    pub fn requested_at(&self) -> Option<Instant> {
        self.requested_at
    }

    pub fn set_requested_at(&mut self, now: Instant) {
        self.requested_at = Some(now);
    }

    /// An answer was truncated: the rest is requested at `due`.
    pub fn schedule_continuation(&mut self, due: Instant, address: SocketAddr) {
        self.continuation = Some(Continuation { due, address });
    }

    pub fn next_deadline(&self) -> Option<Instant> {
        self.continuation.map(|continuation| continuation.due)
    }

    /// The member that is to be asked again now.
    pub fn take_due(&mut self, now: Instant) -> Option<SocketAddr> {
        self.continuation.take_if(|continuation| continuation.due <= now).map(|due| due.address)
    }
}
