//! Test harness that runs a placement manager without I/O.

#![allow(dead_code)]

use millrudder_clock::Instant;
use millrudder_placement::{Input, Layout, PlacementManager, Registration};
use millrudder_protocol::control::{CaughtUpShard, StoreHealth};
use millrudder_protocol::placement::{ChangeReason, Placement};
use millrudder_protocol::{Address, ShardId, StoreId};
use std::collections::BTreeMap;
use std::time::Duration;

const ZONES: [&str; 3] = ["a", "b", "c"];
pub const STEP_MS: u64 = 100;

/// Runs a manager with simulated stores that send heartbeats, and commits every placement that it proposes at once.
pub struct Rig {
    pub manager: PlacementManager,
    pub now: Instant,
    /// Stores that send heartbeats, with their health.
    pub heartbeats: BTreeMap<u64, StoreHealth>,
    pub placement: Placement,
    pub commits: usize,
    /// Number of membership changes begun so far; `reasons` has the reason of each.
    pub changes_begun: usize,
    pub reasons: Vec<ChangeReason>,
}

impl Rig {
    pub fn new(stores: u64, tolerated_losses: u32) -> Self {
        let mut rig = Rig::with_layout(tolerated_losses, Layout::default());
        for id in 1..=stores {
            rig.register(id, &format!("store-{id}"));
        }
        rig
    }

    /// Creates a manager that holds the lease and knows no stores.
    pub fn with_layout(tolerated_losses: u32, layout: Layout) -> Self {
        let mut rig = Rig {
            manager: PlacementManager::new(tolerated_losses).with_layout(layout),
            now: Instant::ORIGIN,
            heartbeats: BTreeMap::new(),
            placement: Placement::default(),
            commits: 0,
            changes_begun: 0,
            reasons: Vec::new(),
        };
        rig.handle(Input::ControllerLease { is_held: true });
        rig
    }

    pub fn register(&mut self, id: u64, name: &str) {
        let number: u64 = name.trim_start_matches("store-").parse().unwrap();
        self.register_as(id, name, ZONES[(number as usize - 1) % ZONES.len()]);
    }

    pub fn register_in(&mut self, id: u64, zone: &str) {
        self.register_as(id, &format!("store-{id}"), zone);
    }

    fn register_as(&mut self, id: u64, name: &str, zone: &str) {
        let address = Address(([127, 0, 0, 1], 7000 + id as u16).into());
        let (name, zone) = (name.into(), zone.into());
        self.handle(Input::Registered(Registration { id: StoreId(id), name, zone, address }));
        self.heartbeats.insert(id, StoreHealth::default());
    }

    pub fn handle(&mut self, input: Input) {
        if let Some(placement) = self.manager.handle(self.now, input) {
            self.record_changes(&placement);
            self.placement = placement.clone();
            self.commits += 1;
            self.handle(Input::Committed(placement));
        }
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now += Duration::from_millis(STEP_MS);
            for (id, health) in self.heartbeats.clone() {
                self.handle(Input::Heartbeat { id: StoreId(id), health });
            }
            self.handle(Input::Tick);
        }
    }

    fn record_changes(&mut self, placement: &Placement) {
        for shard in &placement.shards {
            if let Some(change) = shard.change.filter(|change| change.epoch == placement.epoch) {
                self.changes_begun += 1;
                self.reasons.push(change.reason);
            }
        }
    }

    /// The report that a learner would send now if it had caught up with all of its shards.
    pub fn reports_of(&self, id: u64) -> Vec<CaughtUpShard> {
        let shards = self.placement.shards.iter().enumerate().filter_map(|(number, shard)| {
            let change = shard.change.filter(|change| change.joins == StoreId(id))?;
            Some(CaughtUpShard { shard: ShardId(number as u16), change: change.epoch })
        });
        shards.collect()
    }

    /// Reports that a learner has caught up with all of its shards.
    pub fn report_caught_up(&mut self, id: u64) {
        let shards = self.reports_of(id);
        self.handle(Input::LearnerCaughtUp { id: StoreId(id), shards });
    }

    /// Runs for a time in which every learner that sends heartbeats catches up within one step.
    pub fn run_filling(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.run(STEP_MS);
            for id in self.heartbeats.keys().copied().collect::<Vec<_>>() {
                self.report_caught_up(id);
            }
        }
    }

    /// Number of shards for which a store is the learner.
    pub fn learner_count(&self, id: u64) -> usize {
        self.placement.shards.iter().filter(|shard| shard.learner() == Some(StoreId(id))).count()
    }

    /// Number of shards of which a store holds a replica.
    pub fn replica_count(&self, id: u64) -> usize {
        self.placement.shards.iter().filter(|shard| shard.replicas.contains(&StoreId(id))).count()
    }

    pub fn primaries(&self) -> BTreeMap<StoreId, usize> {
        let mut counts = BTreeMap::new();
        for shard in &self.placement.shards {
            *counts.entry(shard.primary).or_default() += 1;
        }
        counts
    }
}
