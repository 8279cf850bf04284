//! Which store machines there are and which of them hold which shard: agreed on the core, read by everybody.

use crate::address::Address;
use crate::identifiers::{Epoch, ShardId, StoreId};
use speedy::{Readable, Writable};
use xxhash_rust::xxh3::xxh3_64;

/// A store machine of the placement.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StoreEntry {
    pub id: StoreId,
    /// `nodeName` of the machine.
    pub name: String,
    pub zone: String,
    /// Where dispatchers and other stores connect.
    pub address: Address,
    /// It answers the core's heartbeats; a store that does not is no primary.
    pub alive: bool,
}

/// Why a replica's place goes to another store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ChangeReason {
    /// The replica is lost, or the shard has fewer replicas than wanted.
    Repair,
    /// The replica's store is to be emptied.
    Retire,
    /// The replica's store holds more than its share.
    Balance,
}

/// A place of a shard on its way from one store to another.
///
/// While it is under way the shard has two memberships, the one before and the one after; what needs a quorum needs
/// one in each. So the store that joins may be counted or not at any moment without losing what was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct MemberChange {
    /// The learner: it gets every write and is filled with what was written before.
    pub joins: StoreId,
    /// The replica whose place it takes; absent where it is one more.
    pub leaves: Option<StoreId>,
    /// Epoch of the placement in which this change began; identifies it.
    pub epoch: Epoch,
    pub reason: ChangeReason,
}

/// A set of replicas and how many of them count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    pub replicas: Vec<StoreId>,
    /// Disks that must hold a write before it is acknowledged.
    pub write_quorum: usize,
    /// Replicas that a new primary must have read: among any so many is one that holds each acknowledged write.
    pub read_quorum: usize,
}

impl Membership {
    fn new(replicas: Vec<StoreId>, tolerated_losses: u32) -> Self {
        let wanted = usize::try_from(tolerated_losses).unwrap_or(usize::MAX).saturating_add(1);
        let write_quorum = wanted.min(replicas.len());
        let read_quorum = replicas.len() + 1 - write_quorum;
        Membership { replicas, write_quorum, read_quorum }
    }

    pub fn contains(&self, store: StoreId) -> bool {
        self.replicas.contains(&store)
    }
}

/// Replicas of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ShardEntry {
    /// The one that orders, accepts and grants.
    pub primary: StoreId,
    /// All that hold it, the primary among them.
    pub replicas: Vec<StoreId>,
    /// The one change of the replicas that is under way.
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

/// The agreed placement; the default one, of epoch 0, has no stores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Placement {
    pub epoch: Epoch,
    /// Store machines with a disk that may be lost at one time.
    pub tolerated_losses: u32,
    pub stores: Vec<StoreEntry>,
    /// Indexed by shard number; never changes its length once founded.
    pub shards: Vec<ShardEntry>,
}

impl Placement {
    pub fn store(&self, id: StoreId) -> Option<&StoreEntry> {
        self.stores.iter().find(|store| store.id == id)
    }

    /// Replicas that a shard should have, by [`target_replicas`].
    pub fn target_replicas(&self) -> usize {
        target_replicas(self.tolerated_losses)
    }

    pub fn shard(&self, id: ShardId) -> Option<&ShardEntry> {
        self.shards.get(usize::from(id.0))
    }

    /// Shard of everything that must go through one place, by the name of that thing (an order key, a service).
    ///
    /// `None` before the placement is founded.
    pub fn shard_of(&self, name: &str) -> Option<ShardId> {
        let count = u64::try_from(self.shards.len()).ok().filter(|count| *count > 0)?;
        let number = xxh3_64(name.as_bytes()) % count;
        u16::try_from(number).ok().map(ShardId)
    }

    /// Shards whose primary this store is.
    pub fn shards_of_primary(&self, store: StoreId) -> impl Iterator<Item = ShardId> + '_ {
        let mine = self.shards.iter().enumerate().filter(move |(_, shard)| shard.primary == store);
        mine.filter_map(|(number, _)| u16::try_from(number).ok().map(ShardId))
    }
}

impl ShardEntry {
    /// The membership in force and, while a change is under way, the one after it.
    pub fn memberships(&self, tolerated_losses: u32) -> Vec<Membership> {
        let now = std::iter::once(self.replicas.clone());
        let after = self.change.map(|change| self.replicas_after(&change));
        now.chain(after).map(|replicas| Membership::new(replicas, tolerated_losses)).collect()
    }

    /// Disks of the replicas in force that must hold a write before it is acknowledged.
    pub fn write_quorum(&self, tolerated_losses: u32) -> usize {
        Membership::new(self.replicas.clone(), tolerated_losses).write_quorum
    }

    /// The replicas once a change is done.
    pub fn replicas_after(&self, change: &MemberChange) -> Vec<StoreId> {
        let mut replicas = self.replicas.clone();
        match replicas.iter_mut().find(|store| Some(**store) == change.leaves) {
            Some(place) => *place = change.joins,
            None => replicas.push(change.joins),
        }
        replicas
    }

    /// The store that is being filled.
    pub fn learner(&self) -> Option<StoreId> {
        self.change.map(|change| change.joins)
    }
}
