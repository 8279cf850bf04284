//! Configurations that were accepted recently, so that a request that is sent again is acknowledged again.
//!
//! Their number is bounded, and with it the size of a checkpoint and of the snapshot that a new member receives.

use speedy::{Readable, Writable};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_128;

/// Accepted configurations that are retained, at 24 bytes each. All members must use the same number, since replies
/// depend on it.
pub(crate) const RETAINED_CONFIGURATIONS: usize = 4096;

/// Digests of the newest accepted configurations by their versions.
///
/// Versions in force only rise, so each version stands for one accepted configuration at most, and all versions up to the
/// highest evicted one are evicted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub(crate) struct AcceptedConfigurations {
    digests: BTreeMap<u64, u128>,
    evicted_through: Option<u64>,
}

impl AcceptedConfigurations {
    /// Whether these bytes are retained as accepted.
    ///
    /// The bytes contain the version, but are looked up as a whole: a program that parses configurations differently
    /// after an update acknowledges them all the same.
    pub fn contains(&self, json: &[u8]) -> bool {
        let digest = xxh3_128(json);
        self.digests.values().any(|accepted| *accepted == digest)
    }

    /// Whether it is not known any more which configuration was accepted under `version`, if any was.
    pub fn is_evicted(&self, version: u64) -> bool {
        self.evicted_through.is_some_and(|through| version <= through)
    }

    /// Adds an accepted configuration, whose version is higher than all before, and evicts the oldest one beyond the
    /// bound.
    pub fn add(&mut self, version: u64, json: &[u8]) {
        self.digests.insert(version, xxh3_128(json));
        if self.digests.len() > RETAINED_CONFIGURATIONS {
            let oldest = self.digests.pop_first();
            self.evicted_through = oldest.map(|(version, _)| version).or(self.evicted_through);
        }
    }
}
