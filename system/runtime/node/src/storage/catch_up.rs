//! Reports to the core of shards that this store has caught up with as a learner.

use millrudder_clock::Instant;
use millrudder_protocol::control::CaughtUpShard;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::StoreId;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time between two reports: few are needed, and a replica more or less is a matter of seconds.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The shards that this store has caught up with as a learner. They are reported until the placement has the store as their
/// replica: a core machine that takes the controller's lease has not received earlier reports.
#[derive(Default)]
pub struct CatchUpReports {
    shards: BTreeSet<CaughtUpShard>,
    due_at: Instant,
}

impl CatchUpReports {
    /// A shard's primary says that this store lacks nothing of it; that is to be reported at once.
    pub fn add(&mut self, shard: CaughtUpShard) {
        self.shards.insert(shard);
        self.due_at = Instant::ORIGIN;
    }

    /// Forgets all shards but those that `store` still learns by this placement or by a later one.
    pub fn follow(&mut self, placement: &Placement, store: StoreId) {
        self.shards.retain(|caught_up| {
            let change = placement.shard(caught_up.shard).and_then(|entry| entry.change);
            let learns =
                change.is_some_and(|change| change.joins == store && change.epoch == caught_up.change);
            learns || caught_up.change > placement.epoch
        });
    }

    /// The shards to be reported now; `None` where no report is due.
    pub fn poll(&mut self, now: Instant) -> Option<Vec<CaughtUpShard>> {
        if self.shards.is_empty() || now < self.due_at {
            return None;
        }
        self.due_at = now + REPORT_INTERVAL;
        Some(self.shards.iter().copied().collect())
    }
}
