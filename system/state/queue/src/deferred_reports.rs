//! Dispatchers' reports that arrive while this store does not serve their shard: they are handled once it does.
//!
//! A takeover may take seconds while disks are slow, and a store may learn of its placement after a dispatcher does. A
//! report that is dropped meanwhile has to be repeated in time by its dispatcher, which may have stopped by then; the message
//! that it reports as done would run again.

use crate::api::ConnectionId;
use millrudder_protocol::store::AttemptOutcome;
use millrudder_protocol::{LeaseToken, MessageId, ShardId};
use std::collections::BTreeMap;

/// Maximum number of reports that are kept for one shard. Further ones are dropped, and their dispatchers repeat them.
const MAX_REPORTS_PER_SHARD: usize = 10_000;

/// What a dispatcher reports of a lease.
#[derive(Clone, Debug)]
pub(crate) enum ReportedOutcome {
    /// How a delivery attempt ended.
    Attempt(AttemptOutcome),
    /// How a call-back ended.
    CallBack { done: bool, retry_after_ms: u32 },
}

/// A dispatcher's report on one lease.
#[derive(Clone, Debug)]
pub(crate) struct DeferredReport {
    /// The connection on which it came. It may be closed by the time the report is handled.
    pub connection: ConnectionId,
    pub id: MessageId,
    pub token: LeaseToken,
    pub outcome: ReportedOutcome,
}

/// The deferred reports of all shards, one for each lease.
#[derive(Clone, Debug, Default)]
pub(crate) struct DeferredReports {
    by_shard: BTreeMap<ShardId, BTreeMap<(MessageId, LeaseToken), DeferredReport>>,
}

impl DeferredReports {
    /// Keeps a report. It replaces an earlier one of the same lease.
    pub fn add(&mut self, report: DeferredReport) {
        let reports = self.by_shard.entry(report.id.shard).or_default();
        let key = (report.id, report.token);
        if reports.len() < MAX_REPORTS_PER_SHARD || reports.contains_key(&key) {
            reports.insert(key, report);
        }
    }

    /// Removes and returns the reports of a shard.
    pub fn take(&mut self, shard: ShardId) -> Vec<DeferredReport> {
        self.by_shard.remove(&shard).unwrap_or_default().into_values().collect()
    }

    /// Drops the reports of a shard that another store serves, to which dispatchers repeat them.
    pub fn drop_shard(&mut self, shard: ShardId) {
        self.by_shard.remove(&shard);
    }
}
