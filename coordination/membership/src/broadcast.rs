//! Queue of updates to disseminate. Each update is transmitted a bounded number of times.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::identity::MemberName;

/// Maximum number of pending updates. Dropped updates still reach the other members through the exchange of lists.
const MAX_PENDING: usize = 128;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    /// Number of transmissions so far; updates with fewer transmissions are sent first.
    transmissions: u32,
    /// Among updates with equally many transmissions, the latest is sent first.
    insertion_number: Reverse<u64>,
}

/// Names of the members whose records are pending, ordered by priority.
#[derive(Clone, Debug, Default)]
pub(crate) struct BroadcastQueue {
    ranked: BTreeSet<(Priority, MemberName)>,
    priorities: BTreeMap<MemberName, Priority>,
    next_insertion_number: u64,
}

impl BroadcastQueue {
    /// Adds the member's current record. Transmissions of its earlier records do not count.
    pub fn push(&mut self, name: MemberName) {
        self.remove(&name);
        let priority = Priority { transmissions: 0, insertion_number: Reverse(self.next_insertion_number) };
        self.next_insertion_number += 1;
        self.insert(priority, name);
        if self.ranked.len() > MAX_PENDING {
            self.drop_lowest_priority();
        }
    }

    pub fn remove(&mut self, name: &MemberName) {
        if let Some(priority) = self.priorities.remove(name) {
            self.ranked.remove(&(priority, name.clone()));
        }
    }

    pub fn retain(&mut self, is_pending: impl Fn(&MemberName) -> bool) {
        self.ranked.retain(|(_, name)| is_pending(name));
        self.priorities.retain(|name, _| is_pending(name));
    }

    pub fn contains(&self, name: &MemberName) -> bool {
        self.priorities.contains_key(name)
    }

    pub fn is_empty(&self) -> bool {
        self.ranked.is_empty()
    }

    /// Iterates over the names in the order in which their records should be sent.
    pub fn iter(&self) -> impl Iterator<Item = &MemberName> {
        self.ranked.iter().map(|(_, name)| name)
    }

    /// Counts one transmission, and removes the update once it has been sent `limit` times.
    pub fn record_transmission(&mut self, name: &MemberName, limit: u32) {
        let Some(mut priority) = self.priorities.get(name).copied() else { return };
        self.remove(name);
        priority.transmissions += 1;
        if priority.transmissions < limit {
            self.insert(priority, name.clone());
        }
    }

    fn insert(&mut self, priority: Priority, name: MemberName) {
        self.ranked.insert((priority, name.clone()));
        self.priorities.insert(name, priority);
    }

    fn drop_lowest_priority(&mut self) {
        if let Some((_, name)) = self.ranked.pop_last() {
            self.priorities.remove(&name);
        }
    }
}
