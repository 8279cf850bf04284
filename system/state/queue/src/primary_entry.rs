//! The primary's entry of a message: the replication progress of each replica, the effects that wait for it,
//! and the stage of the message's delivery. Other replicas have no such entry.

use crate::api::ConnectionId;
use crate::scheduling::ReadyKey;
use crate::time::Instant;
use millrudder_protocol::{DispatcherId, Epoch, LeaseToken, MessageId, RequestNumber, StoreId};

/// How far one store has replicated a message, in the versions that the primary counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReplicaProgress {
    pub store: StoreId,
    /// Highest version that was sent on the current connection or is on the store's disk.
    pub sent: u32,
    /// Highest version that is on the store's disk.
    pub acked: u32,
}

/// A version of a message that was sent to another store or appended to the local disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SentVersion {
    pub id: MessageId,
    /// The primary's term. Versions of different terms are not comparable.
    pub term: Epoch,
    pub version: u32,
}

/// What follows once a version is durable, which means that it is on as many disks as the placement requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Tell the dispatcher that the message was accepted.
    AcknowledgeAccept { connection: ConnectionId, request: RequestNumber },
    /// Schedule a message that was accepted without a lease.
    Schedule,
    /// Notify the dispatcher of the grant with this token.
    Deliver { token: LeaseToken },
    /// Tell the dispatcher that the outcome of its lease is durable.
    AcknowledgeOutcome { connection: ConnectionId, token: LeaseToken },
    /// Schedule the next attempt, as the failed one has been counted.
    Retry,
    /// Let the next message of the order key and the call-back follow the message's end.
    ContinueAfterEnd,
    /// Tell the dispatcher that the message will not run.
    AcknowledgeWithdrawal { connection: ConnectionId },
}

/// An effect and the version that must be durable before it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingEffect {
    version: u32,
    effect: Effect,
}

/// The exclusive right of a dispatcher to deliver a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lease {
    pub dispatcher: DispatcherId,
    pub token: LeaseToken,
    /// The dispatcher was notified of the lease, or a former primary may have notified it.
    pub is_notified: bool,
    pub granted_at: Instant,
}

/// The stage of a message on the way to its delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The message, or a failed attempt of it, is not durable yet.
    Persisting,
    /// Another message of the same order key must end first.
    WaitingForKey,
    /// Its delay or back-off lasts until this time.
    BackingOff { until: Instant },
    /// In its service's ready queue.
    Ready(ReadyKey),
    /// Granted to a dispatcher under this lease.
    InFlight(Lease),
    /// It has ended; the end may not be durable yet.
    Ended,
}

/// The state of a message that only the shard's primary keeps.
#[derive(Clone, Debug)]
pub(crate) struct PrimaryEntry {
    /// Number of changes to the message in this term.
    version: u32,
    /// Highest version that is on as many disks as the placement requires.
    durable: u32,
    replica_progress: Vec<ReplicaProgress>,
    pending_effects: Vec<PendingEffect>,
    stage: Stage,
    /// Time before which the message must not be granted again, in addition to its delay.
    not_before: Instant,
    /// The dispatcher that last sent it for acceptance, and when.
    accepted_by: Option<Acceptor>,
    /// The dispatchers that may have run it.
    possible_runners: PossibleRunners,
    /// Number of leases in this term that ended without a known outcome.
    unknown_outcomes: u32,
    /// The dispatcher that last returned it without an outcome that counts. Another one is preferred for the
    /// next grant, if it has free credit.
    returned_by: Option<DispatcherId>,
    /// The dispatcher that last reported an outcome. It is preferred for the call-back.
    last_reporter: Option<DispatcherId>,
    /// The order key of an ended message. It stays in the key's queue until the end is durable, while the
    /// message itself may be freed earlier.
    ended_key: Option<String>,
}

/// The dispatchers that were notified of a lease, and so may have run the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PossibleRunners {
    /// No dispatcher was notified.
    Nobody,
    /// Only this dispatcher was notified.
    Only(DispatcherId),
    /// Several dispatchers were notified, or a former primary may have notified any.
    Unknown,
}

impl PossibleRunners {
    fn add(&mut self, dispatcher: DispatcherId) {
        *self = match *self {
            PossibleRunners::Nobody => PossibleRunners::Only(dispatcher),
            PossibleRunners::Only(known) if known == dispatcher => PossibleRunners::Only(known),
            PossibleRunners::Only(_) | PossibleRunners::Unknown => PossibleRunners::Unknown,
        };
    }

    /// Whether no dispatcher other than this one can have run the message.
    fn excludes_all_but(&self, dispatcher: Option<DispatcherId>) -> bool {
        match self {
            PossibleRunners::Nobody => true,
            PossibleRunners::Only(known) => Some(*known) == dispatcher,
            PossibleRunners::Unknown => false,
        }
    }
}

/// The dispatcher that received a message from its client, and when it sent it for acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Acceptor {
    pub dispatcher: DispatcherId,
    pub at: Instant,
}

impl PrimaryEntry {
    /// Creates the entry of a message without any counted version.
    pub fn new(stage: Stage, now: Instant) -> Self {
        PrimaryEntry {
            version: 0,
            durable: 0,
            replica_progress: Vec::new(),
            pending_effects: Vec::new(),
            stage,
            not_before: now,
            accepted_by: None,
            possible_runners: PossibleRunners::Nobody,
            unknown_outcomes: 0,
            returned_by: None,
            last_reporter: None,
            ended_key: None,
        }
    }

    /// The latest version: the number of changes in this term.
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Counts a change to the message.
    pub fn advance_version(&mut self) {
        self.version += 1;
    }

    /// Sets the state that a takeover found: the version assigned to the merged copy, and the replicas that
    /// have it.
    pub fn set_recovered(&mut self, version: u32, replica_progress: Vec<ReplicaProgress>) {
        self.version = version;
        self.replica_progress = replica_progress;
    }

    /// Whether the latest version is on as many disks as the placement requires.
    pub fn is_durable(&self) -> bool {
        self.durable >= self.version
    }

    /// Records that a version is on as many disks as the placement requires. Returns the effects that waited
    /// for it, in the order in which they were requested.
    pub fn advance_durable(&mut self, version: u32) -> Vec<Effect> {
        self.durable = self.durable.max(version);
        let durable = self.durable;
        let mut released = Vec::new();
        self.pending_effects.retain(|pending| {
            let is_released = pending.version <= durable;
            if is_released {
                released.push(pending.effect.clone());
            }
            !is_released
        });
        released
    }

    /// Defers an effect until the latest version is durable. Returns the effect if that is the case already.
    #[must_use]
    pub fn defer_until_durable(&mut self, effect: Effect) -> Option<Effect> {
        if self.is_durable() {
            return Some(effect);
        }
        self.pending_effects.push(PendingEffect { version: self.version, effect });
        None
    }

    pub fn has_pending_effects(&self) -> bool {
        !self.pending_effects.is_empty()
    }

    /// Replication progress of a store; zero if nothing was sent to it.
    pub fn progress_of(&self, store: StoreId) -> ReplicaProgress {
        let found = self.replica_progress.iter().find(|progress| progress.store == store);
        found.copied().unwrap_or(ReplicaProgress { store, sent: 0, acked: 0 })
    }

    fn progress_mut(&mut self, store: StoreId) -> &mut ReplicaProgress {
        let index = self.replica_progress.iter().position(|progress| progress.store == store);
        let index = index.unwrap_or_else(|| {
            self.replica_progress.push(ReplicaProgress { store, sent: 0, acked: 0 });
            self.replica_progress.len() - 1
        });
        &mut self.replica_progress[index]
    }

    /// Records that the latest version was sent to the store, or appended to the local disk.
    pub fn mark_sent(&mut self, store: StoreId) {
        let version = self.version;
        self.progress_mut(store).sent = version;
    }

    /// Records that everything up to `version` is on the store's disk.
    pub fn mark_acked(&mut self, store: StoreId, version: u32) {
        let progress = self.progress_mut(store);
        progress.acked = progress.acked.max(version);
    }

    /// Records that the store already has the latest version on its disk.
    pub fn mark_up_to_date(&mut self, store: StoreId) {
        let version = self.version;
        *self.progress_mut(store) = ReplicaProgress { store, sent: version, acked: version };
    }

    /// Discards what was in flight to the store when its connection closed, because it may not have arrived.
    pub fn forget_in_flight(&mut self, store: StoreId) {
        let progress = self.progress_mut(store);
        progress.sent = progress.acked;
    }

    /// Records that the store has no usable copy of the message.
    pub fn reset_progress(&mut self, store: StoreId) {
        *self.progress_mut(store) = ReplicaProgress { store, sent: 0, acked: 0 };
    }

    /// Stores that have the latest version on their disks.
    pub fn up_to_date_stores(&self) -> impl Iterator<Item = StoreId> + '_ {
        let up_to_date = self.replica_progress.iter().filter(|progress| progress.acked == self.version);
        up_to_date.map(|progress| progress.store)
    }

    /// Highest version that at least `quorum` of the `replicas` have on their disks.
    pub fn version_on(&self, replicas: &[StoreId], quorum: usize) -> u32 {
        let counted = self.replica_progress.iter().filter(|progress| replicas.contains(&progress.store));
        let mut acked: Vec<u32> = counted.map(|progress| progress.acked).collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        quorum.checked_sub(1).and_then(|at| acked.get(at).copied()).unwrap_or(0)
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    pub fn set_stage(&mut self, stage: Stage) {
        self.stage = stage;
    }

    pub fn is_in_flight(&self) -> bool {
        self.lease().is_some()
    }

    /// Time before which the message must not be granted again, in addition to its delay.
    pub fn not_before(&self) -> Instant {
        self.not_before
    }

    pub fn set_not_before(&mut self, not_before: Instant) {
        self.not_before = not_before;
    }

    /// The dispatcher that last sent the message for acceptance.
    pub fn accepted_by(&self) -> Option<Acceptor> {
        self.accepted_by
    }

    pub fn set_accepted_by(&mut self, acceptor: Acceptor) {
        self.accepted_by = Some(acceptor);
    }

    /// Records that the dispatcher is notified of its lease, so that it may run the message from now on.
    pub fn mark_notified(&mut self, lease: Lease) {
        self.stage = Stage::InFlight(Lease { is_notified: true, ..lease });
        self.possible_runners.add(lease.dispatcher);
    }

    /// Records that a former primary may have notified any dispatcher of a lease.
    pub fn set_runners_unknown(&mut self) {
        self.possible_runners = PossibleRunners::Unknown;
    }

    /// Whether no dispatcher other than this one can have run the message.
    pub fn can_only_have_run_at(&self, dispatcher: Option<DispatcherId>) -> bool {
        self.possible_runners.excludes_all_but(dispatcher)
    }

    /// Counts a lease that ended without a known outcome, and returns the new count.
    pub fn count_unknown_outcome(&mut self) -> u32 {
        self.unknown_outcomes = self.unknown_outcomes.saturating_add(1);
        self.unknown_outcomes
    }

    /// The dispatcher that last returned the message without an outcome that counts.
    pub fn returned_by(&self) -> Option<DispatcherId> {
        self.returned_by
    }

    pub fn set_returned_by(&mut self, dispatcher: Option<DispatcherId>) {
        self.returned_by = dispatcher;
    }

    /// The dispatcher that last reported an outcome of the message.
    pub fn last_reporter(&self) -> Option<DispatcherId> {
        self.last_reporter
    }

    pub fn set_last_reporter(&mut self, dispatcher: Option<DispatcherId>) {
        self.last_reporter = dispatcher;
    }

    /// Saves the order key in whose queue the message stays until its end is durable.
    pub fn set_ended_key(&mut self, key: String) {
        self.ended_key = Some(key);
    }

    pub fn take_ended_key(&mut self) -> Option<String> {
        self.ended_key.take()
    }

    /// The lease of a message that is in flight.
    pub fn lease(&self) -> Option<Lease> {
        match self.stage {
            Stage::InFlight(lease) => Some(lease),
            _ => None,
        }
    }
}
