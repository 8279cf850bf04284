//! Order in which the other live members are probed, and random samples of them.

use std::collections::BTreeSet;

use fastrand::Rng;

use crate::identity::MemberName;
use crate::ring::Ring;

/// Alternates between two ways of choosing the next target. Every second probe goes to the successor on the [`Ring`], which
/// bounds the time until a failure is detected. The other probes go round robin (SWIM, section 4.3), in an order that is
/// shuffled after each pass.
#[derive(Clone, Debug)]
pub(crate) struct ProbeOrder {
    names: Vec<MemberName>,
    cursor: usize,
    ring: Ring,
    is_ring_next: bool,
}

impl ProbeOrder {
    pub fn new(own: MemberName) -> Self {
        Self { names: Vec::new(), cursor: 0, ring: Ring::new(own), is_ring_next: false }
    }

    pub fn insert(&mut self, name: MemberName, random: &mut Rng) {
        if !self.ring.insert(name.clone()) {
            return;
        }
        let position = random.usize(0..=self.names.len());
        self.names.insert(position, name);
        if position < self.cursor {
            self.cursor += 1;
        }
    }

    pub fn remove(&mut self, name: &MemberName) {
        self.ring.remove(name);
        let Some(position) = self.names.iter().position(|other| other == name) else { return };
        self.names.remove(position);
        if position < self.cursor {
            self.cursor -= 1;
        }
    }

    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Returns the member to probe next.
    pub fn advance(&mut self, random: &mut Rng) -> Option<MemberName> {
        self.is_ring_next = !self.is_ring_next;
        if self.is_ring_next {
            return self.ring.successor().cloned();
        }
        self.advance_round_robin(random)
    }

    fn advance_round_robin(&mut self, random: &mut Rng) -> Option<MemberName> {
        if self.cursor >= self.names.len() {
            random.shuffle(&mut self.names);
            self.cursor = 0;
        }
        let name = self.names.get(self.cursor)?.clone();
        self.cursor += 1;
        Some(name)
    }

    /// Returns up to `count` different random members other than the excluded one.
    pub fn sample(&self, count: usize, excluded: Option<&MemberName>, random: &mut Rng) -> Vec<MemberName> {
        let spare = usize::from(excluded.is_some());
        let indexes = self.sample_indexes(count + spare, random);
        let mut names: Vec<MemberName> = indexes.into_iter().map(|index| self.names[index].clone()).collect();
        random.shuffle(&mut names);
        names.retain(|name| Some(name) != excluded);
        names.truncate(count);
        names
    }

    /// Draws `count` different indexes with Floyd's algorithm: each subset of that size is equally likely.
    fn sample_indexes(&self, count: usize, random: &mut Rng) -> BTreeSet<usize> {
        let length = self.names.len();
        let mut chosen = BTreeSet::new();
        for last in length.saturating_sub(count)..length {
            let candidate = random.usize(0..=last);
            let index = if chosen.contains(&candidate) { last } else { candidate };
            chosen.insert(index);
        }
        chosen
    }
}
