//! Which configurations were accepted lately, so that a repeat is acknowledged again.
//!
//! The size is bounded, and with it what a checkpoint writes and a member that is brought up receives.

use speedy::{Readable, Writable};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_128;

/// Accepted configurations remembered, at 24 bytes each. All members must use the same number, since it decides what
/// a repeat answers.
pub(crate) const REMEMBERED_CONFIGURATIONS: usize = 4096;

/// Digests of the newest accepted configurations by their versions.
///
/// Versions in force only rise, so each version stands for one accepted configuration at the most, and all versions
/// up to the highest forgotten one are forgotten.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub(crate) struct Accepted {
    digests: BTreeMap<u64, u128>,
    forgotten_through: Option<u64>,
}

impl Accepted {
    /// Whether these very bytes are remembered as accepted.
    ///
    /// The bytes hold the version, but are looked for as a whole: a program that reads configurations differently
    /// after an update acknowledges them all the same.
    pub fn contains(&self, json: &[u8]) -> bool {
        let digest = xxh3_128(json);
        self.digests.values().any(|accepted| *accepted == digest)
    }

    /// Whether it is not known any more which configuration was accepted under `version`, if any was.
    pub fn is_forgotten(&self, version: u64) -> bool {
        self.forgotten_through.is_some_and(|through| version <= through)
    }

    /// Remembers an accepted configuration, whose version is higher than all before, and forgets the oldest one
    /// beyond the bound.
    pub fn add(&mut self, version: u64, json: &[u8]) {
        self.digests.insert(version, xxh3_128(json));
        if self.digests.len() > REMEMBERED_CONFIGURATIONS {
            let oldest = self.digests.pop_first();
            self.forgotten_through = oldest.map(|(version, _)| version).or(self.forgotten_through);
        }
    }
}
