//! Terms in which this store is the primary of a shard: members, promises, the takeover, and the sequence
//! numbers and tokens issued.

use crate::api::ConnectionId;
use crate::entry::{Entry, EntryVersion};
use crate::primary_entry::{PrimaryEntry, SentVersion};
use millrudder_protocol::placement::{MemberChange, Membership, ShardEntry};
use millrudder_protocol::{Epoch, LeaseToken, MessageId, Sequence, ShardId, StoreId};
use std::collections::{BTreeMap, BTreeSet};

/// The version of a message that a replica had at the start of the term.
#[derive(Clone, Debug)]
pub(crate) struct RecoveredCopy {
    pub store: StoreId,
    pub entry_version: EntryVersion,
}

/// How often copies of a message from other replicas were appended to the local disk, and how many of these
/// appends are synced.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MergedRecord {
    pub appended: u32,
    pub synced: u32,
}

/// What is collected before the shard is served.
#[derive(Clone, Debug, Default)]
pub(crate) struct Takeover {
    /// The store's own promise of the term is on the local disk.
    pub is_own_promise_synced: bool,
    /// The versions that each replica has on its disk; for this store, those at the start of the term.
    pub recovered: BTreeMap<MessageId, Vec<RecoveredCopy>>,
    /// Messages of which other replicas reported more than the local disk had.
    pub merged: BTreeMap<MessageId, MergedRecord>,
    /// Withdrawals that dispatchers requested during the takeover.
    pub withdrawals: Vec<Withdrawal>,
}

/// A dispatcher's request that a message must not run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Withdrawal {
    pub connection: ConnectionId,
    pub id: MessageId,
}

/// All shards of which this store is the primary, with the term of each.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrimaryTerms {
    by_shard: BTreeMap<ShardId, PrimaryTerm>,
}

impl PrimaryTerms {
    pub fn get(&self, shard: ShardId) -> Option<&PrimaryTerm> {
        self.by_shard.get(&shard)
    }

    pub fn get_mut(&mut self, shard: ShardId) -> Option<&mut PrimaryTerm> {
        self.by_shard.get_mut(&shard)
    }

    /// The term of the shard, if it has this number.
    pub fn get_term_mut(&mut self, shard: ShardId, number: Epoch) -> Option<&mut PrimaryTerm> {
        self.by_shard.get_mut(&shard).filter(|term| term.number == number)
    }

    /// The takeover of a shard that is not served yet.
    pub fn takeover_mut(&mut self, shard: ShardId) -> Option<&mut Takeover> {
        self.by_shard.get_mut(&shard)?.takeover.as_mut()
    }

    pub fn insert(&mut self, shard: ShardId, term: PrimaryTerm) {
        self.by_shard.insert(shard, term);
    }

    pub fn remove(&mut self, shard: ShardId) {
        self.by_shard.remove(&shard);
    }

    /// Number of the term in which this store is the primary of the shard.
    pub fn number_of(&self, shard: ShardId) -> Option<Epoch> {
        self.by_shard.get(&shard).map(PrimaryTerm::number)
    }

    /// Shards of which this store is the primary, in ascending order.
    pub fn shards(&self) -> Vec<ShardId> {
        self.by_shard.keys().copied().collect()
    }

    /// Shards that this store serves, in ascending order.
    pub fn serving_shards(&self) -> Vec<ShardId> {
        let serving = self.by_shard.iter().filter(|(_, term)| term.is_serving());
        serving.map(|(shard, _)| *shard).collect()
    }

    /// Whether this store is the primary of the shard and its takeover is complete, so that it accepts, orders
    /// and grants messages.
    pub fn is_serving(&self, shard: ShardId) -> bool {
        self.by_shard.get(&shard).is_some_and(PrimaryTerm::is_serving)
    }

    /// Whether the version was counted in the current term of its shard.
    pub fn is_current(&self, sent: &SentVersion) -> bool {
        self.number_of(sent.id.shard) == Some(sent.term)
    }
}

/// The term in which this store is the primary of one shard.
#[derive(Clone, Debug)]
pub(crate) struct PrimaryTerm {
    number: Epoch,
    /// The current membership, followed by the one after the member change if one is in progress.
    memberships: Vec<Membership>,
    change: Option<MemberChange>,
    /// Other members that have promised this term and sent all their copies.
    promised_by: BTreeSet<StoreId>,
    /// Present until the shard is served.
    takeover: Option<Takeover>,
    /// The first message of the next comparison with the replicas.
    scrub_from: u64,
    /// Counters of the message sequence numbers and lease tokens issued in this term.
    next_sequence: u32,
    next_token: u32,
}

/// Number of low bits of a token or sequence number that hold the counter; the bits above hold the term.
const COUNTER_BITS: u32 = 32;

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

    pub fn number(&self) -> Epoch {
        self.number
    }

    /// The member change in progress.
    pub fn change(&self) -> Option<MemberChange> {
        self.change
    }

    pub fn is_serving(&self) -> bool {
        self.takeover.is_none()
    }

    pub fn takeover(&self) -> Option<&Takeover> {
        self.takeover.as_ref()
    }

    /// Ends the takeover and returns what it collected; the shard counts as served from now on.
    pub fn finish_takeover(&mut self) -> Option<Takeover> {
        self.takeover.take()
    }

    /// Adopts the members of a newer placement with the same term. Returns `false` if they have not changed.
    pub fn change_members(&mut self, new: PrimaryTerm) -> bool {
        if self.memberships == new.memberships && self.change == new.change {
            return false;
        }
        self.memberships = new.memberships;
        self.change = new.change;
        true
    }

    /// Adds the copy of a message that this store has at the start of the term.
    pub fn add_own_copy(&mut self, local_id: StoreId, entry: &Entry) {
        let copy = RecoveredCopy { store: local_id, entry_version: entry.entry_version() };
        if let Some(takeover) = &mut self.takeover {
            takeover.recovered.insert(entry.id, vec![copy]);
        }
    }

    /// The store's own promise of the term is on the local disk.
    pub fn set_own_promise_synced(&mut self) {
        if let Some(takeover) = &mut self.takeover {
            takeover.is_own_promise_synced = true;
        }
    }

    /// Records that a member has promised the term and sent all its copies.
    pub fn add_promise(&mut self, from: StoreId) {
        self.promised_by.insert(from);
    }

    pub fn has_promise_of(&self, store: StoreId) -> bool {
        self.promised_by.contains(&store)
    }

    /// Position of the next comparison with the replicas: its first message.
    pub fn scrub_from(&self) -> u64 {
        self.scrub_from
    }

    pub fn set_scrub_from(&mut self, unique: u64) {
        self.scrub_from = unique;
    }

    /// The replicas of the current membership.
    pub fn replicas(&self) -> &[StoreId] {
        self.memberships.first().map_or(&[], |membership| &membership.replicas)
    }

    pub fn is_replica(&self, store: StoreId) -> bool {
        self.replicas().contains(&store)
    }

    /// Whether the store is a replica, or will be one after the member change in progress.
    pub fn is_member(&self, store: StoreId) -> bool {
        self.memberships.iter().any(|membership| membership.contains(store))
    }

    /// The learner: a store that is catching up in order to become a replica.
    pub fn learner(&self) -> Option<StoreId> {
        self.change.map(|change| change.joins)
    }

    /// Whether the store is being replaced by another one.
    pub fn is_leaving(&self, store: StoreId) -> bool {
        self.change.is_some_and(|change| change.leaves == Some(store))
    }

    /// Whether enough members have promised the term that each acknowledged write is known to at least one of
    /// them. This store counts as one of them.
    pub fn has_read_quorum(&self, local_id: StoreId) -> bool {
        let has_promised = |store: &&StoreId| **store == local_id || self.promised_by.contains(store);
        let enough = |membership: &Membership| {
            membership.replicas.iter().filter(has_promised).count() >= membership.read_quorum
        };
        self.memberships.iter().all(enough)
    }

    /// Whether adding `store` to the `chosen` stores would help a write: a membership that contains `store` has
    /// no write quorum among the `chosen` ones.
    pub fn lacks_write_quorum(&self, chosen: &[StoreId], store: StoreId) -> bool {
        let has_too_few = |membership: &&Membership| {
            let count = chosen.iter().filter(|chosen| membership.contains(**chosen)).count();
            count < membership.write_quorum
        };
        self.memberships.iter().filter(|membership| membership.contains(store)).any(|m| has_too_few(&m))
    }

    /// Highest version of a message that is on a write quorum of the disks of each membership.
    pub fn durable_version(&self, primary: &PrimaryEntry) -> u32 {
        let versions = self
            .memberships
            .iter()
            .map(|membership| primary.version_on(&membership.replicas, membership.write_quorum));
        versions.min().unwrap_or(0)
    }

    pub fn next_sequence(&mut self) -> Sequence {
        let sequence = Sequence::new(self.number, self.next_sequence);
        self.next_sequence += 1;
        sequence
    }

    pub fn next_token(&mut self) -> LeaseToken {
        let token = LeaseToken::new(self.number, self.next_token);
        self.next_token += 1;
        token
    }

    /// Advances the counters past numbers of this term found in a message, so that numbers which a former
    /// incarnation of this process issued are not issued again.
    pub fn skip_issued_numbers(&mut self, sequence: Sequence, token: LeaseToken) {
        let counter_of = |number: u64| {
            let is_own = number >> COUNTER_BITS == self.number.0;
            u32::try_from(number & u64::from(u32::MAX)).ok().filter(|_| is_own).unwrap_or(0)
        };
        let (sequence, token) = (counter_of(sequence.0), counter_of(token.0));
        self.next_sequence = self.next_sequence.max(sequence.saturating_add(1));
        self.next_token = self.next_token.max(token.saturating_add(1));
    }
}
