//! What falls due when.

use millrudder_exchange::clock::span;
use millrudder_exchange::{AttemptId, Ticket};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

const LONGEST_WAIT_MS: f64 = 1_000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    Module(u64),
    Deadline(Ticket),
    Overdue(Ticket),
    Attempt(AttemptId),
    Tidy,
    Overlook,
    Watch,
    StopHard,
}

struct Item {
    at: f64,
    number: u64,
    due: Due,
}

impl Ord for Item {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.total_cmp(&other.at).then(self.number.cmp(&other.number))
    }
}

impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Item {}

#[derive(Default)]
pub struct Timers {
    heap: BinaryHeap<Reverse<Item>>,
    armed: u64,
}

impl Timers {
    pub fn arm(&mut self, at: f64, due: Due) {
        self.armed += 1;
        self.heap.push(Reverse(Item { at, number: self.armed, due }));
    }

    fn next(&self) -> f64 {
        self.heap.peek().map_or(f64::INFINITY, |item| item.0.at)
    }

    /// How long to wait for the next one. may counts whole milliseconds and takes none for no limit at all: a wait
    /// of less would last until the next message, for ever if none comes.
    pub fn wait(&self, now: f64) -> Duration {
        span((self.next() - now).clamp(1.0, LONGEST_WAIT_MS))
    }

    /// The next one that is due by now; of equal times the one armed first.
    pub fn due(&mut self, now: f64) -> Option<Due> {
        if self.next() > now {
            return None;
        }
        self.heap.pop().map(|item| item.0.due)
    }
}

#[cfg(test)]
mod tests;
