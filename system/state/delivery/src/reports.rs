//! Ends of leases that their store has not recorded yet: told again until it has.

use millrudder_protocol::store::{AttemptOutcome, FromDispatcher};
use millrudder_protocol::{LeaseToken, MessageId, ShardId, StoreId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// First pause before a report is told again, and the longest (ms): a store's record takes a few syncs, a take-over
/// of its shard some tenths of a second.
const REPEAT_FIRST_MS: u64 = 400;
const REPEAT_MOST_MS: u64 = 3200;
/// Leases of which it is remembered that their end is recorded, so that a `Deliver` that comes twice runs once.
const KEPT_RECORDED: usize = 4096;

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
    due: u64,
    pause: u64,
}

/// A report that is to be sent now.
pub(crate) struct Due {
    pub store: StoreId,
    pub message: FromDispatcher,
}

/// All reports that are not recorded.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    open: BTreeMap<LeaseKey, Report>,
    by_due: BTreeSet<(u64, LeaseKey)>,
    primaries: BTreeMap<ShardId, StoreId>,
    recorded: BTreeMap<MessageId, LeaseToken>,
    recorded_order: VecDeque<LeaseKey>,
}

impl Reports {
    /// Adds a report and returns where it goes first.
    pub fn add(&mut self, now: u64, granted_by: StoreId, key: LeaseKey, message: FromDispatcher) -> Due {
        self.remove(key);
        let store = self.primaries.get(&key.id.shard).copied().unwrap_or(granted_by);
        let due = now + REPEAT_FIRST_MS;
        self.by_due.insert((due, key));
        self.open.insert(key, Report { store, message: message.clone(), due, pause: REPEAT_FIRST_MS });
        Due { store, message }
    }

    fn remove(&mut self, key: LeaseKey) -> Option<Report> {
        let report = self.open.remove(&key)?;
        self.by_due.remove(&(report.due, key));
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
        if self.recorded_order.len() > KEPT_RECORDED {
            let Some(oldest) = self.recorded_order.pop_front() else { return };
            if self.recorded.get(&oldest.id) == Some(&oldest.token) {
                self.recorded.remove(&oldest.id);
            }
        }
    }

    /// The end of this lease, or of a later one, is known already.
    pub fn has_ended(&self, key: LeaseKey) -> bool {
        let recorded = self.recorded.get(&key.id).is_some_and(|token| *token >= key.token);
        recorded || self.open.contains_key(&key)
    }

    /// An end of the message (success, or refused for good) that an earlier lease brought and no store has recorded.
    pub fn final_outcome(&self, id: MessageId) -> Option<AttemptOutcome> {
        self.of(id).find_map(|message| match message {
            FromDispatcher::Attempted { outcome, .. } => match outcome {
                AttemptOutcome::Succeeded { .. } | AttemptOutcome::Refused => Some(outcome.clone()),
                _ => None,
            },
            _ => None,
        })
    }

    /// The receiver took the call-back under an earlier lease, and no store has recorded that.
    pub fn is_called_back(&self, id: MessageId) -> bool {
        self.of(id).any(|message| matches!(message, FromDispatcher::CalledBack { done: true, .. }))
    }

    fn of(&self, id: MessageId) -> impl Iterator<Item = &FromDispatcher> + '_ {
        let from = LeaseKey { id, token: LeaseToken(0) };
        let to = LeaseKey { id, token: LeaseToken(u64::MAX) };
        self.open.range(from..=to).map(|(_, report)| &report.message)
    }

    /// Reports of a shard go to this store from now on; those that change their address go at once.
    pub fn set_primary(&mut self, now: u64, shard: ShardId, store: StoreId) -> Vec<Due> {
        self.primaries.insert(shard, store);
        let moved = |key: &LeaseKey, report: &Report| key.id.shard == shard && report.store != store;
        self.repeat(now, Some(store), moved)
    }

    /// Reports to this store may have been lost.
    pub fn on_connected(&mut self, now: u64, store: StoreId) -> Vec<Due> {
        self.repeat(now, None, |_, report| report.store == store)
    }

    fn repeat(
        &mut self,
        now: u64,
        to: Option<StoreId>,
        which: impl Fn(&LeaseKey, &Report) -> bool,
    ) -> Vec<Due> {
        let mut all = Vec::new();
        for (key, report) in self.open.iter_mut().filter(|(key, report)| which(key, report)) {
            self.by_due.remove(&(report.due, *key));
            report.store = to.unwrap_or(report.store);
            report.pause = REPEAT_FIRST_MS;
            report.due = now + report.pause;
            self.by_due.insert((report.due, *key));
            all.push(Due { store: report.store, message: report.message.clone() });
        }
        all
    }

    /// Reports whose pause is over.
    pub fn due(&mut self, now: u64) -> Vec<Due> {
        let mut all = Vec::new();
        while let Some((_, key)) = self.by_due.first().copied().filter(|(due, _)| *due <= now) {
            self.by_due.pop_first();
            let Some(report) = self.open.get_mut(&key) else { continue };
            report.pause = (report.pause * 2).min(REPEAT_MOST_MS);
            report.due = now + report.pause;
            self.by_due.insert((report.due, key));
            all.push(Due { store: report.store, message: report.message.clone() });
        }
        all
    }

    pub fn next_deadline(&self) -> Option<u64> {
        self.by_due.first().map(|(due, _)| *due)
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    pub fn keys(&self) -> impl Iterator<Item = LeaseKey> + '_ {
        self.open.keys().copied()
    }
}
