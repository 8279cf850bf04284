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
    Accepted { connection: ConnectionId, request: RequestNumber },
    /// A message that was accepted without a lease may be scheduled.
    Schedule,
    /// The grant under this token may be used.
    Deliver { token: LeaseToken },
    /// Tell the dispatcher that the lease's outcome is durable.
    Recorded { connection: ConnectionId, token: LeaseToken },
    /// The failed attempt is counted: the next one may be scheduled.
    Retry,
    /// The message's end is durable: the next one of its key, and its call-back, may follow.
    Ended,
    /// Tell the dispatcher that the message does not run.
    Withdrawn { connection: ConnectionId },
}

/// An effect and the version it waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PendingEffect {
    pub version: u32,
    pub effect: Effect,
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
    pub version: u32,
    /// Highest version that is on as many disks as promised.
    pub durable: u32,
    pub replica_progress: Vec<ReplicaProgress>,
    pub pending_effects: Vec<PendingEffect>,
    pub stage: Stage,
    /// Time before which it must not be granted again, besides its delay.
    pub not_before: Instant,
    /// The dispatcher that last asked for it to be accepted, and when.
    pub accepted_by: Option<Acceptor>,
    /// Dispatchers that may have run it.
    pub possible_runners: PossibleRunners,
    /// Leases of this term that ended without a known outcome of the run.
    pub unknown_ends: u32,
    /// The dispatcher that returned it last; it goes to another one next if that has capacity.
    pub returned_by: Option<DispatcherId>,
    /// The dispatcher that last reported an outcome; the call-back goes there.
    pub reporter: Option<DispatcherId>,
    /// Order key in whose queue it is until its end is durable; the message itself may be freed before.
    pub ended_key: Option<String>,
}

/// Dispatchers that were notified of a lease, and so may have run the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PossibleRunners {
    /// None was.
    Nobody,
    /// No other than this one was.
    One(DispatcherId),
    /// Several were, or a former primary may have notified any.
    Unknown,
}

impl PossibleRunners {
    pub fn add(&mut self, dispatcher: DispatcherId) {
        *self = match *self {
            PossibleRunners::Nobody => PossibleRunners::One(dispatcher),
            PossibleRunners::One(known) if known == dispatcher => PossibleRunners::One(known),
            PossibleRunners::One(_) | PossibleRunners::Unknown => PossibleRunners::Unknown,
        };
    }

    /// No other dispatcher than this one can have run it.
    pub fn is_at_most(&self, dispatcher: Option<DispatcherId>) -> bool {
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

    /// Progress of a replica; of none yet where nothing was sent to it.
    pub fn progress_mut(&mut self, store: StoreId) -> &mut ReplicaProgress {
        let at = self.replica_progress.iter().position(|progress| progress.store == store);
        let at = at.unwrap_or_else(|| {
            self.replica_progress.push(ReplicaProgress { store, sent: 0, acked: 0 });
            self.replica_progress.len() - 1
        });
        &mut self.replica_progress[at]
    }

    pub fn progress_of(&self, store: StoreId) -> ReplicaProgress {
        let found = self.replica_progress.iter().find(|progress| progress.store == store);
        found.copied().unwrap_or(ReplicaProgress { store, sent: 0, acked: 0 })
    }

    /// Highest version that at least `quorum` of `replicas` have on their disks.
    pub fn version_on(&self, replicas: &[StoreId], quorum: usize) -> u32 {
        let counted = self.replica_progress.iter().filter(|progress| replicas.contains(&progress.store));
        let mut acked: Vec<u32> = counted.map(|progress| progress.acked).collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        quorum.checked_sub(1).and_then(|at| acked.get(at).copied()).unwrap_or(0)
    }

    /// Effects that `self.durable` allows, in the order in which they were asked for.
    pub fn take_allowed_effects(&mut self) -> Vec<Effect> {
        let durable = self.durable;
        let mut taken = Vec::new();
        self.pending_effects.retain(|waiting| {
            let allowed = waiting.version <= durable;
            if allowed {
                taken.push(waiting.effect.clone());
            }
            !allowed
        });
        taken
    }

    pub fn lease(&self) -> Option<Lease> {
        match self.stage {
            Stage::InFlight(lease) => Some(lease),
            _ => None,
        }
    }
}
