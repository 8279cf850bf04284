//! Mechanisms of the simulated shells that a test can disable.

use std::collections::BTreeSet;

/// A mechanism; a scenario must fail without the one that it tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// A core machine serves its state only while a quorum has recently confirmed it.
    QuorumContact,
    /// `Config.Get` waits for a confirmed read.
    ConfirmedRead,
    /// Of two updates of one version only the first in the log is acknowledged.
    ConflictRejected,
    /// An update is acknowledged only once it is committed by every member of the chain.
    CommitBeforeResponse,
    /// A core machine reports a record as durable only after its sync.
    SyncBeforePersisted,
    /// A starting core machine replays the records since its last checkpoint.
    RecordsReplayed,
    /// A snapshot contains digests of the accepted configurations (omitted by a replicated machine of the tests).
    DigestsInSnapshot,
    /// A core machine whose disk was lost gets a new identity.
    NewIdentityAfterWipe,
    /// A store appends records merged from other replicas before it acknowledges them.
    MergeAppended,
    /// A store that lost its disk catches up before it counts as a replica.
    CatchUpBeforeReplica,
    /// Request ids are never reused.
    UniqueRequestIds,
    /// A response counts only on the connection of its request.
    ResponseOnSameConnection,
    /// A dispatcher adopts only higher versions and epochs.
    OnlyNewerAdopted,
    /// A frozen or partitioned lease holder stops acting when its lease expires.
    LeaseChecked,
    /// A member that leaves remains a full member until the view without it is agreed.
    GracefulLeave,
}

/// The set of disabled mechanisms; empty in a faithful run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mutant {
    disabled: BTreeSet<Mechanism>,
}

impl Mutant {
    /// Disables one mechanism.
    pub fn without(mechanism: Mechanism) -> Mutant {
        Mutant { disabled: BTreeSet::from([mechanism]) }
    }

    /// Whether a mechanism is enabled.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}
