//! What falls due when.

use millrudder_exchange::clock::span;
use millrudder_exchange::{AttemptId, Ticket};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

const MAX_WAIT_MS: f64 = 1_000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    ModuleTimer(u64),
    Deadline(Ticket),
    AnswerOverdue(Ticket),
    AttemptTimeout(AttemptId),
    CloseStale,
    AbortOverdue,
    ReopenWatch,
    FailUnanswered,
}

struct Entry {
    at: f64,
    sequence: u64,
    due: Due,
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.total_cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<Entry>>,
    timers_set: u64,
}

impl Timers {
    pub fn set(&mut self, at: f64, due: Due) {
        self.timers_set += 1;
        self.heap.push(Reverse(Entry { at, sequence: self.timers_set, due }));
    }

    fn next(&self) -> f64 {
        self.heap.peek().map_or(f64::INFINITY, |entry| entry.0.at)
    }

    /// How long to wait for the next one. may counts whole milliseconds and takes none for no limit at all: a wait
    /// of less would last until the next message, for ever if none comes.
    pub fn time_to_next(&self, now: f64) -> Duration {
        span((self.next() - now).clamp(1.0, MAX_WAIT_MS))
    }

    /// The next one that is due by now; of equal times the one armed first.
    pub fn pop_due(&mut self, now: f64) -> Option<Due> {
        if self.next() > now {
            return None;
        }
        self.heap.pop().map(|entry| entry.0.due)
    }
}

#[cfg(test)]
mod tests;
