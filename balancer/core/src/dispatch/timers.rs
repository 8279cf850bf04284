//! The timers of the dispatch coroutine.

use millrudder_exchange::clock::span;
use millrudder_exchange::{AttemptId, Ticket};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

/// The longest that the dispatch coroutine waits for a message without looking at its timers (ms).
const MAX_WAIT_MS: f64 = 1_000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// A timer that the decision module set, with its token.
    ModuleTimer(u64),
    /// A job's deadline.
    Deadline(Ticket),
    /// The module should have answered the job by now.
    AnswerOverdue(Ticket),
    /// The attempt's own time limit, which is earlier than the job's deadline.
    AttemptTimeout(AttemptId),
    /// Idle connections are to be checked.
    CloseStale,
    /// Requests to workers and discovery are to be checked for overdue answers.
    AbortOverdue,
    /// A failed watch of the worker list is to be opened again.
    ReopenWatch,
    /// The last moment of a stop, at which all open jobs are answered as failed.
    FailUnanswered,
}

struct Entry {
    /// Clock time (ms).
    at: f64,
    /// Orders timers that are due at the same time.
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
    /// How many timers have been set so far.
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

    /// How long to wait for the next timer, at least 1 ms. The `may` runtime rounds time-outs down to whole
    /// milliseconds and takes 0 for no limit, so a shorter wait would last until the next message, which may
    /// never come.
    pub fn time_to_next(&self, now: f64) -> Duration {
        span((self.next() - now).clamp(1.0, MAX_WAIT_MS))
    }

    /// Removes and returns the earliest timer that is due by now; of equal times, the one set first.
    pub fn pop_due(&mut self, now: f64) -> Option<Due> {
        if self.next() > now {
            return None;
        }
        self.heap.pop().map(|entry| entry.0.due)
    }
}

#[cfg(test)]
mod tests;
