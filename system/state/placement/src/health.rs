//! Which stores are well, by their heartbeats.

use millrudder_protocol::control::StoreHealth;
use millrudder_protocol::{Address, StoreId};
use std::collections::BTreeMap;

/// A store that is silent for so long (ms) is taken for dead: five heartbeats.
const SILENT_MS: u64 = 500;
/// A store whose oldest write waits so long (ms) for its disk is taken for dead.
const STALLED_MS: u32 = 700;
/// A store that was not well gets its primaries back after being well for so long (ms).
const STEADY_MS: u64 = 1500;

/// A store that registered.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: StoreId,
    pub name: String,
    pub zone: String,
    pub address: Address,
    health: StoreHealth,
    heard: u64,
    /// When it registered first.
    first_seen: u64,
    /// Since when it has been well without a break.
    well_since: Option<u64>,
    /// Since when it has been unwell without a break.
    unwell_since: Option<u64>,
    /// It has been unwell since this manager watches.
    has_failed: bool,
}

impl Seen {
    fn is_silent(&self, now: u64) -> bool {
        now.saturating_sub(self.heard) >= SILENT_MS
    }

    /// It can serve as a primary now.
    fn is_well(&self, now: u64) -> bool {
        !self.is_silent(now) && self.health.oldest_unsynced_ms < STALLED_MS && !self.health.leaving
    }
}

/// All stores that registered since this manager watches.
#[derive(Clone, Default)]
pub struct Stores {
    seen: BTreeMap<StoreId, Seen>,
}

impl Stores {
    pub fn registered(&mut self, now: u64, id: StoreId, name: String, zone: String, address: Address) {
        let fresh = Seen {
            id,
            name,
            zone,
            address,
            health: StoreHealth::default(),
            heard: now,
            first_seen: now,
            well_since: Some(now),
            unwell_since: None,
            has_failed: false,
        };
        let seen = match self.seen.get(&id) {
            None => fresh,
            // What it said last holds until it says more: one that stops may only have connected anew.
            Some(before) => Seen {
                health: before.health,
                first_seen: before.first_seen,
                well_since: before.well_since,
                unwell_since: before.unwell_since,
                has_failed: before.has_failed,
                ..fresh
            },
        };
        self.seen.insert(id, seen);
    }

    /// Notes a heartbeat; true if anybody has become unwell or well.
    pub fn heartbeat(&mut self, now: u64, id: StoreId, health: StoreHealth) -> bool {
        if let Some(seen) = self.seen.get_mut(&id) {
            seen.heard = now;
            seen.health = health;
        }
        self.judge(now)
    }

    /// Notes who has become unwell or well; true if anything changed.
    pub fn judge(&mut self, now: u64) -> bool {
        let mut changed = false;
        for seen in self.seen.values_mut() {
            match (seen.is_well(now), seen.well_since) {
                (false, Some(_)) => {
                    seen.well_since = None;
                    seen.unwell_since = Some(if seen.is_silent(now) { seen.heard } else { now });
                    seen.has_failed = true;
                    changed = true;
                }
                (true, None) => {
                    seen.well_since = Some(now);
                    seen.unwell_since = None;
                    changed = true;
                }
                _ => {}
            }
        }
        changed
    }

    /// When silence or steadiness is to be judged next.
    pub fn next_deadline(&self, now: u64) -> Option<u64> {
        let deadlines = self.seen.values().filter_map(|seen| {
            let since = seen.well_since?;
            let silent_at = seen.heard + SILENT_MS;
            let steady_at = since + STEADY_MS;
            Some(if steady_at > now { silent_at.min(steady_at) } else { silent_at })
        });
        deadlines.min()
    }

    pub fn is_well(&self, now: u64, id: StoreId) -> bool {
        self.seen.get(&id).is_some_and(|seen| seen.is_well(now))
    }

    /// Well, and for so long that its primaries may go back to it.
    pub fn is_steady(&self, now: u64, id: StoreId) -> bool {
        let Some(seen) = self.seen.get(&id) else { return false };
        let long = seen.well_since.is_some_and(|since| now.saturating_sub(since) >= STEADY_MS);
        seen.is_well(now) && (long || !seen.has_failed)
    }

    /// For how long (ms) it has been unwell; 0 while it is well. One that never registered counts from `watched_since`.
    pub fn unwell_ms(&self, now: u64, id: StoreId, watched_since: u64) -> u64 {
        if self.is_well(now, id) {
            return 0;
        }
        let since = self.seen.get(&id).map_or(watched_since, |seen| seen.unwell_since.unwrap_or(seen.heard));
        now.saturating_sub(since)
    }

    /// Since when it has been well without a break.
    pub fn well_since(&self, id: StoreId) -> Option<u64> {
        self.seen.get(&id).and_then(|seen| seen.well_since)
    }

    /// Its process was told to stop, and still serves.
    pub fn is_leaving(&self, now: u64, id: StoreId) -> bool {
        self.seen.get(&id).is_some_and(|seen| seen.health.leaving && !seen.is_silent(now))
    }

    /// When it registered first, as far as this manager knows.
    pub fn first_seen(&self, id: StoreId) -> Option<u64> {
        self.seen.get(&id).map(|seen| seen.first_seen)
    }

    /// Its machine has another disk now: this one never comes back.
    pub fn is_gone(&self, now: u64, id: StoreId, name: &str) -> bool {
        let is_successor = |seen: &Seen| seen.id != id && seen.name == name;
        !self.is_well(now, id) && self.seen.values().any(|seen| is_successor(seen) && seen.is_well(now))
    }

    pub fn get(&self, id: StoreId) -> Option<&Seen> {
        self.seen.get(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Seen> {
        self.seen.values()
    }
}
