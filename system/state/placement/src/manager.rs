//! Watches stores and proposes placements while it holds the lease.

use crate::arrange;
use crate::founding;
use crate::health::{Seen, Stores};
use crate::knowledge::{CaughtUp, Knowledge, Patience, Report};
use crate::layout::Layout;
use millrudder_protocol::control::{FilledShard, StoreHealth};
use millrudder_protocol::placement::Placement;
use millrudder_protocol::{Address, StoreId};
use std::collections::BTreeSet;
use std::net::IpAddr;

/// The first placement waits until no new store has come for so long (ms) ...
const FOUNDING_CALM_MS: u64 = 1000;
/// ... and, where there are fewer stores than a shard has replicas, for so long (ms).
const FOUNDING_PATIENCE_MS: u64 = 5000;
/// A new lease holder that does not know all stores first listens for so long (ms): those that it has not heard yet
/// are not dead.
const LISTEN_MS: u64 = 700;
/// While stores connect, others may be about to: no store is called dead for so long (ms) after a registration by a
/// lease holder that has just begun.
const CONNECTING_MS: u64 = 300;
/// A proposal without an outcome is made again after so long (ms).
const AGAIN_MS: u64 = 400;

/// Heartbeats that tell nothing new lead to a decision this often (ms).
const DECIDE_EVERY_MS: u64 = 50;
/// Time (ms) in which a replaced store must hold all again, where the settings name none.
const CATCH_UP_MS: u64 = 4500;

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A store connected.
    Registered {
        id: StoreId,
        name: String,
        zone: String,
        address: Address,
    },
    Heartbeat {
        id: StoreId,
        health: StoreHealth,
    },
    CaughtUp {
        id: StoreId,
        shards: Vec<FilledShard>,
    },
    /// Names of the machines that are to be emptied, or were, by the state in force.
    Retiring(BTreeSet<String>),
    /// The placement in force.
    Committed(Placement),
    /// This machine holds the lease, or not any more.
    Leading(bool),
    Tick,
}

/// Proposes the placements of the system; see the crate's documentation.
#[derive(Clone)]
pub struct PlacementManager {
    tolerated_losses: u32,
    stores: Stores,
    current: Placement,
    caught_up: CaughtUp,
    retiring: BTreeSet<String>,
    patience: Patience,
    layout: Layout,
    leading_since: Option<u64>,
    last_newcomer: u64,
    last_registered: u64,
    first_newcomer: Option<u64>,
    proposed: Option<u64>,
    /// When it was last worked out what should change.
    decided: u64,
}

impl PlacementManager {
    /// `tolerated_losses`: machines with a disk that may be lost at one time.
    pub fn new(tolerated_losses: u32) -> Self {
        PlacementManager {
            tolerated_losses,
            stores: Stores::default(),
            current: Placement::default(),
            caught_up: CaughtUp::default(),
            retiring: BTreeSet::new(),
            patience: Patience::from_catch_up(CATCH_UP_MS),
            layout: Layout::default(),
            leading_since: None,
            last_newcomer: 0,
            last_registered: 0,
            first_newcomer: None,
            proposed: None,
            decided: 0,
        }
    }

    /// `catch_up_ms`: time in which a replaced store must hold all again.
    #[must_use]
    pub fn with_catch_up(mut self, catch_up_ms: u64) -> Self {
        self.patience = Patience::from_catch_up(catch_up_ms);
        self
    }

    /// How replicas are laid out over zones and regions; without it, over the zones of one region.
    #[must_use]
    pub fn with_layout(mut self, layout: Layout) -> Self {
        self.layout = layout;
        self
    }

    /// Takes an input in; the placement returned is to be submitted.
    pub fn handle(&mut self, now: u64, input: Input) -> Option<Placement> {
        match input {
            Input::Registered { id, name, zone, address } => {
                if self.stores.get(id).is_none() {
                    self.last_newcomer = now;
                    self.first_newcomer.get_or_insert(now);
                }
                self.last_registered = now;
                self.stores.registered(now, id, name, zone, address);
            }
            Input::Heartbeat { id, health } => {
                let changed = self.stores.heartbeat(now, id, health);
                if !changed && now.saturating_sub(self.decided) < DECIDE_EVERY_MS {
                    return None;
                }
            }
            Input::CaughtUp { id, shards } => self.caught_up(now, id, &shards),
            Input::Retiring(names) => self.retiring = names,
            Input::Committed(placement) => {
                if placement.epoch > self.current.epoch {
                    self.current = placement;
                    self.proposed = None;
                    self.forget_done();
                }
            }
            Input::Leading(true) => {
                self.leading_since.get_or_insert(now);
            }
            Input::Leading(false) => self.leading_since = None,
            Input::Tick => {
                self.stores.judge(now);
            }
        }
        self.propose(now)
    }

    /// Names of the stores that are well.
    pub fn well(&self, now: u64) -> Vec<String> {
        let well = self.stores.iter().filter(|seen| self.stores.is_well(now, seen.id));
        well.map(|seen| seen.name.clone()).collect()
    }

    /// Where a machine's store was last seen.
    pub fn address_of(&self, name: &str) -> Option<Address> {
        let seen = self.stores.iter().find(|seen| seen.name == name).map(|seen| seen.address);
        seen.or_else(|| {
            self.current.stores.iter().find(|store| store.name == name).map(|store| store.address)
        })
    }

    /// One store machine at most has this address, as in every deployment with an address for each machine.
    pub fn is_machines_own(&self, ip: IpAddr) -> bool {
        let names: BTreeSet<&str> = self
            .stores
            .iter()
            .filter(|seen| seen.address.0.ip() == ip)
            .map(|seen| seen.name.as_str())
            .collect();
        names.len() <= 1
    }

    /// When the next `Tick` is due.
    pub fn next_deadline(&self, now: u64) -> Option<u64> {
        let since = self.leading_since?;
        let listening = Some(since + LISTEN_MS).filter(|at| *at > now);
        let again = self.proposed.map(|at| at + AGAIN_MS);
        let founding = (self.current.epoch.0 == 0).then_some(now + FOUNDING_CALM_MS / 4);
        let health = self.stores.next_deadline(now);
        [listening, again, founding, health].into_iter().flatten().min()
    }

    fn propose(&mut self, now: u64) -> Option<Placement> {
        let since = self.leading_since?;
        let listened = now.saturating_sub(since) >= LISTEN_MS || self.has_watched(now);
        let waits = self.proposed.is_some_and(|at| now.saturating_sub(at) < AGAIN_MS);
        if !listened || waits {
            return None;
        }
        self.decided = now;
        let placement = if self.current.epoch.0 == 0 {
            self.found(now)
        } else {
            // A store that never registered here counts as away since others did.
            let watched_since = self.first_newcomer.unwrap_or(since);
            arrange::next(&self.knowledge(now, watched_since), &self.current)
        }?;
        self.proposed = Some(now);
        Some(placement)
    }

    /// It has been watching the stores before it led: it knows each of them, and hears most of them now.
    fn has_watched(&self, now: u64) -> bool {
        let stores = &self.current.stores;
        let well = stores.iter().filter(|store| self.stores.is_well(now, store.id)).count();
        let knows_all = stores.iter().all(|store| self.stores.get(store.id).is_some());
        let is_quiet = now.saturating_sub(self.last_registered) >= CONNECTING_MS;
        knows_all && is_quiet && 2 * well > stores.len()
    }

    fn found(&self, now: u64) -> Option<Placement> {
        let well: Vec<&Seen> = self.stores.iter().filter(|seen| self.stores.is_well(now, seen.id)).collect();
        let calm = now.saturating_sub(self.last_newcomer) >= FOUNDING_CALM_MS;
        let waited =
            self.first_newcomer.is_some_and(|first| now.saturating_sub(first) >= FOUNDING_PATIENCE_MS);
        let wanted = founding::replicas_wanted(self.tolerated_losses);
        let least = self.tolerated_losses as usize + 1;
        let enough = well.len() >= wanted || waited && well.len() >= least;
        (calm && enough).then(|| founding::found(&well, self.tolerated_losses, &self.layout))
    }

    fn knowledge(&self, now: u64, watched_since: u64) -> Knowledge<'_> {
        Knowledge {
            now,
            tolerated_losses: self.tolerated_losses,
            stores: &self.stores,
            caught_up: &self.caught_up,
            retiring: &self.retiring,
            patience: self.patience,
            layout: &self.layout,
            watched_since,
        }
    }

    fn caught_up(&mut self, now: u64, id: StoreId, shards: &[FilledShard]) {
        for filled in shards {
            let report = self.caught_up.entry((filled.shard, id));
            let report = report.or_insert(Report { change: filled.change, at: now });
            if report.change < filled.change {
                *report = Report { change: filled.change, at: now };
            }
        }
    }

    /// What a learner reported is of use until its change is done or given up.
    fn forget_done(&mut self) {
        let current = &self.current;
        self.caught_up.retain(|(shard, id), report| {
            let change = current.shard(*shard).and_then(|entry| entry.change);
            let is_under_way =
                change.is_some_and(|change| change.joins == *id && change.epoch == report.change);
            is_under_way || report.change > current.epoch
        });
    }
}
