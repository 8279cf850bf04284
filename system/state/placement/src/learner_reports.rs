//! Reports by learners that they have caught up with a shard.

use millrudder_clock::Instant;
use millrudder_protocol::control::CaughtUpShard;
use millrudder_protocol::placement::{MemberChange, Placement};
use millrudder_protocol::{Epoch, ShardId, StoreId};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LearnerKey {
    shard: ShardId,
    learner: StoreId,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Report {
    /// Epoch of the membership change for which the learner has caught up.
    change: Epoch,
    received_at: Instant,
}

/// The newest report of each learner for each shard.
#[derive(Clone, Debug, Default)]
pub struct LearnerReports {
    reports: BTreeMap<LearnerKey, Report>,
}

impl LearnerReports {
    /// Adds the reports of one learner. Repeated reports for the same change keep the time of the first one.
    pub fn add(&mut self, now: Instant, learner: StoreId, shards: &[CaughtUpShard]) {
        for filled in shards {
            let new = Report { change: filled.change, received_at: now };
            let report = self.reports.entry(LearnerKey { shard: filled.shard, learner }).or_insert(new);
            if report.change < filled.change {
                *report = new;
            }
        }
    }

    /// When the learner of `change` first reported that it has caught up. Reports for other changes do not count.
    pub fn caught_up_at(&self, shard: ShardId, change: &MemberChange) -> Option<Instant> {
        let report = self.reports.get(&LearnerKey { shard, learner: change.joins })?;
        (report.change == change.epoch).then_some(report.received_at)
    }

    /// Removes reports for changes that have been completed or abandoned as of `placement`.
    pub fn retain_pending(&mut self, placement: &Placement) {
        self.reports.retain(|key, report| {
            let change = placement.shard(key.shard).and_then(|entry| entry.change);
            let is_in_progress =
                change.is_some_and(|change| change.joins == key.learner && change.epoch == report.change);
            is_in_progress || report.change > placement.epoch
        });
    }
}
