//! A set of keys with deadlines, ordered by time.

use std::collections::{BTreeMap, BTreeSet};

use millrudder_clock::Instant;

/// At most one deadline for each key.
#[derive(Clone, Debug)]
pub(crate) struct Deadlines<K> {
    ordered: BTreeSet<(Instant, K)>,
    by_key: BTreeMap<K, Instant>,
}

impl<K: Ord + Clone> Deadlines<K> {
    pub const fn new() -> Self {
        Self { ordered: BTreeSet::new(), by_key: BTreeMap::new() }
    }

    /// Sets the deadline of a key, replacing any previous one.
    pub fn set(&mut self, key: K, deadline: Instant) {
        self.clear(&key);
        self.ordered.insert((deadline, key.clone()));
        self.by_key.insert(key, deadline);
    }

    pub fn clear(&mut self, key: &K) {
        if let Some(deadline) = self.by_key.remove(key) {
            self.ordered.remove(&(deadline, key.clone()));
        }
    }

    pub fn next(&self) -> Option<Instant> {
        self.ordered.first().map(|(deadline, _)| *deadline)
    }

    /// Removes and returns the key with the earliest deadline if that has passed.
    pub fn pop_due(&mut self, now: Instant) -> Option<K> {
        if self.next()? > now {
            return None;
        }
        let (_, key) = self.ordered.pop_first()?;
        self.by_key.remove(&key);
        Some(key)
    }
}
