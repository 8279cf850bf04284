//! Timers in the order of their time.

use crate::scheduling::ServiceIndex;
use crate::time::Instant;
use millrudder_protocol::{DispatcherId, MessageId, ShardId, StoreId};
use std::collections::BTreeSet;

/// What a timer stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A message's delay or back-off is over.
    BackoffOver(MessageId),
    /// A message's retention is over, or its status need not be known any more.
    Expiry(MessageId),
    /// Leases that a dispatcher did not confirm may be granted again.
    UnconfirmedLeases(DispatcherId),
    /// A service's rate limit has a permit again.
    PermitAvailable(ServiceIndex),
    /// Call-backs of a receiver may be retried.
    ReceiverReady(u32),
    /// Check the heartbeats of dispatchers.
    HeartbeatCheck,
    /// Compare the next messages with what replicas know of them.
    Scrub,
    /// Scan for orphaned messages.
    Watchdog,
    /// The next chunk of a shard's snapshot goes to its new primary.
    SnapshotChunk(StoreId, ShardId),
}

/// Timers by time. A timer that was set twice goes off twice.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timers {
    due: BTreeSet<(Instant, Timer)>,
}

impl Timers {
    pub fn set(&mut self, at: Instant, timer: Timer) {
        self.due.insert((at, timer));
    }

    pub fn clear(&mut self, at: Instant, timer: Timer) {
        self.due.remove(&(at, timer));
    }

    pub fn first(&self) -> Option<Instant> {
        self.due.first().map(|(at, _)| *at)
    }

    /// The first timer that is due.
    pub fn pop(&mut self, now: Instant) -> Option<Timer> {
        if self.first()? > now {
            return None;
        }
        self.due.pop_first().map(|(_, timer)| timer)
    }
}
