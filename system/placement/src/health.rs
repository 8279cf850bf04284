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
    /// Since when it has been well without a break.
    well_since: Option<u64>,
    /// It has been unwell since this manager watches.
    has_failed: bool,
}

impl Seen {
    /// It can serve as a primary now.
    fn is_well(&self, now: u64) -> bool {
        let silent = now.saturating_sub(self.heard) >= SILENT_MS;
        !silent && self.health.oldest_unsynced_ms < STALLED_MS && !self.health.leaving
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
            well_since: Some(now),
            has_failed: false,
        };
        let before = self.seen.get(&id);
        let has_failed = before.is_some_and(|before| before.has_failed);
        let well_since = before.map_or(Some(now), |before| before.well_since);
        self.seen.insert(id, Seen { has_failed, well_since, ..fresh });
    }

    pub fn heartbeat(&mut self, now: u64, id: StoreId, health: StoreHealth) {
        if let Some(seen) = self.seen.get_mut(&id) {
            seen.heard = now;
            seen.health = health;
        }
        self.judge(now);
    }

    /// Notes who has become unwell or well; true if anything changed.
    pub fn judge(&mut self, now: u64) -> bool {
        let mut changed = false;
        for seen in self.seen.values_mut() {
            match (seen.is_well(now), seen.well_since) {
                (false, Some(_)) => {
                    seen.well_since = None;
                    seen.has_failed = true;
                    changed = true;
                }
                (true, None) => {
                    seen.well_since = Some(now);
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

    pub fn get(&self, id: StoreId) -> Option<&Seen> {
        self.seen.get(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Seen> {
        self.seen.values()
    }
}
