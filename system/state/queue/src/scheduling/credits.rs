//! How many more deliveries of one service each dispatcher can take.

use millrudder_protocol::DispatcherId;
use millrudder_topology::Distance;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// One dispatcher's deliveries of one service.
#[derive(Clone, Copy, Debug)]
struct Credit {
    limit: u32,
    in_flight: u32,
    /// From the store.
    distance: Distance,
    /// It may be granted something.
    open: bool,
}

impl Credit {
    fn free(&self) -> u32 {
        if self.open {
            self.limit.saturating_sub(self.in_flight)
        } else {
            0
        }
    }
}

/// Order in which dispatchers are chosen: the last one is the best.
type Preference = (Reverse<Distance>, u32, DispatcherId);

/// Credits of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Credits {
    dispatchers: BTreeMap<DispatcherId, Credit>,
    free: BTreeSet<Preference>,
}

impl Credits {
    fn change(&mut self, dispatcher: DispatcherId, change: impl FnOnce(&mut Credit)) {
        let unknown = Credit { limit: 0, in_flight: 0, distance: Distance::default(), open: false };
        let credit = self.dispatchers.entry(dispatcher).or_insert(unknown);
        let before = *credit;
        change(credit);
        let after = *credit;
        if before.free() > 0 {
            self.free.remove(&(Reverse(before.distance), before.free(), dispatcher));
        }
        if after.free() > 0 {
            self.free.insert((Reverse(after.distance), after.free(), dispatcher));
        }
        if !after.open && after.in_flight == 0 {
            self.dispatchers.remove(&dispatcher);
        }
    }

    /// The dispatcher may be granted up to `limit` at a time.
    pub fn open(&mut self, dispatcher: DispatcherId, limit: u32, distance: Distance) {
        self.change(dispatcher, |credit| {
            credit.limit = limit;
            credit.distance = distance;
            credit.open = true;
        });
    }

    pub fn set_limit(&mut self, dispatcher: DispatcherId, limit: u32) {
        if self.dispatchers.contains_key(&dispatcher) {
            self.change(dispatcher, |credit| credit.limit = limit);
        }
    }

    /// Nothing more may be granted to it; what is in flight stays counted.
    pub fn close(&mut self, dispatcher: DispatcherId) {
        if self.dispatchers.contains_key(&dispatcher) {
            self.change(dispatcher, |credit| credit.open = false);
        }
    }

    /// The dispatcher takes deliveries, whether or not it has free credit just now.
    pub fn is_open(&self, dispatcher: DispatcherId) -> bool {
        self.dispatchers.get(&dispatcher).is_some_and(|credit| credit.open && credit.limit > 0)
    }

    pub fn reserve(&mut self, dispatcher: DispatcherId) {
        self.change(dispatcher, |credit| credit.in_flight += 1);
    }

    pub fn release(&mut self, dispatcher: DispatcherId) {
        if self.dispatchers.contains_key(&dispatcher) {
            self.change(dispatcher, |credit| credit.in_flight = credit.in_flight.saturating_sub(1));
        }
    }

    pub fn free(&self, dispatcher: DispatcherId) -> u32 {
        self.dispatchers.get(&dispatcher).map_or(0, Credit::free)
    }

    pub fn has_free(&self, dispatcher: DispatcherId) -> bool {
        self.free(dispatcher) > 0
    }

    /// Of the nearest dispatchers that have free credit the one with the most; `other` only if there is no other one.
    pub fn best_except(&self, other: Option<DispatcherId>) -> Option<DispatcherId> {
        let mut best = self.free.iter().rev().map(|(_, _, dispatcher)| *dispatcher);
        best.find(|dispatcher| Some(*dispatcher) != other).or(other.filter(|other| self.has_free(*other)))
    }
}
