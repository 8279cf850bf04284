//! The state machine that tracks the stores and proposes placements.

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

/// The initial placement is proposed only after no new store has registered for this long.
const INITIAL_QUIET_PERIOD: Duration = Duration::from_millis(1000);
/// If there are fewer healthy stores than a shard should have replicas, the initial placement also waits until this
/// long after the first registration.
const INITIAL_WAIT_FOR_STORES: Duration = Duration::from_millis(5000);
/// How long a new lease holder that does not know all stores waits for heartbeats before it proposes anything. A store
/// whose heartbeats it has not received yet may still be alive.
const OBSERVATION_PERIOD: Duration = Duration::from_millis(700);
/// A lease holder that is still within [`OBSERVATION_PERIOD`] considers no store lost until this long after the last
/// registration: while stores are connecting, more may follow.
const REGISTRATION_QUIET_PERIOD: Duration = Duration::from_millis(300);
/// A proposal that has not been committed is retried after this long.
const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum interval between decisions that are triggered by a heartbeat without a change of any store's health.
const DECISION_INTERVAL: Duration = Duration::from_millis(50);
/// How often the manager checks whether it can propose the initial placement.
const INITIAL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which a replacement must have caught up, if the settings specify none.
const DEFAULT_CATCH_UP: Duration = Duration::from_millis(4500);

/// Inputs of the placement manager.
#[derive(Clone, Debug)]
pub enum Input {
    /// A store has registered, for the first time or again.
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
        /// The shards with which it has caught up, each with the epoch of its membership change.
        shards: Vec<CaughtUpShard>,
    },
    /// The control state's list of machine names that are retiring or have retired.
    Retiring(BTreeSet<String>),
    /// A placement was committed.
    Committed(Placement),
    /// This machine has acquired or lost the controller lease.
    ControllerLease {
        /// Whether it now holds the lease.
        is_held: bool,
    },
    /// Time has passed.
    Tick,
}

/// Times of store registrations.
#[derive(Clone, Debug, Default)]
struct RegistrationTimes {
    /// First registration of any store.
    first: Option<Instant>,
    /// Last registration of a store that had not registered before.
    last_new: Instant,
    /// Last registration of any store, new or known.
    last: Instant,
}

/// Tracks the stores and proposes placements; see the crate documentation.
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
    /// When the pending proposal was made; `None` if none is pending.
    proposed_at: Option<Instant>,
    decided_at: Instant,
}

impl PlacementManager {
    /// Creates a manager without stores. `tolerated_losses` is the number of stores that may be lost at the same time
    /// without losing a message.
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

    /// Sets the time within which a replacement must have caught up, from which the repair delays are derived.
    #[must_use]
    pub fn with_catch_up(mut self, catch_up: Duration) -> Self {
        self.delays = RepairDelays::from_catch_up(catch_up);
        self
    }

    /// Sets how replicas are spread over zones and regions. By default, they are spread over the zones of one region.
    #[must_use]
    pub fn with_layout(mut self, layout: Layout) -> Self {
        self.layout = layout;
        self
    }

    /// Handles one input. The caller submits a returned placement to the core.
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

    /// The address in the last registration of a machine's store, or else its address in the placement.
    pub fn address_of(&self, name: &str) -> Option<Address> {
        let registered = self.stores.iter().find(|store| store.name == name).map(|store| store.address);
        let placed = || self.current.stores.iter().find(|store| store.name == name);
        registered.or_else(|| placed().map(|store| store.address))
    }

    /// Whether at most one store machine has this IP address, as in every deployment in which each machine has its own.
    pub fn is_exclusive_address(&self, ip: IpAddr) -> bool {
        let stores = self.stores.iter().filter(|store| store.address.0.ip() == ip);
        let names: BTreeSet<&str> = stores.map(|store| store.name.as_str()).collect();
        names.len() <= 1
    }

    /// When the next [`Input::Tick`] is due; `None` while this machine does not hold the lease.
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        let lease_held_since = self.lease_held_since?;
        let observed = Some(lease_held_since + OBSERVATION_PERIOD).filter(|at| *at > now);
        let retry = self.proposed_at.map(|at| at + PROPOSAL_RETRY_INTERVAL);
        let initial = self.is_initial().then_some(now + INITIAL_CHECK_INTERVAL);
        let health = self.stores.next_deadline(now);
        [observed, retry, initial, health].into_iter().flatten().min()
    }

    /// Whether no placement has been committed yet.
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
            // A store that has never registered here counts as unhealthy since the first registration of any store.
            let observed_since = self.registrations.first.unwrap_or(lease_held_since);
            planner::next_placement(&self.snapshot(now, observed_since), &self.current)
        }?;
        self.proposed_at = Some(now);
        Some(placement)
    }

    /// Whether the manager can decide without waiting for [`OBSERVATION_PERIOD`]: it already knows every store of the
    /// placement, and most of them are healthy.
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
