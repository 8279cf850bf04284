//! Shards that this store was filled with, told until the placement has it as their replica: a core machine that begins
//! to lead has not heard what was told before.

use millrudder_protocol::control::CaughtUpShard;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::StoreId;
use std::collections::BTreeSet;

/// Between two tellings (ms): few are needed, and a replica more or less is a matter of seconds.
const TELL_EVERY_MS: u64 = 500;

/// The shards, and when they are told again.
#[derive(Default)]
pub struct Filled {
    shards: BTreeSet<CaughtUpShard>,
    tell_at: u64,
}

impl Filled {
    /// A shard's primary says that this store lacks nothing of it: it is told at once.
    pub fn add(&mut self, filled: CaughtUpShard) {
        self.shards.insert(filled);
        self.tell_at = 0;
    }

    /// Only shards that `store` still learns by the placement in force, or by a later one, are told on.
    pub fn follow(&mut self, placement: &Placement, store: StoreId) {
        self.shards.retain(|filled| {
            let change = placement.shard(filled.shard).and_then(|entry| entry.change);
            let learns = change.is_some_and(|change| change.joins == store && change.epoch == filled.change);
            learns || filled.change > placement.epoch
        });
    }

    /// What is to be told now.
    pub fn due(&mut self, now: u64) -> Option<Vec<CaughtUpShard>> {
        if self.shards.is_empty() || now < self.tell_at {
            return None;
        }
        self.tell_at = now + TELL_EVERY_MS;
        Some(self.shards.iter().copied().collect())
    }
}
