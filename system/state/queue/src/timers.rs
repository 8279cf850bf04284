//! The timers of a store process, ordered by time.

use crate::scheduling::ServiceIndex;
use crate::time::Instant;
use millrudder_protocol::{DispatcherId, MessageId, ShardId, StoreId};
use std::collections::BTreeSet;

/// What happens when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The delay or back-off of a message is over.
    BackoffOver(MessageId),
    /// The retention of a message is over, or an ended message may be removed.
    Expiry(MessageId),
    /// Messages whose leases a dispatcher did not confirm are granted again.
    UnconfirmedLeases(DispatcherId),
    /// The rate limit of a service has a permit available.
    PermitAvailable(ServiceIndex),
    /// The next call-back to a receiver may be made.
    ReceiverReady(u32),
    /// The heartbeats of the dispatchers are checked.
    HeartbeatCheck,
    /// The next messages are compared with the replicas' copies.
    Scrub,
    /// A scan for orphaned messages is due.
    Watchdog,
    /// The next chunk of a snapshot is sent to the new primary of a shard.
    SnapshotChunk(StoreId, ShardId),
}

/// Timers ordered by time. A timer that was set for two times fires at both.
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

    /// Removes and returns the first timer that is due.
    pub fn pop(&mut self, now: Instant) -> Option<Timer> {
        if self.first()? > now {
            return None;
        }
        self.due.pop_first().map(|(_, timer)| timer)
    }
}
