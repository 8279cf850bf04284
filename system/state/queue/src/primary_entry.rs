//! What only a shard's primary keeps of a message: the progress of each replica, the effects that wait for it, and the
//! stage of its delivery.

use crate::api::ConnectionId;
use crate::scheduling::ReadyKey;
use crate::time::Instant;
use millrudder_protocol::{DispatcherId, Epoch, LeaseToken, MessageId, RequestNumber, StoreId};

/// What a store was sent of a message and has on its disk, as versions that the primary counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReplicaProgress {
    pub store: StoreId,
    /// Everything up to this version was sent on the present connection or is on the disk.
    pub sent: u32,
    /// Everything up to this version is on the disk.
    pub acked: u32,
}

/// A version of a message that was sent to a store or appended to the local disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SentVersion {
    pub id: MessageId,
    /// The primary's term, in which versions are counted.
    pub term: Epoch,
    pub version: u32,
}

/// What is to be done once a version is on as many disks as promised.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Tell the dispatcher that the message is accepted.
    AcknowledgeAccept { connection: ConnectionId, request: RequestNumber },
    /// A message that was accepted without a lease may be scheduled.
    Schedule,
    /// The grant under this token may be used.
    Deliver { token: LeaseToken },
    /// Tell the dispatcher that the lease's outcome is durable.
    AcknowledgeOutcome { connection: ConnectionId, token: LeaseToken },
    /// The failed attempt is counted: the next one may be scheduled.
    Retry,
    /// The message's end is durable: the next one of its key, and its call-back, may follow.
    ContinueAfterEnd,
    /// Tell the dispatcher that the message does not run.
    AcknowledgeWithdrawal { connection: ConnectionId },
}

/// An effect and the version it waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingEffect {
    version: u32,
    effect: Effect,
}

/// A delivery that a dispatcher may make now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Lease {
    pub dispatcher: DispatcherId,
    pub token: LeaseToken,
    /// The dispatcher was notified of it, or may have been by a former primary.
    pub is_notified: bool,
    pub granted_at: Instant,
}

/// Stage of a message's delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waits for its first disks, or for those of a failed attempt.
    Persisting,
    /// Behind others of its order key.
    WaitingForKey,
    /// Its delay or back-off is not over.
    BackingOff { until: Instant },
    /// In its service's ready queue.
    Ready(ReadyKey),
    /// Granted to a dispatcher.
    InFlight(Lease),
    /// It has ended, which may not be durable yet.
    Ended,
}

/// What only a shard's primary keeps of a message.
#[derive(Clone, Debug)]
pub(crate) struct PrimaryEntry {
    /// Counts what became known in this term.
    version: u32,
    /// Highest version that is on as many disks as promised.
    durable: u32,
    replica_progress: Vec<ReplicaProgress>,
    pending_effects: Vec<PendingEffect>,
    stage: Stage,
    /// Time before which it must not be granted again, besides its delay.
    not_before: Instant,
    /// The dispatcher that last asked for it to be accepted, and when.
    accepted_by: Option<Acceptor>,
    /// Dispatchers that may have run it.
    possible_runners: PossibleRunners,
    /// Leases of this term that ended without a known outcome of the run.
    unknown_ends: u32,
    /// The dispatcher that returned it last; it goes to another one next if that has capacity.
    returned_by: Option<DispatcherId>,
    /// The dispatcher that last reported an outcome; the call-back goes there.
    reporter: Option<DispatcherId>,
    /// Order key in whose queue it is until its end is durable; the message itself may be freed before.
    ended_key: Option<String>,
}

/// Dispatchers that were notified of a lease, and so may have run the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PossibleRunners {
    /// None was.
    Nobody,
    /// No other than this one was.
    One(DispatcherId),
    /// Several were, or a former primary may have notified any.
    Unknown,
}

impl PossibleRunners {
    fn add(&mut self, dispatcher: DispatcherId) {
        *self = match *self {
            PossibleRunners::Nobody => PossibleRunners::One(dispatcher),
            PossibleRunners::One(known) if known == dispatcher => PossibleRunners::One(known),
            PossibleRunners::One(_) | PossibleRunners::Unknown => PossibleRunners::Unknown,
        };
    }

    /// No other dispatcher than this one can have run it.
    fn is_at_most(&self, dispatcher: Option<DispatcherId>) -> bool {
        match self {
            PossibleRunners::Nobody => true,
            PossibleRunners::One(known) => Some(*known) == dispatcher,
            PossibleRunners::Unknown => false,
        }
    }
}

/// The dispatcher that received a message from its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Acceptor {
    pub dispatcher: DispatcherId,
    pub at: Instant,
}

impl PrimaryEntry {
    /// Of a message of which no version was counted yet.
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
            unknown_ends: 0,
            returned_by: None,
            reporter: None,
            ended_key: None,
        }
    }

    /// The latest version: the count of what became known in this term.
    pub fn version(&self) -> u32 {
        self.version
    }

    /// Something became known: there is a new version.
    pub fn advance_version(&mut self) {
        self.version += 1;
    }

    /// Sets what a takeover found: the version that its copies count as, and the replicas that have one.
    pub fn set_recovered(&mut self, version: u32, replica_progress: Vec<ReplicaProgress>) {
        self.version = version;
        self.replica_progress = replica_progress;
    }

    /// The latest version is on as many disks as promised.
    pub fn is_durable(&self) -> bool {
        self.durable >= self.version
    }

    /// This version is on as many disks as promised; gives the effects that waited for it, in the order in which they
    /// were asked for.
    pub fn advance_durable(&mut self, version: u32) -> Vec<Effect> {
        self.durable = self.durable.max(version);
        let durable = self.durable;
        let mut allowed = Vec::new();
        self.pending_effects.retain(|pending| {
            let is_allowed = pending.version <= durable;
            if is_allowed {
                allowed.push(pending.effect.clone());
            }
            !is_allowed
        });
        allowed
    }

    /// Lets `effect` follow once the latest version is durable; gives it back if that is so already.
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

    /// Progress of a replica; all zero where nothing was sent to it.
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

    /// The latest version was sent to the store, or appended to the local disk.
    pub fn mark_sent(&mut self, store: StoreId) {
        let version = self.version;
        self.progress_mut(store).sent = version;
    }

    /// Everything up to `version` is on the store's disk.
    pub fn mark_acked(&mut self, store: StoreId, version: u32) {
        let progress = self.progress_mut(store);
        progress.acked = progress.acked.max(version);
    }

    /// The store turned out to have the latest version on its disk.
    pub fn mark_up_to_date(&mut self, store: StoreId) {
        let version = self.version;
        *self.progress_mut(store) = ReplicaProgress { store, sent: version, acked: version };
    }

    /// What was in flight to the store may not have arrived.
    pub fn forget_in_flight(&mut self, store: StoreId) {
        let progress = self.progress_mut(store);
        progress.sent = progress.acked;
    }

    /// The store has nothing of the message.
    pub fn reset_progress(&mut self, store: StoreId) {
        *self.progress_mut(store) = ReplicaProgress { store, sent: 0, acked: 0 };
    }

    /// Stores that have the latest version on their disks.
    pub fn up_to_date_stores(&self) -> impl Iterator<Item = StoreId> + '_ {
        let up_to_date = self.replica_progress.iter().filter(|progress| progress.acked == self.version);
        up_to_date.map(|progress| progress.store)
    }

    /// Highest version that at least `quorum` of `replicas` have on their disks.
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

    /// Time before which it must not be granted again, besides its delay.
    pub fn not_before(&self) -> Instant {
        self.not_before
    }

    pub fn set_not_before(&mut self, not_before: Instant) {
        self.not_before = not_before;
    }

    /// The dispatcher that last asked for it to be accepted.
    pub fn accepted_by(&self) -> Option<Acceptor> {
        self.accepted_by
    }

    pub fn set_accepted_by(&mut self, acceptor: Acceptor) {
        self.accepted_by = Some(acceptor);
    }

    /// The dispatcher is notified of its lease: from now on it may have run the message.
    pub fn mark_notified(&mut self, lease: Lease) {
        self.stage = Stage::InFlight(Lease { is_notified: true, ..lease });
        self.possible_runners.add(lease.dispatcher);
    }

    /// A former primary may have notified any dispatcher of a lease.
    pub fn set_runners_unknown(&mut self) {
        self.possible_runners = PossibleRunners::Unknown;
    }

    /// No other dispatcher than this one can have run it.
    pub fn was_run_at_most_by(&self, dispatcher: Option<DispatcherId>) -> bool {
        self.possible_runners.is_at_most(dispatcher)
    }

    /// A lease ended without a known outcome; gives how many have.
    pub fn count_unknown_end(&mut self) -> u32 {
        self.unknown_ends = self.unknown_ends.saturating_add(1);
        self.unknown_ends
    }

    /// The dispatcher that returned it last.
    pub fn returned_by(&self) -> Option<DispatcherId> {
        self.returned_by
    }

    pub fn set_returned_by(&mut self, dispatcher: Option<DispatcherId>) {
        self.returned_by = dispatcher;
    }

    /// The dispatcher that last reported an outcome.
    pub fn reporter(&self) -> Option<DispatcherId> {
        self.reporter
    }

    pub fn set_reporter(&mut self, dispatcher: Option<DispatcherId>) {
        self.reporter = dispatcher;
    }

    /// Notes the order key in whose queue it is until its end is durable.
    pub fn set_ended_key(&mut self, key: String) {
        self.ended_key = Some(key);
    }

    pub fn take_ended_key(&mut self) -> Option<String> {
        self.ended_key.take()
    }

    /// The lease under which it is in flight.
    pub fn lease(&self) -> Option<Lease> {
        match self.stage {
            Stage::InFlight(lease) => Some(lease),
            _ => None,
        }
    }
}
