//! The state machine that follows the stores and proposes placements.

use crate::cluster::{ClusterSnapshot, RepairDelays};
use crate::initial_placement::initial_placement;
use crate::layout::Layout;
use crate::learner_reports::LearnerReports;
use crate::planner;
use crate::store_health::{Registration, StoreStatus, StoreTable};
use millrudder_clock::Instant;
use millrudder_protocol::control::{CaughtUpShard, StoreHealth};
use millrudder_protocol::placement::{target_replicas, Placement};
use millrudder_protocol::{Address, StoreId};
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::Duration;

/// The first placement waits until no new store has registered for this time ...
const INITIAL_QUIET_PERIOD: Duration = Duration::from_millis(1000);
/// ... and, where there are fewer stores than a shard should have replicas, until this time after the first one.
const INITIAL_WAIT_FOR_STORES: Duration = Duration::from_millis(5000);
/// A new lease holder that does not know all stores first waits for heartbeats for this time: stores that it has not
/// heard yet are not dead.
const OBSERVATION_PERIOD: Duration = Duration::from_millis(700);
/// While stores connect, others may be about to: for this time after a registration, no store is taken for dead by a
/// lease holder that has just begun.
const REGISTRATION_QUIET_PERIOD: Duration = Duration::from_millis(300);
/// A proposal without an outcome is made again after this time.
const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Heartbeats that change nothing lead to a decision at this interval.
const DECISION_INTERVAL: Duration = Duration::from_millis(50);
/// How often the first placement is considered.
const INITIAL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which a replacement must have caught up, where the settings name none.
const DEFAULT_CATCH_UP: Duration = Duration::from_millis(4500);

/// Inputs of the placement manager.
#[derive(Clone, Debug)]
pub enum Input {
    /// A store has registered, for the first time or anew.
    Registered(Registration),
    /// A store has sent a heartbeat.
    Heartbeat {
        /// The store.
        id: StoreId,
        /// Its health.
        health: StoreHealth,
    },
    /// A learner reports that it has caught up.
    LearnerCaughtUp {
        /// The learner's store.
        id: StoreId,
        /// The shards, each with the change in which it was filled.
        shards: Vec<CaughtUpShard>,
    },
    /// Names of the machines that are retiring or have retired, by the control state.
    Retiring(BTreeSet<String>),
    /// A placement was committed.
    Committed(Placement),
    /// This machine has got or lost the controller's lease.
    ControllerLease {
        /// It holds the lease now.
        is_held: bool,
    },
    /// Time has passed.
    Tick,
}

/// Times at which stores have registered.
#[derive(Clone, Debug, Default)]
struct RegistrationTimes {
    /// The first store.
    first: Option<Instant>,
    /// The last store that had not registered before.
    last_new: Instant,
    /// The last registration, of a new or a known store.
    last: Instant,
}

/// Follows the stores and proposes placements; see the crate's documentation.
#[derive(Clone, Debug)]
pub struct PlacementManager {
    tolerated_losses: u32,
    stores: StoreTable,
    registrations: RegistrationTimes,
    current: Placement,
    learner_reports: LearnerReports,
    retiring: BTreeSet<String>,
    delays: RepairDelays,
    layout: Layout,
    lease_held_since: Option<Instant>,
    /// When the last proposal was made, if its outcome is open.
    proposed_at: Option<Instant>,
    decided_at: Instant,
}

impl PlacementManager {
    /// A manager without stores. `tolerated_losses`: stores that may be lost at one time without losing a message.
    #[must_use]
    pub fn new(tolerated_losses: u32) -> Self {
        PlacementManager {
            tolerated_losses,
            stores: StoreTable::default(),
            registrations: RegistrationTimes::default(),
            current: Placement::default(),
            learner_reports: LearnerReports::default(),
            retiring: BTreeSet::new(),
            delays: RepairDelays::from_catch_up(DEFAULT_CATCH_UP),
            layout: Layout::default(),
            lease_held_since: None,
            proposed_at: None,
            decided_at: Instant::ORIGIN,
        }
    }

    /// Sets the time in which a replacement must have caught up; the delays before repairs follow from it.
    #[must_use]
    pub fn with_catch_up(mut self, catch_up: Duration) -> Self {
        self.delays = RepairDelays::from_catch_up(catch_up);
        self
    }

    /// Sets how replicas are laid out over zones and regions; the default is over the zones of one region.
    #[must_use]
    pub fn with_layout(mut self, layout: Layout) -> Self {
        self.layout = layout;
        self
    }

    /// Handles one input; the placement that is returned is to be submitted to the core.
    pub fn handle(&mut self, now: Instant, input: Input) -> Option<Placement> {
        match input {
            Input::Registered(registration) => self.register(now, registration),
            Input::Heartbeat { id, health } => {
                let is_changed = self.stores.handle_heartbeat(now, id, health);
                if !is_changed && now - self.decided_at < DECISION_INTERVAL {
                    return None;
                }
            }
            Input::LearnerCaughtUp { id, shards } => self.learner_reports.add(now, id, &shards),
            Input::Retiring(names) => self.retiring = names,
            Input::Committed(placement) => self.handle_commit(placement),
            Input::ControllerLease { is_held: true } => {
                self.lease_held_since.get_or_insert(now);
            }
            Input::ControllerLease { is_held: false } => self.lease_held_since = None,
            Input::Tick => {
                self.stores.update(now);
            }
        }
        self.propose(now)
    }

    /// Names of the machines whose stores are healthy.
    pub fn healthy_stores(&self, now: Instant) -> Vec<String> {
        self.stores.healthy(now).map(|store| store.name.clone()).collect()
    }

    /// The address from which a machine's store last registered, or that the placement has for it.
    pub fn address_of(&self, name: &str) -> Option<Address> {
        let registered = self.stores.iter().find(|store| store.name == name).map(|store| store.address);
        let placed = || self.current.stores.iter().find(|store| store.name == name);
        registered.or_else(|| placed().map(|store| store.address))
    }

    /// Whether at most one store machine has this address, as in every deployment with an address for each machine.
    pub fn is_exclusive_address(&self, ip: IpAddr) -> bool {
        let stores = self.stores.iter().filter(|store| store.address.0.ip() == ip);
        let names: BTreeSet<&str> = stores.map(|store| store.name.as_str()).collect();
        names.len() <= 1
    }

    /// When the next [`Input::Tick`] is due; `None` without the lease.
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        let lease_held_since = self.lease_held_since?;
        let observed = Some(lease_held_since + OBSERVATION_PERIOD).filter(|at| *at > now);
        let retry = self.proposed_at.map(|at| at + PROPOSAL_RETRY_INTERVAL);
        let initial = self.is_initial().then_some(now + INITIAL_CHECK_INTERVAL);
        let health = self.stores.next_deadline(now);
        [observed, retry, initial, health].into_iter().flatten().min()
    }

    /// There is no placement yet.
    fn is_initial(&self) -> bool {
        self.current.epoch.0 == 0
    }

    fn register(&mut self, now: Instant, registration: Registration) {
        if self.stores.register(now, registration) {
            self.registrations.last_new = now;
            self.registrations.first.get_or_insert(now);
        }
        self.registrations.last = now;
    }

    fn handle_commit(&mut self, placement: Placement) {
        if placement.epoch > self.current.epoch {
            self.learner_reports.retain_pending(&placement);
            self.current = placement;
            self.proposed_at = None;
        }
    }

    fn propose(&mut self, now: Instant) -> Option<Placement> {
        let lease_held_since = self.lease_held_since?;
        let has_observed = now - lease_held_since >= OBSERVATION_PERIOD || self.has_observed_all_stores(now);
        let is_pending = self.proposed_at.is_some_and(|at| now - at < PROPOSAL_RETRY_INTERVAL);
        if !has_observed || is_pending {
            return None;
        }
        self.decided_at = now;
        let placement = if self.is_initial() {
            self.propose_initial(now)
        } else {
            // A store that never registered here counts as unhealthy since others did.
            let observed_since = self.registrations.first.unwrap_or(lease_held_since);
            planner::next_placement(&self.snapshot(now, observed_since), &self.current)
        }?;
        self.proposed_at = Some(now);
        Some(placement)
    }

    /// Whether it followed the stores before it got the lease: it knows each of them, and most are healthy now.
    fn has_observed_all_stores(&self, now: Instant) -> bool {
        let stores = &self.current.stores;
        let healthy = stores.iter().filter(|store| self.stores.is_healthy(now, store.id)).count();
        let knows_all = stores.iter().all(|store| self.stores.get(store.id).is_some());
        let is_quiet = now - self.registrations.last >= REGISTRATION_QUIET_PERIOD;
        knows_all && is_quiet && 2 * healthy > stores.len()
    }

    fn propose_initial(&self, now: Instant) -> Option<Placement> {
        let healthy: Vec<&StoreStatus> = self.stores.healthy(now).collect();
        let is_quiet = now - self.registrations.last_new >= INITIAL_QUIET_PERIOD;
        let has_waited = self.registrations.first.is_some_and(|first| now - first >= INITIAL_WAIT_FOR_STORES);
        let min_stores = self.tolerated_losses as usize + 1;
        let is_enough = healthy.len() >= target_replicas(self.tolerated_losses)
            || has_waited && healthy.len() >= min_stores;
        (is_quiet && is_enough).then(|| initial_placement(&healthy, self.tolerated_losses, &self.layout))
    }

    fn snapshot(&self, now: Instant, observed_since: Instant) -> ClusterSnapshot<'_> {
        ClusterSnapshot {
            now,
            tolerated_losses: self.tolerated_losses,
            stores: &self.stores,
            learner_reports: &self.learner_reports,
            retiring: &self.retiring,
            delays: self.delays,
            layout: &self.layout,
            observed_since,
        }
    }
}
