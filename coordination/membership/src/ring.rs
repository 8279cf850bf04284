//! A ring of the live members, on which each is watched by its predecessor.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use crate::identity::MemberName;

/// Position on the ring: by hash, since members with similar names may fail together and should not be neighbours.
type RingPosition = (u64, MemberName);

/// The other live members in the order of the ring, which is the same in all members whose lists agree.
#[derive(Clone, Debug)]
pub(crate) struct Ring {
    own: RingPosition,
    others: BTreeSet<RingPosition>,
}

impl Ring {
    pub fn new(own: MemberName) -> Self {
        Self { own: position_of(own), others: BTreeSet::new() }
    }

    /// Adds a member; tells whether it is new.
    pub fn insert(&mut self, name: MemberName) -> bool {
        self.others.insert(position_of(name))
    }

    pub fn remove(&mut self, name: &MemberName) {
        self.others.remove(&position_of(name.clone()));
    }

    /// The member that this one watches: the next on the ring.
    pub fn successor(&self) -> Option<&MemberName> {
        let next = self.others.range(self.own.clone()..).next();
        next.or_else(|| self.others.first()).map(|(_, name)| name)
    }
}

fn position_of(name: MemberName) -> RingPosition {
    (xxh3_64(name.as_str().as_bytes()), name)
}
