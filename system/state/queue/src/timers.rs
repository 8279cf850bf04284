//! Everything that is due at a time, ordered by that time.

use crate::scheduling::ServiceIndex;
use crate::time::Instant;
use millrudder_protocol::{DispatcherId, MessageId, ShardId, StoreId};
use std::collections::BTreeSet;

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A message's delay or back-off is over.
    BackoffOver(MessageId),
    /// A message's retention is over, or nobody may ask for it any more.
    Expiry(MessageId),
    /// Leases that a dispatcher did not confirm may be granted again.
    UnconfirmedLeases(DispatcherId),
    /// A service's ceiling has a permit again.
    PermitAvailable(ServiceIndex),
    /// Call-backs of a receiver may be tried again.
    ReceiverReady(u32),
    /// Look for dispatchers that went silent.
    HeartbeatCheck,
    /// Compare the next messages with what replicas know of them.
    Scrub,
    /// Look for messages that lie though nothing holds them back.
    Watchdog,
    /// The next piece of a shard's states goes to its new primary.
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
