//! Attempts to deliver that are in flight, and those given up whose answers may still arrive.

use crate::interface::AttemptId;
use crate::reports::LeaseKey;
use millrudder_protocol::StoreId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// An attempt is given up here when the caller has not passed its result in for this time (ms) after the answer
/// time-out that it was given.
const OVERDUE_AFTER_MS: u64 = 1000;
/// Maximum number of given-up attempts that are remembered.
const MAX_GIVEN_UP: usize = 1024;

/// An attempt to deliver that is in flight.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub key: LeaseKey,
    pub service: Arc<str>,
    /// When it was sent.
    pub sent_at_ms: u64,
    /// When it is given up.
    overdue_at_ms: u64,
}

/// The lease of an attempt that was given up, and the store that granted it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GivenUp {
    pub store: StoreId,
    pub key: LeaseKey,
}

/// All attempts to deliver, and the source of all attempt ids. Times are milliseconds on the caller's steady clock.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    last_id: u64,
    in_flight: BTreeMap<AttemptId, Attempt>,
    by_overdue: BTreeSet<(u64, AttemptId)>,
    given_up: BTreeMap<AttemptId, GivenUp>,
    given_up_order: VecDeque<AttemptId>,
}

impl Attempts {
    /// Returns an id that has not been used before, also for call-backs.
    pub fn next_id(&mut self) -> AttemptId {
        self.last_id += 1;
        AttemptId(self.last_id)
    }

    pub fn send(
        &mut self,
        now: u64,
        id: AttemptId,
        key: LeaseKey,
        service: Arc<str>,
        answer_timeout_ms: u64,
    ) {
        let overdue_at_ms = now.saturating_add(answer_timeout_ms).saturating_add(OVERDUE_AFTER_MS);
        self.by_overdue.insert((overdue_at_ms, id));
        self.in_flight.insert(id, Attempt { key, service, sent_at_ms: now, overdue_at_ms });
    }

    pub fn get(&self, id: AttemptId) -> Option<Attempt> {
        self.in_flight.get(&id).cloned()
    }

    pub fn end(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.in_flight.remove(&id)?;
        self.by_overdue.remove(&(attempt.overdue_at_ms, id));
        Some(attempt)
    }

    /// Moves an attempt to a later lease on the same message.
    pub fn set_lease(&mut self, id: AttemptId, key: LeaseKey) {
        if let Some(attempt) = self.in_flight.get_mut(&id) {
            attempt.key = key;
        }
    }

    /// Attempts whose result the caller should have passed in by now.
    pub fn overdue(&self, now: u64) -> Vec<AttemptId> {
        let overdue = self.by_overdue.iter().take_while(|(due, _)| *due <= now);
        overdue.map(|(_, id)| *id).collect()
    }

    pub fn give_up(&mut self, id: AttemptId, given_up: GivenUp) {
        self.given_up.insert(id, given_up);
        self.given_up_order.push_back(id);
        if self.given_up_order.len() > MAX_GIVEN_UP {
            self.given_up_order.pop_front().map(|oldest| self.given_up.remove(&oldest));
        }
    }

    pub fn take_given_up(&mut self, id: AttemptId) -> Option<GivenUp> {
        self.given_up.remove(&id)
    }

    pub fn next_deadline_ms(&self) -> Option<u64> {
        self.by_overdue.first().map(|(due, _)| *due)
    }
}
