//! Attempts that are out, and those given up whose answers may still come.

use crate::interface::AttemptId;
use crate::reports::LeaseKey;
use millrudder_protocol::StoreId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// After the time that the shell was told, an attempt is given up here by so long (ms) later.
const OVERDUE_AFTER_MS: u64 = 1000;
/// Attempts given up that are remembered.
const MAX_GIVEN_UP: usize = 1024;

/// An attempt to deliver that is out.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub key: LeaseKey,
    pub service: Arc<str>,
    pub sent_at_ms: u64,
    overdue_at_ms: u64,
}

/// An attempt that was given up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GivenUp {
    pub store: StoreId,
    pub key: LeaseKey,
}

#[derive(Debug, Default)]
pub(crate) struct Attempts {
    last_id: u64,
    in_flight: BTreeMap<AttemptId, Attempt>,
    by_overdue: BTreeSet<(u64, AttemptId)>,
    given_up: BTreeMap<AttemptId, GivenUp>,
    given_up_order: VecDeque<AttemptId>,
}

impl Attempts {
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
        answer_timeout_ms: u32,
    ) {
        let overdue_at_ms = now + u64::from(answer_timeout_ms) + OVERDUE_AFTER_MS;
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

    /// The lease that the attempt serves is a later one now.
    pub fn set_lease(&mut self, id: AttemptId, key: LeaseKey) {
        if let Some(attempt) = self.in_flight.get_mut(&id) {
            attempt.key = key;
        }
    }

    /// Attempts of which the shell should have told the end.
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

    pub fn next_deadline(&self) -> Option<u64> {
        self.by_overdue.first().map(|(due, _)| *due)
    }
}
