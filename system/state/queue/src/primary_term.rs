//! What a store keeps of a shard that it is primary of.

use crate::api::ConnectionId;
use crate::entry::EntryVersion;
use crate::primary_entry::PrimaryEntry;
use millrudder_protocol::placement::{MemberChange, Membership, ShardEntry};
use millrudder_protocol::{Epoch, LeaseToken, MessageId, Sequence, StoreId};
use std::collections::{BTreeMap, BTreeSet};

/// What a replica knew of a message at the start of the reign.
#[derive(Clone, Debug)]
pub(crate) struct RecoveredCopy {
    pub store: StoreId,
    pub entry_version: EntryVersion,
}

/// How often what others told of a message was appended to the local disk, and how many of these appends are synced.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MergedRecord {
    pub appended: u32,
    pub synced: u32,
}

/// What is gathered before the shard is served.
#[derive(Clone, Debug, Default)]
pub(crate) struct Takeover {
    /// The promise to itself is on the local disk.
    pub is_own_promise_synced: bool,
    /// What each replica has on its disk; of this store, what it had at the start.
    pub recovered: BTreeMap<MessageId, Vec<RecoveredCopy>>,
    /// Messages of which others told more than the local disk had.
    pub merged: BTreeMap<MessageId, MergedRecord>,
    /// What dispatchers withdrew meanwhile.
    pub withdrawals: Vec<Withdrawal>,
}

/// A dispatcher's wish that a message does not run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Withdrawal {
    pub connection: ConnectionId,
    pub id: MessageId,
}

/// A shard that this store is primary of.
#[derive(Clone, Debug)]
pub(crate) struct PrimaryTerm {
    pub number: Epoch,
    /// The membership in force, and the one after the change that is under way.
    pub memberships: Vec<Membership>,
    pub change: Option<MemberChange>,
    /// Other replicas that told all they knew in this reign.
    pub promised_by: BTreeSet<StoreId>,
    /// Present until the shard is served.
    pub takeover: Option<Takeover>,
    /// Message from which on the next comparison with replicas goes.
    pub scrub_from: u64,
    /// Of sequences and tokens given in this reign.
    next_sequence: u32,
    next_token: u32,
}

/// Bits of a token or sequence below the epoch.
const COUNT_BITS: u32 = 32;

impl PrimaryTerm {
    pub fn new(entry: &ShardEntry, tolerated_losses: u32) -> Self {
        PrimaryTerm {
            number: entry.term,
            memberships: entry.memberships(tolerated_losses),
            change: entry.change,
            promised_by: BTreeSet::new(),
            takeover: Some(Takeover::default()),
            scrub_from: 0,
            next_sequence: 1,
            next_token: 1,
        }
    }

    pub fn is_serving(&self) -> bool {
        self.takeover.is_none()
    }

    /// Replicas of the membership in force.
    pub fn replicas(&self) -> &[StoreId] {
        self.memberships.first().map_or(&[], |membership| &membership.replicas)
    }

    pub fn is_replica(&self, store: StoreId) -> bool {
        self.replicas().contains(&store)
    }

    /// It is a replica, or will be one.
    pub fn is_member(&self, store: StoreId) -> bool {
        self.memberships.iter().any(|membership| membership.contains(store))
    }

    /// The store that is being filled.
    pub fn learner(&self) -> Option<StoreId> {
        self.change.map(|change| change.joins)
    }

    /// Its place goes to another store.
    pub fn is_leaving(&self, store: StoreId) -> bool {
        self.change.is_some_and(|change| change.leaves == Some(store))
    }

    /// So many members were heard that one of them holds each write that was acknowledged; `local_id` hears itself.
    pub fn has_read_quorum(&self, local_id: StoreId) -> bool {
        let has_promised = |store: &&StoreId| **store == local_id || self.promised_by.contains(store);
        let enough = |membership: &Membership| {
            membership.replicas.iter().filter(has_promised).count() >= membership.read_quorum
        };
        self.memberships.iter().all(enough)
    }

    /// Some membership that `store` is in lacks a write quorum among the `chosen`.
    pub fn lacks_write_quorum(&self, chosen: &[StoreId], store: StoreId) -> bool {
        let has_too_few = |membership: &&Membership| {
            let count = chosen.iter().filter(|chosen| membership.contains(**chosen)).count();
            count < membership.write_quorum
        };
        self.memberships.iter().filter(|membership| membership.contains(store)).any(|m| has_too_few(&m))
    }

    /// Highest version of a message that is on as many disks of each membership as promised.
    pub fn durable_version(&self, primary: &PrimaryEntry) -> u32 {
        let versions = self
            .memberships
            .iter()
            .map(|membership| primary.version_on(&membership.replicas, membership.write_quorum));
        versions.min().unwrap_or(0)
    }

    pub fn sequence(&mut self) -> Sequence {
        let sequence = Sequence::new(self.number, self.next_sequence);
        self.next_sequence += 1;
        sequence
    }

    pub fn token(&mut self) -> LeaseToken {
        let token = LeaseToken::new(self.number, self.next_token);
        self.next_token += 1;
        token
    }

    /// Gives no number again that a former life of this process gave in the same epoch.
    pub fn count_past(&mut self, sequence: Sequence, token: LeaseToken) {
        let count_of = |number: u64| {
            let is_own = number >> COUNT_BITS == self.number.0;
            u32::try_from(number & u64::from(u32::MAX)).ok().filter(|_| is_own).unwrap_or(0)
        };
        let (sequence, token) = (count_of(sequence.0), count_of(token.0));
        self.next_sequence = self.next_sequence.max(sequence.saturating_add(1));
        self.next_token = self.next_token.max(token.saturating_add(1));
    }
}
