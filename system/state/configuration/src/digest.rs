//! Identity of a configuration by its bytes.

use derive_more::Display;
use speedy::{Readable, Writable};
use xxhash_rust::xxh3::xxh3_128;

/// XXH3 hash (128 bits) of a configuration's body as it arrived: equal for the same bytes sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Readable, Writable)]
#[display("{_0:032x}")]
pub struct ConfigurationDigest(pub u128);

impl ConfigurationDigest {
    /// The digest of a body.
    pub fn of(body: &[u8]) -> Self {
        Self(xxh3_128(body))
    }
}
