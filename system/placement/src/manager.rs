//! Watches stores and proposes placements while it holds the lease.

use crate::arrange::{self, CaughtUp};
use crate::founding;
use crate::health::{Seen, Stores};
use millrudder_protocol::control::StoreHealth;
use millrudder_protocol::placement::{Placement, ShardEntry};
use millrudder_protocol::{Address, ShardId, StoreId};

/// The first placement waits until no new store has come for so long (ms) ...
const FOUNDING_CALM_MS: u64 = 1000;
/// ... and, where there are fewer stores than a shard has replicas, for so long (ms).
const FOUNDING_PATIENCE_MS: u64 = 5000;
/// A new lease holder first listens for so long (ms): stores that it has not heard yet are not dead.
const LISTEN_MS: u64 = 700;
/// A proposal without an outcome is made again after so long (ms).
const AGAIN_MS: u64 = 400;

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
        shards: Vec<ShardId>,
    },
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
    leading_since: Option<u64>,
    last_newcomer: u64,
    first_newcomer: Option<u64>,
    proposed: Option<u64>,
}

impl PlacementManager {
    /// `tolerated_losses`: machines with a disk that may be lost at one time.
    pub fn new(tolerated_losses: u32) -> Self {
        PlacementManager {
            tolerated_losses,
            stores: Stores::default(),
            current: Placement::default(),
            caught_up: CaughtUp::default(),
            leading_since: None,
            last_newcomer: 0,
            first_newcomer: None,
            proposed: None,
        }
    }

    /// Takes an input in; the placement returned is to be submitted.
    pub fn handle(&mut self, now: u64, input: Input) -> Option<Placement> {
        match input {
            Input::Registered { id, name, zone, address } => {
                if self.stores.get(id).is_none() {
                    self.last_newcomer = now;
                    self.first_newcomer.get_or_insert(now);
                }
                self.stores.registered(now, id, name, zone, address);
            }
            Input::Heartbeat { id, health } => self.stores.heartbeat(now, id, health),
            Input::CaughtUp { id, shards } => {
                self.caught_up.extend(shards.into_iter().map(|shard| (shard, id)));
            }
            Input::Committed(placement) => {
                if placement.epoch > self.current.epoch {
                    let before = std::mem::replace(&mut self.current, placement);
                    self.proposed = None;
                    self.forget_admitted(&before);
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
        let listened = now.saturating_sub(since) >= LISTEN_MS;
        let waits = self.proposed.is_some_and(|at| now.saturating_sub(at) < AGAIN_MS);
        if !listened || waits {
            return None;
        }
        let placement = if self.current.epoch.0 == 0 {
            self.found(now)
        } else {
            arrange::next(now, &self.current, &self.stores, &self.caught_up)
        }?;
        self.proposed = Some(now);
        Some(placement)
    }

    fn found(&self, now: u64) -> Option<Placement> {
        let well: Vec<&Seen> = self.stores.iter().filter(|seen| self.stores.is_well(now, seen.id)).collect();
        let calm = now.saturating_sub(self.last_newcomer) >= FOUNDING_CALM_MS;
        let waited =
            self.first_newcomer.is_some_and(|first| now.saturating_sub(first) >= FOUNDING_PATIENCE_MS);
        let wanted = founding::replicas_wanted(self.tolerated_losses);
        let least = self.tolerated_losses as usize + 1;
        let enough = well.len() >= wanted || waited && well.len() >= least;
        (calm && enough).then(|| founding::found(&well, self.tolerated_losses))
    }

    /// What a learner reported holds until it has become a replica.
    ///
    /// A new primary fills it anew: what it had from the former one may lack what that one never told.
    fn forget_admitted(&mut self, before: &Placement) {
        let shards = &self.current.shards;
        self.caught_up.retain(|(shard, id)| {
            let same_primary =
                |entry: &ShardEntry| before.shard(*shard).is_some_and(|old| old.since == entry.since);
            let entry = shards.get(usize::from(shard.0));
            entry.is_some_and(|entry| entry.learners.contains(id) && same_primary(entry))
        });
    }
}
