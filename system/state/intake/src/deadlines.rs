//! Deadlines of calls, ordered by time.

use crate::interface::CallNumber;
use millrudder_clock::Instant;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at: Instant,
    call: CallNumber,
}

/// At most one deadline per call.
#[derive(Clone, Debug, Default)]
pub struct Deadlines {
    by_call: BTreeMap<CallNumber, Instant>,
    by_time: BTreeSet<Deadline>,
}

impl Deadlines {
    /// Sets the deadline of a call, replacing the previous one.
    pub fn set(&mut self, call: CallNumber, at: Instant) {
        self.remove(call);
        self.by_call.insert(call, at);
        self.by_time.insert(Deadline { at, call });
    }

    /// Removes the deadline of a call that has ended.
    pub fn remove(&mut self, call: CallNumber) {
        if let Some(at) = self.by_call.remove(&call) {
            self.by_time.remove(&Deadline { at, call });
        }
    }

    /// The earliest deadline.
    pub fn next(&self) -> Option<Instant> {
        self.by_time.first().map(|deadline| deadline.at)
    }

    /// The call with the earliest deadline, if that has passed.
    pub fn first_due(&self, now: Instant) -> Option<CallNumber> {
        self.due(now).next()
    }

    /// Calls whose deadline has passed, ordered by deadline.
    pub fn due(&self, now: Instant) -> impl Iterator<Item = CallNumber> + '_ {
        self.by_time.iter().take_while(move |deadline| deadline.at <= now).map(|deadline| deadline.call)
    }
}
