//! Deadlines, ordered by time.

use millrudder_clock::Instant;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline<K> {
    at: Instant,
    key: K,
}

/// At most one deadline for each key, such as a call.
#[derive(Clone, Debug)]
pub struct Deadlines<K> {
    by_key: BTreeMap<K, Instant>,
    by_time: BTreeSet<Deadline<K>>,
}

impl<K> Default for Deadlines<K> {
    fn default() -> Self {
        Deadlines { by_key: BTreeMap::new(), by_time: BTreeSet::new() }
    }
}

impl<K: Copy + Ord> Deadlines<K> {
    /// Sets the deadline of a key, replacing the previous one.
    pub fn set(&mut self, key: K, at: Instant) {
        self.remove(key);
        self.by_key.insert(key, at);
        self.by_time.insert(Deadline { at, key });
    }

    /// Removes the deadline of a key that is no longer needed.
    pub fn remove(&mut self, key: K) {
        if let Some(at) = self.by_key.remove(&key) {
            self.by_time.remove(&Deadline { at, key });
        }
    }

    /// The earliest deadline.
    pub fn next(&self) -> Option<Instant> {
        self.by_time.first().map(|deadline| deadline.at)
    }

    /// The key with the earliest deadline, if that has passed.
    pub fn first_due(&self, now: Instant) -> Option<K> {
        self.due(now).next()
    }

    /// Keys whose deadline has passed, ordered by deadline.
    pub fn due(&self, now: Instant) -> impl Iterator<Item = K> + '_ {
        self.by_time.iter().take_while(move |deadline| deadline.at <= now).map(|deadline| deadline.key)
    }
}
