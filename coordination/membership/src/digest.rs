//! Digests by which two members find out whether, and where, their lists differ.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::identity::MemberName;
use crate::member::Member;

/// Buckets that a list is divided into; few enough for their digests to fit into one datagram.
pub(crate) const BUCKETS: usize = 32;

/// One digest a bucket over the live members: equal for equal lists, whatever their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ListDigest {
    buckets: [u64; BUCKETS],
}

impl ListDigest {
    pub const fn new() -> Self {
        Self { buckets: [0; BUCKETS] }
    }

    /// Adds a live member, or removes it again.
    pub fn toggle(&mut self, member: &Member) {
        if member.is_live() {
            self.buckets[bucket_of(member.name())] ^= hash_of(member);
        }
    }

    /// Digest of the entire list.
    pub fn total(&self) -> u64 {
        self.buckets.iter().fold(0, |total, bucket| total.rotate_left(1) ^ bucket)
    }

    pub fn to_vec(&self) -> Vec<u64> {
        self.buckets.to_vec()
    }

    /// Buckets in which another list differs.
    pub fn differing(&self, others: &[u64]) -> BTreeSet<usize> {
        let pairs = self.buckets.iter().zip(others).enumerate();
        pairs.filter(|(_, (mine, theirs))| mine != theirs).map(|(index, _)| index).collect()
    }
}

/// Bucket that a member's record belongs to.
pub(crate) fn bucket_of(name: &MemberName) -> usize {
    let hash = xxh3_64(name.as_str().as_bytes());
    usize::try_from(hash % BUCKETS as u64).unwrap_or(0)
}

/// Suspicion is left out: it ends soon, by a larger incarnation or by death.
fn hash_of(member: &Member) -> u64 {
    let by_start = xxh3_64_with_seed(member.name().as_str().as_bytes(), member.id.start.0);
    xxh3_64_with_seed(&by_start.to_le_bytes(), member.incarnation.0)
}
