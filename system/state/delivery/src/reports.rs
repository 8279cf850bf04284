//! Reports of ended leases, repeated until their store confirms that it has recorded them.

use millrudder_protocol::store::{AttemptOutcome, FromDispatcher};
use millrudder_protocol::{LeaseToken, MessageId, ShardId, StoreId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time (ms) until a report is repeated for the first time; it doubles with each repetition up to
/// [`MAX_REPEAT_INTERVAL_MS`]. Recording takes a store a few disk syncs, and a take-over of its shard some tenths of a
/// second.
const INITIAL_REPEAT_INTERVAL_MS: u64 = 400;
/// Longest time (ms) between two repetitions of a report.
const MAX_REPEAT_INTERVAL_MS: u64 = 3200;
/// Maximum number of leases that are remembered as recorded, so that a message runs once even if its `Deliver` arrives
/// twice.
const MAX_RECORDED: usize = 4096;

/// Identifies one lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LeaseKey {
    pub id: MessageId,
    pub token: LeaseToken,
}

/// A report that its store has not recorded.
#[derive(Debug)]
struct Report {
    store: StoreId,
    message: FromDispatcher,
    /// When it is repeated next.
    due_ms: u64,
    interval_ms: u64,
}

/// A report that is to be sent now.
pub(crate) struct OutgoingReport {
    pub store: StoreId,
    pub message: FromDispatcher,
}

/// All unrecorded reports, and the leases that were recorded lately. Times are milliseconds on the caller's steady
/// clock.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    unrecorded: BTreeMap<LeaseKey, Report>,
    by_due: BTreeSet<(u64, LeaseKey)>,
    /// The store that reports of a shard go to; the granting store where none is known.
    primaries: BTreeMap<ShardId, StoreId>,
    /// Latest recorded lease of a message.
    recorded: BTreeMap<MessageId, LeaseToken>,
    recorded_order: VecDeque<LeaseKey>,
}

impl Reports {
    /// Adds the report of an ended lease and returns it with the store that it is sent to first.
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

    /// A store has recorded the end of this lease.
    pub fn on_recorded(&mut self, key: LeaseKey) {
        if self.remove(key).is_none() {
            return;
        }
        // Confirmations for several leases of a message may arrive in any order.
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

    /// Whether the end of this lease is reported already, or that of this or a later one is recorded.
    pub fn has_ended(&self, key: LeaseKey) -> bool {
        let recorded = self.recorded.get(&key.id).is_some_and(|token| *token >= key.token);
        recorded || self.unrecorded.contains_key(&key)
    }

    /// A final outcome of the message (success or permanent refusal) under an earlier lease that no store has recorded.
    pub fn final_outcome(&self, id: MessageId) -> Option<AttemptOutcome> {
        self.for_message(id).find_map(|message| match message {
            FromDispatcher::Attempted { outcome, .. } => match outcome {
                AttemptOutcome::Succeeded { .. } | AttemptOutcome::Refused => Some(outcome.clone()),
                _ => None,
            },
            _ => None,
        })
    }

    /// Whether the receiver has accepted the call-back under an earlier lease, which no store has recorded.
    pub fn is_call_back_done(&self, id: MessageId) -> bool {
        self.for_message(id).any(|message| matches!(message, FromDispatcher::CalledBack { done: true, .. }))
    }

    fn for_message(&self, id: MessageId) -> impl Iterator<Item = &FromDispatcher> + '_ {
        let from = LeaseKey { id, token: LeaseToken(0) };
        let to = LeaseKey { id, token: LeaseToken(u64::MAX) };
        self.unrecorded.range(from..=to).map(|(_, report)| &report.message)
    }

    /// Sends the reports of a shard to this store from now on. Returns those that went to another one, to be sent at
    /// once.
    pub fn set_primary(&mut self, now: u64, shard: ShardId, store: StoreId) -> Vec<OutgoingReport> {
        self.primaries.insert(shard, store);
        let moved = |key: &LeaseKey, report: &Report| key.id.shard == shard && report.store != store;
        self.repeat_now(now, Some(store), moved)
    }

    /// A new connection to this store is ready. Reports on the previous one may have been lost: returns all of them.
    pub fn on_connected(&mut self, now: u64, store: StoreId) -> Vec<OutgoingReport> {
        self.repeat_now(now, None, |_, report| report.store == store)
    }

    /// Restarts the repetition of the selected reports, at the store `to` if given, and returns them.
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

    /// Returns the reports that are due to be repeated, and doubles their interval.
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

    pub fn next_deadline_ms(&self) -> Option<u64> {
        self.by_due.first().map(|(due, _)| *due)
    }

    pub fn is_empty(&self) -> bool {
        self.unrecorded.is_empty()
    }

    pub fn keys(&self) -> impl Iterator<Item = LeaseKey> + '_ {
        self.unrecorded.keys().copied()
    }
}
