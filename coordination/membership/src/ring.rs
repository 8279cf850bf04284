//! Ring of the live members, on which each member is regularly probed by its predecessor.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::identity::MemberName;

/// Position on the ring. It is determined by the hash of the name, because members with similar names may fail together and
/// should not be neighbours.
type RingPosition = (u64, MemberName);

/// The other live members in ring order. All members whose lists agree have the same order.
#[derive(Clone, Debug)]
pub(crate) struct Ring {
    own: RingPosition,
    others: BTreeSet<RingPosition>,
}

impl Ring {
    pub fn new(own: MemberName) -> Self {
        Self { own: position_of(own), others: BTreeSet::new() }
    }

    /// Adds a member. Returns false if it was present already.
    pub fn insert(&mut self, name: MemberName) -> bool {
        self.others.insert(position_of(name))
    }

    pub fn remove(&mut self, name: &MemberName) {
        self.others.remove(&position_of(name.clone()));
    }

    /// Returns the next member on the ring, which this process probes.
    pub fn successor(&self) -> Option<&MemberName> {
        let next = self.others.range(self.own.clone()..).next();
        next.or_else(|| self.others.first()).map(|(_, name)| name)
    }
}

fn position_of(name: MemberName) -> RingPosition {
    (xxh3_64(name.as_str().as_bytes()), name)
}
