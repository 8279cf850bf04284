//! Ends of leases that their store has not recorded yet: told again until it has.

use millrudder_protocol::store::{AttemptOutcome, FromDispatcher};
use millrudder_protocol::{LeaseToken, MessageId, ShardId, StoreId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// First pause before a report is told again, and the longest (ms): a store's record takes a few syncs, a take-over
/// of its shard some tenths of a second.
const INITIAL_REPEAT_INTERVAL_MS: u64 = 400;
const MAX_REPEAT_INTERVAL_MS: u64 = 3200;
/// Leases of which it is remembered that their end is recorded, so that a `Deliver` that comes twice runs once.
const MAX_RECORDED: usize = 4096;

/// One lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LeaseKey {
    pub id: MessageId,
    pub token: LeaseToken,
}

#[derive(Debug)]
struct Report {
    store: StoreId,
    message: FromDispatcher,
    due_ms: u64,
    interval_ms: u64,
}

/// A report that is to be sent now.
pub(crate) struct OutgoingReport {
    pub store: StoreId,
    pub message: FromDispatcher,
}

/// All reports that are not recorded.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    unrecorded: BTreeMap<LeaseKey, Report>,
    by_due: BTreeSet<(u64, LeaseKey)>,
    primaries: BTreeMap<ShardId, StoreId>,
    recorded: BTreeMap<MessageId, LeaseToken>,
    recorded_order: VecDeque<LeaseKey>,
}

impl Reports {
    /// Adds a report and returns where it goes first.
    pub fn add(
        &mut self,
        now: u64,
        granted_by: StoreId,
        key: LeaseKey,
        message: FromDispatcher,
    ) -> OutgoingReport {
        self.remove(key);
        let store = self.primaries.get(&key.id.shard).copied().unwrap_or(granted_by);
        let due_ms = now + INITIAL_REPEAT_INTERVAL_MS;
        self.by_due.insert((due_ms, key));
        self.unrecorded.insert(
            key,
            Report { store, message: message.clone(), due_ms, interval_ms: INITIAL_REPEAT_INTERVAL_MS },
        );
        OutgoingReport { store, message }
    }

    fn remove(&mut self, key: LeaseKey) -> Option<Report> {
        let report = self.unrecorded.remove(&key)?;
        self.by_due.remove(&(report.due_ms, key));
        Some(report)
    }

    /// The store has it.
    pub fn on_recorded(&mut self, key: LeaseKey) {
        if self.remove(key).is_none() {
            return;
        }
        // Records of several leases of a message come in any order.
        let latest = self.recorded.entry(key.id).or_default();
        *latest = key.token.max(*latest);
        self.recorded_order.push_back(key);
        if self.recorded_order.len() > MAX_RECORDED {
            let Some(oldest) = self.recorded_order.pop_front() else { return };
            if self.recorded.get(&oldest.id) == Some(&oldest.token) {
                self.recorded.remove(&oldest.id);
            }
        }
    }

    /// The end of this lease, or of a later one, is known already.
    pub fn has_ended(&self, key: LeaseKey) -> bool {
        let recorded = self.recorded.get(&key.id).is_some_and(|token| *token >= key.token);
        recorded || self.unrecorded.contains_key(&key)
    }

    /// An end of the message (success, or refused for good) that an earlier lease brought and no store has recorded.
    pub fn final_outcome(&self, id: MessageId) -> Option<AttemptOutcome> {
        self.for_message(id).find_map(|message| match message {
            FromDispatcher::Attempted { outcome, .. } => match outcome {
                AttemptOutcome::Succeeded { .. } | AttemptOutcome::Refused => Some(outcome.clone()),
                _ => None,
            },
            _ => None,
        })
    }

    /// The receiver took the call-back under an earlier lease, and no store has recorded that.
    pub fn is_call_back_done(&self, id: MessageId) -> bool {
        self.for_message(id).any(|message| matches!(message, FromDispatcher::CalledBack { done: true, .. }))
    }

    fn for_message(&self, id: MessageId) -> impl Iterator<Item = &FromDispatcher> + '_ {
        let from = LeaseKey { id, token: LeaseToken(0) };
        let to = LeaseKey { id, token: LeaseToken(u64::MAX) };
        self.unrecorded.range(from..=to).map(|(_, report)| &report.message)
    }

    /// Reports of a shard go to this store from now on; those that change their address go at once.
    pub fn set_primary(&mut self, now: u64, shard: ShardId, store: StoreId) -> Vec<OutgoingReport> {
        self.primaries.insert(shard, store);
        let moved = |key: &LeaseKey, report: &Report| key.id.shard == shard && report.store != store;
        self.repeat_now(now, Some(store), moved)
    }

    /// Reports to this store may have been lost.
    pub fn on_connected(&mut self, now: u64, store: StoreId) -> Vec<OutgoingReport> {
        self.repeat_now(now, None, |_, report| report.store == store)
    }

    fn repeat_now(
        &mut self,
        now: u64,
        to: Option<StoreId>,
        which: impl Fn(&LeaseKey, &Report) -> bool,
    ) -> Vec<OutgoingReport> {
        let mut all = Vec::new();
        for (key, report) in self.unrecorded.iter_mut().filter(|(key, report)| which(key, report)) {
            self.by_due.remove(&(report.due_ms, *key));
            report.store = to.unwrap_or(report.store);
            report.interval_ms = INITIAL_REPEAT_INTERVAL_MS;
            report.due_ms = now + report.interval_ms;
            self.by_due.insert((report.due_ms, *key));
            all.push(OutgoingReport { store: report.store, message: report.message.clone() });
        }
        all
    }

    /// Reports whose pause is over.
    pub fn repeat_due(&mut self, now: u64) -> Vec<OutgoingReport> {
        let mut all = Vec::new();
        while let Some((_, key)) = self.by_due.first().copied().filter(|(due, _)| *due <= now) {
            self.by_due.pop_first();
            let Some(report) = self.unrecorded.get_mut(&key) else { continue };
            report.interval_ms = (report.interval_ms * 2).min(MAX_REPEAT_INTERVAL_MS);
            report.due_ms = now + report.interval_ms;
            self.by_due.insert((report.due_ms, key));
            all.push(OutgoingReport { store: report.store, message: report.message.clone() });
        }
        all
    }

    pub fn next_deadline(&self) -> Option<u64> {
        self.by_due.first().map(|(due, _)| *due)
    }

    pub fn is_empty(&self) -> bool {
        self.unrecorded.is_empty()
    }

    pub fn keys(&self) -> impl Iterator<Item = LeaseKey> + '_ {
        self.unrecorded.keys().copied()
    }
}
