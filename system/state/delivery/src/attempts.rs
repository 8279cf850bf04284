//! Attempts that are out, and those given up whose answers may still come.

use crate::interface::AttemptId;
use crate::reports::LeaseKey;
use millrudder_protocol::StoreId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// After the time that the shell was told, an attempt is given up here by so long (ms) later.
const OVERDUE_MS: u64 = 1000;
/// Attempts given up that are remembered.
const GIVEN_UP_MOST: usize = 1024;

/// An attempt to deliver that is out.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub key: LeaseKey,
    pub service: Arc<str>,
    pub sent: u64,
    overdue: u64,
}

/// An attempt that was given up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GivenUp {
    pub store: StoreId,
    pub key: LeaseKey,
}

#[derive(Debug, Default)]
pub(crate) struct Attempts {
    last: u64,
    out: BTreeMap<AttemptId, Attempt>,
    by_overdue: BTreeSet<(u64, AttemptId)>,
    given_up: BTreeMap<AttemptId, GivenUp>,
    given_up_order: VecDeque<AttemptId>,
}

impl Attempts {
    pub fn next(&mut self) -> AttemptId {
        self.last += 1;
        AttemptId(self.last)
    }

    pub fn send(
        &mut self,
        now: u64,
        id: AttemptId,
        key: LeaseKey,
        service: Arc<str>,
        answer_timeout_ms: u32,
    ) {
        let overdue = now + u64::from(answer_timeout_ms) + OVERDUE_MS;
        self.by_overdue.insert((overdue, id));
        self.out.insert(id, Attempt { key, service, sent: now, overdue });
    }

    pub fn get(&self, id: AttemptId) -> Option<Attempt> {
        self.out.get(&id).cloned()
    }

    pub fn end(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.out.remove(&id)?;
        self.by_overdue.remove(&(attempt.overdue, id));
        Some(attempt)
    }

    /// The lease that the attempt serves is a later one now.
    pub fn renew(&mut self, id: AttemptId, key: LeaseKey) {
        if let Some(attempt) = self.out.get_mut(&id) {
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
        if self.given_up_order.len() > GIVEN_UP_MOST {
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
