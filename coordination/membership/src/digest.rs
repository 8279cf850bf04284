//! Digests of member lists, by which two members detect whether their lists differ, and in which buckets.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::identity::MemberName;
use crate::member::Member;

/// Number of buckets that a list is divided into. It is small enough for all bucket digests to fit into one datagram.
pub(crate) const BUCKETS: usize = 32;

/// One digest for each bucket of live members. Equal lists have equal digests, whatever the order of insertion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ListDigest {
    buckets: [u64; BUCKETS],
}

impl ListDigest {
    pub const fn new() -> Self {
        Self { buckets: [0; BUCKETS] }
    }

    /// Adds a live member to its bucket's digest, or removes it if it was added before. Other members are ignored.
    pub fn toggle(&mut self, member: &Member) {
        if member.is_live() {
            self.buckets[bucket_of(member.name())] ^= hash_of(member);
        }
    }

    /// Returns the digest of the entire list.
    pub fn total(&self) -> u64 {
        self.buckets.iter().fold(0, |total, bucket| total.rotate_left(1) ^ bucket)
    }

    pub fn to_vec(&self) -> Vec<u64> {
        self.buckets.to_vec()
    }

    /// Returns the buckets whose digests differ from those of another list.
    pub fn differing(&self, others: &[u64]) -> BTreeSet<usize> {
        let pairs = self.buckets.iter().zip(others).enumerate();
        pairs.filter(|(_, (mine, theirs))| mine != theirs).map(|(index, _)| index).collect()
    }
}

/// Returns the bucket of a member.
pub(crate) fn bucket_of(name: &MemberName) -> usize {
    let hash = xxh3_64(name.as_str().as_bytes());
    usize::try_from(hash % BUCKETS as u64).unwrap_or(0)
}

/// Hashes the record of a live member. Suspicion is not part of the hash, because it soon ends with a larger incarnation or
/// with the member's death.
fn hash_of(member: &Member) -> u64 {
    let by_start = xxh3_64_with_seed(member.name().as_str().as_bytes(), member.id.start.0);
    xxh3_64_with_seed(&by_start.to_le_bytes(), member.incarnation.0)
}
