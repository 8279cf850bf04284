//! A manager, its stores' heartbeats and the commits of what it proposes.

#![allow(dead_code)]

use millrudder_placement::{Input, Layout, PlacementManager};
use millrudder_protocol::control::{FilledShard, StoreHealth};
use millrudder_protocol::placement::{ChangeReason, Placement};
use millrudder_protocol::{Address, ShardId, StoreId};
use std::collections::BTreeMap;

const ZONES: [&str; 3] = ["a", "b", "c"];
pub const STEP_MS: u64 = 100;

/// A manager, its stores' heartbeats and the commits of what it proposes.
pub struct Rig {
    pub manager: PlacementManager,
    pub now: u64,
    /// Stores that send heartbeats, with what they say.
    pub beating: BTreeMap<u64, StoreHealth>,
    pub placement: Placement,
    pub commits: usize,
    /// Membership changes that were begun, and why.
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

    /// A manager that leads, without a store.
    pub fn with_layout(tolerated_losses: u32, layout: Layout) -> Self {
        let mut rig = Rig {
            manager: PlacementManager::new(tolerated_losses).with_layout(layout),
            now: 0,
            beating: BTreeMap::new(),
            placement: Placement::default(),
            commits: 0,
            changes_begun: 0,
            reasons: Vec::new(),
        };
        rig.give(Input::Leading(true));
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
        self.give(Input::Registered { id: StoreId(id), name, zone, address });
        self.beating.insert(id, StoreHealth::default());
    }

    pub fn give(&mut self, input: Input) {
        if let Some(placement) = self.manager.handle(self.now, input) {
            self.note_changes(&placement);
            self.placement = placement.clone();
            self.commits += 1;
            self.give(Input::Committed(placement));
        }
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            for (id, health) in self.beating.clone() {
                self.give(Input::Heartbeat { id: StoreId(id), health });
            }
            self.give(Input::Tick);
        }
    }

    fn note_changes(&mut self, placement: &Placement) {
        for shard in &placement.shards {
            if let Some(change) = shard.change.filter(|change| change.epoch == placement.epoch) {
                self.changes_begun += 1;
                self.reasons.push(change.reason);
            }
        }
    }

    /// What a learner would say now if it had all of the shards that it learns.
    pub fn reports_of(&self, id: u64) -> Vec<FilledShard> {
        let shards = self.placement.shards.iter().enumerate().filter_map(|(number, shard)| {
            let change = shard.change.filter(|change| change.joins == StoreId(id))?;
            Some(FilledShard { shard: ShardId(number as u16), change: change.epoch })
        });
        shards.collect()
    }

    /// A learner says that it has all of the shards that it learns.
    pub fn report_filled(&mut self, id: u64) {
        let shards = self.reports_of(id);
        self.give(Input::CaughtUp { id: StoreId(id), shards });
    }

    /// Runs while every learner that is up is filled within a step.
    pub fn run_filling(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.run(STEP_MS);
            for id in self.beating.keys().copied().collect::<Vec<_>>() {
                self.report_filled(id);
            }
        }
    }

    /// Shards that a store is filled for.
    pub fn learning(&self, id: u64) -> usize {
        self.placement.shards.iter().filter(|shard| shard.learner() == Some(StoreId(id))).count()
    }

    /// Shards that a store is a replica of.
    pub fn held(&self, id: u64) -> usize {
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
