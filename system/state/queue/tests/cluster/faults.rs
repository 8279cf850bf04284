//! The faults of the simulation. No more disks are lost at a time than the placement tolerates.

use super::links::{End, LinkId};
use super::{Cluster, Event};
use millrudder_protocol::DispatcherId;
use millrudder_queue::Input;

/// Time in which a store that was restarted catches up, in milliseconds.
const CATCH_UP_MS: u64 = 2_500;

impl Cluster {
    /// Injects faults until the given time.
    pub fn faults_until(&mut self, until_ms: u64) {
        self.faults_until_ms = until_ms;
        let first_ms = self.now_ms + self.random.u64(300..1_500);
        self.schedule(first_ms, Event::NextFault);
    }

    /// Whether all stores are healthy and no learner is catching up, so that another fault is tolerated.
    fn is_fully_replicated(&self) -> bool {
        let is_healthy = |store: &super::stores::Store| store.is_up() && store.frozen_until_ms <= self.now_ms;
        let no_learners = self.manager.placement.shards.iter().all(|shard| shard.change.is_none());
        self.stores.iter().all(is_healthy) && no_learners
    }

    /// Whether a disk may be lost: all stores are healthy, and the data of the last lost disk has been
    /// replicated again for a while.
    fn may_lose_disk(&self) -> bool {
        self.is_fully_replicated()
            && self.wiped_at_ms.is_none_or(|wiped| self.now_ms > wiped + 2 * CATCH_UP_MS)
    }

    pub fn next_fault(&mut self) {
        if self.now_ms >= self.faults_until_ms {
            return;
        }
        let overlaps = self.options.overlapping_faults;
        if !self.is_fully_replicated() && !overlaps {
            self.schedule(self.now_ms + 100, Event::NextFault);
            return;
        }
        self.record_fault();
        let store = self.random.usize(0..self.stores.len());
        let lasts_ms = self.random.u64(20..2_000);
        if self.trace {
            println!("{} fault at store {store} for {lasts_ms}", self.now_ms);
        }
        match self.random.u8(0..15) {
            0 | 1 => self.stop_and_restart_store(store, lasts_ms, false, false),
            2 | 3 => self.stop_and_restart_store(store, lasts_ms, true, false),
            4 if self.may_lose_disk() => self.stop_and_restart_store(store, lasts_ms, true, true),
            5 | 6 => {
                // Events deferred to the end of an earlier freeze must not be overtaken, so a freeze is never
                // shortened.
                let frozen_until_ms = &mut self.stores[store].frozen_until_ms;
                *frozen_until_ms = (*frozen_until_ms).max(self.now_ms + lasts_ms);
            }
            7 => self.partition(End::Store(store), lasts_ms),
            8 => self.partition_pair(store, lasts_ms),
            9 => self.stores[store].sync_ms = self.random.u64(20..150),
            10 => self.lose_dispatcher(lasts_ms),
            11 => {
                let at = self.random.usize(0..self.dispatchers.len());
                let frozen_until_ms = &mut self.dispatchers[at].frozen_until_ms;
                *frozen_until_ms = (*frozen_until_ms).max(self.now_ms + lasts_ms);
            }
            12 => self.stop_all_stores(false),
            13 => self.stop_all_stores(true),
            _ => self.reset_links(),
        }
        let gap_ms = if overlaps { self.random.u64(0..700) } else { lasts_ms + CATCH_UP_MS };
        let next_ms = self.now_ms + gap_ms + self.random.u64(0..800);
        self.schedule(next_ms, Event::NextFault);
        let over_ms = (self.now_ms + lasts_ms).max(self.request_log.last_fault_ms.unwrap_or(0));
        self.request_log.last_fault_ms = Some(over_ms);
    }

    pub fn stop_and_restart_store(&mut self, store: usize, lasts_ms: u64, power: bool, wipe: bool) {
        self.stop_store(store, power);
        if wipe {
            self.wiped_at_ms = Some(self.now_ms + lasts_ms);
            self.wipe_store(store);
        }
        self.schedule(self.now_ms + lasts_ms, Event::StartStore { store });
    }

    /// Stops all stores at the same time. On a power failure, as many disks may be lost as are tolerated.
    pub fn stop_all_stores(&mut self, power: bool) {
        let wiped = self.random.usize(0..self.stores.len());
        let wipe = power && self.random.bool() && self.may_lose_disk();
        for store in 0..self.stores.len() {
            let lasts_ms = self.random.u64(10..1_000);
            self.stop_and_restart_store(store, lasts_ms, power, wipe && store == wiped);
        }
    }

    pub fn lose_dispatcher(&mut self, lasts_ms: u64) {
        let at = self.random.usize(0..self.dispatchers.len());
        for id in self.dispatchers[at].leased_messages() {
            // Answers that it read and that no store has received are lost with it.
            self.request_log.messages.get_mut(&id).expect("known").answer_lost = true;
        }
        let notice_ms = if self.random.bool() { 2 } else { 1_000 };
        self.restart_dispatcher(at, notice_ms, lasts_ms);
    }

    /// Ends a dispatcher's process and starts another one in its place after `lasts_ms`.
    pub fn restart_dispatcher(&mut self, at: usize, notice_ms: u64, lasts_ms: u64) {
        let next = DispatcherId(self.dispatchers[at].id.0 + 100);
        self.dispatchers[at].restart_as(next);
        for link in self.links.open_at(End::Dispatcher(at)) {
            self.close(link, notice_ms);
        }
        self.schedule(self.now_ms + lasts_ms, Event::StartDispatcher { dispatcher: at });
    }

    /// Partitions one end from all others. Connections break if the partition lasts long enough.
    pub fn partition(&mut self, end: End, lasts_ms: u64) {
        for link in self.links.open_at(end) {
            self.partition_link(link, lasts_ms);
        }
    }

    fn partition_pair(&mut self, store: usize, lasts_ms: u64) {
        let other = (store + 1) % self.stores.len();
        self.partition_link(LinkId::between(End::Store(store), End::Store(other)), lasts_ms);
    }

    fn partition_link(&mut self, link: LinkId, lasts_ms: u64) {
        let until_ms = (self.now_ms + lasts_ms).max(self.links.get(link).partitioned_until_ms);
        self.links.get(link).partitioned_until_ms = until_ms;
        if lasts_ms > 800 {
            self.close(link, 800);
            self.links.get(link).free_at_ms = until_ms;
        }
    }

    fn reset_links(&mut self) {
        for store in 0..self.stores.len() {
            for link in self.links.open_at(End::Store(store)) {
                if self.random.bool() {
                    self.close(link, 2);
                }
            }
        }
    }

    /// Restarts a store in a planned way: it serves until its shards have been moved, then its process stops
    /// and starts again.
    pub fn restart_planned(&mut self, store: usize, serves_ms: u64, down_ms: u64) {
        self.stores[store].is_shutting_down = true;
        self.input(store, Input::ShutdownRequested);
        self.run_until(self.now_ms + serves_ms);
        self.stop_and_restart_store(store, down_ms, false, false);
        self.run_until(self.now_ms + down_ms);
    }
}
