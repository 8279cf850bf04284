//! Checks the invariants of placements after each step of a random sequence of store losses, recoveries, replacements,
//! additions, shutdowns, retirements and lost leases.

mod rig;

use fastrand::Rng;
use millrudder_placement::{Input, PlacementManager};
use millrudder_protocol::control::CaughtUpShard;
use millrudder_protocol::placement::{Placement, ShardEntry};
use millrudder_protocol::{ShardId, StoreId};
use rig::{Rig, STEP_MS};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const RUNS: u64 = 8;
const STEPS: usize = 60;
/// Time within which every shard must be repaired once no further faults occur.
const REPAIRED_WITHIN: Duration = Duration::from_millis(40_000);

struct Model {
    rig: Rig,
    rng: Rng,
    tolerated_losses: u32,
    next_id: u64,
    /// Stores that are down and may come back, with the names of their machines.
    down: BTreeMap<u64, String>,
    names: BTreeMap<u64, String>,
    retiring: BTreeSet<String>,
    /// All reports that learners have sent so far.
    reported: BTreeSet<(StoreId, CaughtUpShard)>,
    previous: Placement,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let tolerated_losses = rng.u32(1..=2);
        let stores = u64::from(2 * tolerated_losses + 1) + rng.u64(0..4);
        let mut rig = Rig::new(stores, tolerated_losses);
        rig.run(2000);
        let names = (1..=stores).map(|id| (id, format!("store-{id}"))).collect();
        let previous = rig.placement.clone();
        let (down, retiring, reported) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
        Model { rig, rng, tolerated_losses, next_id: stores + 1, down, names, retiring, reported, previous }
    }

    fn target_replicas(&self) -> usize {
        2 * self.tolerated_losses as usize + 1
    }

    fn running_stores(&self) -> Vec<u64> {
        self.rig.heartbeats.keys().copied().collect()
    }

    fn pick(&mut self, ids: &[u64]) -> Option<u64> {
        (!ids.is_empty()).then(|| ids[self.rng.usize(0..ids.len())])
    }

    fn step(&mut self) {
        let running = self.running_stores();
        match self.rng.u8(0..10) {
            0 | 1 => self.lose(&running),
            2 | 3 => self.recover(),
            4 => self.replace_disk(),
            5 => self.add(),
            6 => self.shut_down(&running),
            7 => self.retire(&running),
            8 => self.lose_lease(),
            _ => {}
        }
        for _ in 0..self.rng.u64(1..30) {
            self.run_step();
        }
    }

    fn lose(&mut self, running: &[u64]) {
        if let Some(id) = self.pick(running).filter(|_| self.down.len() <= self.tolerated_losses as usize) {
            self.rig.heartbeats.remove(&id);
            self.down.insert(id, self.names[&id].clone());
        }
    }

    fn recover(&mut self) {
        let ids: Vec<u64> = self.down.keys().copied().collect();
        if let Some(id) = self.pick(&ids) {
            let name = self.down.remove(&id).unwrap();
            self.register(id, &name);
        }
    }

    fn replace_disk(&mut self) {
        let ids: Vec<u64> = self.down.keys().copied().collect();
        if let Some(id) = self.pick(&ids) {
            let name = self.down.remove(&id).unwrap();
            let new_id = self.allocate_id();
            self.register(new_id, &name);
        }
    }

    fn add(&mut self) {
        let new_id = self.allocate_id();
        self.register(new_id, &format!("store-{new_id}"));
    }

    fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id - 1
    }

    fn register(&mut self, id: u64, name: &str) {
        self.names.insert(id, name.to_owned());
        self.rig.register(id, name);
        self.check();
    }

    fn shut_down(&mut self, running: &[u64]) {
        if let Some(id) = self.pick(running).filter(|_| self.down.len() <= self.tolerated_losses as usize) {
            self.rig.heartbeats.get_mut(&id).unwrap().is_shutting_down = true;
            for _ in 0..self.rng.u64(1..10) {
                self.run_step();
            }
            self.rig.heartbeats.remove(&id);
            self.down.insert(id, self.names[&id].clone());
        }
    }

    fn retire(&mut self, running: &[u64]) {
        let Some(id) = self.pick(running) else { return };
        let name = self.names[&id].clone();
        let stays = |id: &&u64| self.names[*id] != name && !self.retiring.contains(&self.names[*id]);
        if running.iter().filter(stays).count() >= self.target_replicas() {
            self.retiring.insert(name);
            let names = self.retiring.clone();
            self.rig.handle(Input::Retiring(names));
            self.check();
        }
    }

    /// Moves the lease to another core machine, which may have received heartbeats from the stores before or not at
    /// all.
    fn lose_lease(&mut self) {
        self.rig.manager = PlacementManager::new(self.tolerated_losses);
        let (placement, names) = (self.rig.placement.clone(), self.retiring.clone());
        self.rig.handle(Input::Committed(placement));
        self.rig.handle(Input::Retiring(names));
        for id in self.running_stores() {
            let health = self.rig.heartbeats[&id];
            let name = self.names[&id].clone();
            self.rig.register(id, &name);
            self.rig.heartbeats.insert(id, health);
        }
        if self.rng.bool() {
            self.run_step();
        }
        self.rig.handle(Input::ControllerLease { is_held: true });
        self.check();
    }

    fn run_step(&mut self) {
        self.rig.run(STEP_MS);
        self.check();
        for id in self.running_stores() {
            if self.rng.u8(0..4) == 0 {
                self.report(id);
            }
        }
    }

    /// Reports that a learner has caught up with some of its shards, and repeats its reports for earlier changes.
    fn report(&mut self, id: u64) {
        let all = self.rig.reports_of(id);
        let now: Vec<CaughtUpShard> = all.into_iter().filter(|_| self.rng.u8(0..3) > 0).collect();
        self.reported.extend(now.iter().map(|filled| (StoreId(id), *filled)));
        let known = self.reported.iter().filter(|(store, _)| store.0 == id).map(|(_, filled)| *filled);
        let shards = known.collect();
        self.rig.handle(Input::LearnerCaughtUp { id: StoreId(id), shards });
        self.check();
    }

    fn check(&mut self) {
        let (old, new) = (self.previous.clone(), self.rig.placement.clone());
        for (number, (before, after)) in old.shards.iter().zip(&new.shards).enumerate() {
            self.check_shard(ShardId(number as u16), &old, before, after);
        }
        for shard in &new.shards {
            self.check_entry(&new, shard);
        }
        self.previous = new;
    }

    fn check_entry(&self, placement: &Placement, shard: &ShardEntry) {
        let distinct: BTreeSet<&StoreId> = shard.replicas.iter().collect();
        assert_eq!(distinct.len(), shard.replicas.len(), "a store holds at most one replica of a shard");
        assert_eq!(
            shard.replicas.len(),
            self.target_replicas(),
            "the number of replicas always equals the target"
        );
        assert!(shard.replicas.contains(&shard.primary), "the primary is a replica");
        let members = shard.replicas.iter().copied().chain(shard.learner());
        for id in members {
            assert!(placement.store(id).is_some(), "every store with a replica or learner is listed");
        }
        let Some(change) = shard.change else { return };
        assert!(!shard.replicas.contains(&change.joins), "a learner is not a replica");
        assert!(
            change.leaves.is_some_and(|id| shard.replicas.contains(&id)),
            "the leaving store is a replica"
        );
        assert!(change.epoch <= placement.epoch, "a change began in a committed placement");
    }

    fn check_shard(&self, number: ShardId, old: &Placement, before: &ShardEntry, after: &ShardEntry) {
        let same_primary = before.primary == after.primary;
        assert_eq!(
            same_primary,
            before.term == after.term,
            "the term changes exactly when the primary changes"
        );
        if let Some(change) = after.change.filter(|_| before.change != after.change) {
            assert!(change.epoch > old.epoch, "a new change has a new epoch");
            assert!(
                !self.retiring.contains(&self.names[&change.joins.0]),
                "a retiring machine receives no learner"
            );
        }
        if before.replicas == after.replicas {
            return;
        }
        let change = before.change.expect("replicas change only by a previously committed change");
        assert_eq!(
            after.replicas,
            before.replicas_after(&change),
            "the new replicas are those that the change specifies"
        );
        let report = (change.joins, CaughtUpShard { shard: number, change: change.epoch });
        assert!(
            self.reported.contains(&report),
            "a learner becomes a replica only after its report for this change"
        );
        assert!(after.change.is_none_or(|next| next.epoch > change.epoch), "two changes do not overlap");
        self.check_quorums(before, after);
    }

    /// Checks that every write quorum during the change intersects every read quorum after it.
    fn check_quorums(&self, before: &ShardEntry, after: &ShardEntry) {
        let during = before.memberships(self.tolerated_losses);
        let next = after.memberships(self.tolerated_losses);
        let shared = |one: &[StoreId], two: &[StoreId]| one.iter().filter(|id| two.contains(id)).count();
        let meets = during.iter().any(|written| {
            let (all, read) = (written.replicas.len(), next[0].read_quorum);
            let common = shared(&written.replicas, &next[0].replicas);
            common == all && written.write_quorum + read > all
        });
        assert!(meets, "no write quorum during the change is certain to intersect the read quorum after it");
    }

    /// Checks that every shard is repaired once no further faults occur and there are enough machines.
    fn check_converges(&mut self) {
        for id in self.running_stores() {
            self.rig.heartbeats.get_mut(&id).unwrap().is_shutting_down = false;
        }
        while self.running_stores().iter().filter(|id| !self.retiring.contains(&self.names[*id])).count()
            < self.target_replicas()
        {
            self.add();
        }
        let end = self.rig.now + REPAIRED_WITHIN;
        while self.rig.now < end {
            self.run_step();
            for id in self.running_stores() {
                self.report(id);
            }
        }
        let running: BTreeSet<u64> = self.running_stores().into_iter().collect();
        for shard in &self.rig.placement.shards {
            for id in &shard.replicas {
                assert!(running.contains(&id.0), "a lost store still has a replica");
                assert!(
                    !self.retiring.contains(&self.names[&id.0]),
                    "a retiring machine still has a replica"
                );
            }
        }
    }
}

#[test]
fn replicas_move_safely_under_random_faults() {
    for seed in 0..RUNS {
        let mut model = Model::new(seed);
        for _ in 0..STEPS {
            model.step();
        }
        model.check_converges();
    }
}
