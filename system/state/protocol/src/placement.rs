//! The placement: which stores there are and which of them hold which shard. The core commits it, and every process reads
//! it.

use crate::address::Address;
use crate::identifiers::{Epoch, ShardId, StoreId};
use speedy::{Readable, Writable};
use xxhash_rust::xxh3::xxh3_64;

/// A store of the placement.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StoreEntry {
    /// Identity of its disk.
    pub id: StoreId,
    /// `nodeName` of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Where dispatchers and other stores connect.
    pub address: Address,
    /// It was healthy when the placement was decided.
    pub alive: bool,
}

/// Why a replica moves to another store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ChangeReason {
    /// The replica is lost, or the shard has fewer replicas than its target.
    Repair,
    /// The replica's store is retiring.
    Retire,
    /// The replica's store holds more replicas than others.
    Balance,
}

/// A change of a shard's replicas that is in progress.
///
/// Meanwhile the shard has two memberships, the one before and the one after; what needs a quorum needs one in each. So
/// the store that joins may become a replica, or not, at any time without losing what was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct MemberChange {
    /// The learner: it gets every write, and what was written before.
    pub joins: StoreId,
    /// The replica that it replaces; absent where it is one more.
    pub leaves: Option<StoreId>,
    /// Epoch of the placement in which this change began; identifies it.
    pub epoch: Epoch,
    /// Why.
    pub reason: ChangeReason,
}

/// A set of replicas and its quorums.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// The replicas.
    pub replicas: Vec<StoreId>,
    /// Replicas that must have synced a write before it is acknowledged.
    pub write_quorum: usize,
    /// Replicas that a new primary must have read: any so many overlap with every write quorum.
    pub read_quorum: usize,
}

impl Membership {
    fn new(replicas: Vec<StoreId>, tolerated_losses: u32) -> Self {
        let target = usize::try_from(tolerated_losses).unwrap_or(usize::MAX).saturating_add(1);
        let write_quorum = target.min(replicas.len());
        let read_quorum = replicas.len() + 1 - write_quorum;
        Membership { replicas, write_quorum, read_quorum }
    }

    /// Whether a store is one of the replicas.
    pub fn contains(&self, store: StoreId) -> bool {
        self.replicas.contains(&store)
    }
}

/// Primary and replicas of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ShardEntry {
    /// The replica that orders and accepts messages and grants leases.
    pub primary: StoreId,
    /// All replicas, the primary among them. The first is primary whenever it is stable.
    pub replicas: Vec<StoreId>,
    /// The change of the replicas that is in progress; one at a time.
    pub change: Option<MemberChange>,
    /// The primary's term: epoch of the placement in which the primary last changed.
    pub term: Epoch,
}

/// Replicas that a shard should have to tolerate the loss of f stores: 2f + 1.
///
/// A write is on f + 1 of them before it is acknowledged, so that after the loss of any f a replica is left that has it.
pub fn target_replicas(tolerated_losses: u32) -> usize {
    let losses = usize::try_from(tolerated_losses).unwrap_or(usize::MAX);
    losses.saturating_mul(2).saturating_add(1)
}

/// A placement; the default one, of epoch 0, has no stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Placement {
    /// Number of the placement; a higher one replaces every lower one.
    pub epoch: Epoch,
    /// Stores that may be lost at one time without losing a message.
    pub tolerated_losses: u32,
    /// Stores with a replica or a learner.
    pub stores: Vec<StoreEntry>,
    /// Indexed by shard number; their number never changes after the initial placement.
    pub shards: Vec<ShardEntry>,
}

impl Placement {
    /// A store of the placement.
    pub fn store(&self, id: StoreId) -> Option<&StoreEntry> {
        self.stores.iter().find(|store| store.id == id)
    }

    /// Replicas that a shard should have, by [`target_replicas`].
    pub fn target_replicas(&self) -> usize {
        target_replicas(self.tolerated_losses)
    }

    /// Primary and replicas of a shard; `None` for a number that it does not have.
    pub fn shard(&self, id: ShardId) -> Option<&ShardEntry> {
        self.shards.get(usize::from(id.0))
    }

    /// Shard of everything that one primary must handle, by the name of that thing (an order key, a service): its hash
    /// modulo the number of shards.
    ///
    /// `None` before the initial placement.
    pub fn shard_of(&self, name: &str) -> Option<ShardId> {
        let count = u64::try_from(self.shards.len()).ok().filter(|count| *count > 0)?;
        let number = xxh3_64(name.as_bytes()) % count;
        u16::try_from(number).ok().map(ShardId)
    }

    /// Shards whose primary this store is.
    pub fn shards_of_primary(&self, store: StoreId) -> impl Iterator<Item = ShardId> + '_ {
        let own = self.shards.iter().enumerate().filter(move |(_, shard)| shard.primary == store);
        own.filter_map(|(number, _)| u16::try_from(number).ok().map(ShardId))
    }
}

impl ShardEntry {
    /// The present membership and, while a change is in progress, the one after it.
    pub fn memberships(&self, tolerated_losses: u32) -> Vec<Membership> {
        let present = std::iter::once(self.replicas.clone());
        let after = self.change.map(|change| self.replicas_after(&change));
        present.chain(after).map(|replicas| Membership::new(replicas, tolerated_losses)).collect()
    }

    /// Replicas of the present membership that must have synced a write before it is acknowledged.
    pub fn write_quorum(&self, tolerated_losses: u32) -> usize {
        Membership::new(self.replicas.clone(), tolerated_losses).write_quorum
    }

    /// The replicas once a change is completed.
    pub fn replicas_after(&self, change: &MemberChange) -> Vec<StoreId> {
        let mut replicas = self.replicas.clone();
        match replicas.iter_mut().find(|store| Some(**store) == change.leaves) {
            Some(slot) => *slot = change.joins,
            None => replicas.push(change.joins),
        }
        replicas
    }

    /// The learner of the change in progress.
    pub fn learner(&self) -> Option<StoreId> {
        self.change.map(|change| change.joins)
    }
}
