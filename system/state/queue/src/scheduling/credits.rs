//! Flow control: how many more deliveries of one service each dispatcher can take.

use millrudder_protocol::DispatcherId;
use millrudder_topology::Distance;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The credit of one dispatcher for one service, and how much of it is in use.
#[derive(Clone, Copy, Debug)]
struct Credit {
    limit: u32,
    in_flight: u32,
    /// Network distance between the dispatcher and this store.
    distance: Distance,
    /// The dispatcher is connected and not shutting down, so messages may be granted to it.
    accepts_grants: bool,
}

impl Credit {
    fn free(&self) -> u32 {
        if self.accepts_grants {
            self.limit.saturating_sub(self.in_flight)
        } else {
            0
        }
    }
}

/// Sort key of dispatchers with free credit: the nearest, then the one with the most free credit, is the
/// greatest.
type Preference = (Reverse<Distance>, u32, DispatcherId);

/// The credits of all dispatchers for one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Credits {
    dispatchers: BTreeMap<DispatcherId, Credit>,
    free: BTreeSet<Preference>,
}

impl Credits {
    fn update(&mut self, dispatcher: DispatcherId, update: impl FnOnce(&mut Credit)) {
        let unknown = Credit { limit: 0, in_flight: 0, distance: Distance::default(), accepts_grants: false };
        let credit = self.dispatchers.entry(dispatcher).or_insert(unknown);
        let before = *credit;
        update(credit);
        let after = *credit;
        if before.free() > 0 {
            self.free.remove(&(Reverse(before.distance), before.free(), dispatcher));
        }
        if after.free() > 0 {
            self.free.insert((Reverse(after.distance), after.free(), dispatcher));
        }
        if !after.accepts_grants && after.in_flight == 0 {
            self.dispatchers.remove(&dispatcher);
        }
    }

    /// Allows up to `limit` concurrent deliveries to the dispatcher.
    pub fn open(&mut self, dispatcher: DispatcherId, limit: u32, distance: Distance) {
        self.update(dispatcher, |credit| {
            credit.limit = limit;
            credit.distance = distance;
            credit.accepts_grants = true;
        });
    }

    pub fn set_limit(&mut self, dispatcher: DispatcherId, limit: u32) {
        if self.dispatchers.contains_key(&dispatcher) {
            self.update(dispatcher, |credit| credit.limit = limit);
        }
    }

    /// Stops further grants to the dispatcher. Its deliveries in flight stay counted.
    pub fn close(&mut self, dispatcher: DispatcherId) {
        if self.dispatchers.contains_key(&dispatcher) {
            self.update(dispatcher, |credit| credit.accepts_grants = false);
        }
    }

    pub fn reserve(&mut self, dispatcher: DispatcherId) {
        self.update(dispatcher, |credit| credit.in_flight += 1);
    }

    pub fn release(&mut self, dispatcher: DispatcherId) {
        if self.dispatchers.contains_key(&dispatcher) {
            self.update(dispatcher, |credit| credit.in_flight = credit.in_flight.saturating_sub(1));
        }
    }

    pub fn free(&self, dispatcher: DispatcherId) -> u32 {
        self.dispatchers.get(&dispatcher).map_or(0, Credit::free)
    }

    pub fn has_free(&self, dispatcher: DispatcherId) -> bool {
        self.free(dispatcher) > 0
    }

    /// Returns the dispatcher with the most free credit among the nearest ones that have any. `other` is
    /// returned only if it is the only dispatcher with free credit.
    pub fn best_except(&self, fallback: Option<DispatcherId>) -> Option<DispatcherId> {
        let mut best = self.free.iter().rev().map(|(_, _, dispatcher)| *dispatcher);
        best.find(|dispatcher| Some(*dispatcher) != fallback)
            .or(fallback.filter(|fallback| self.has_free(*fallback)))
    }
}
