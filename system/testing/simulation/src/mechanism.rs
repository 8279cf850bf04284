//! Mechanisms of the simulated shells that a test can switch off.

use std::collections::BTreeSet;

/// One mechanism; a scenario must fail without the one that it is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// A core machine serves its state only while a majority has confirmed it lately.
    QuorumContact,
    /// `Config.Get` waits for a confirmed read.
    ConfirmedRead,
    /// Of two orders on one version only the first in the agreed order is confirmed.
    LoserRefused,
    /// An order is confirmed only once every member of the chain holds it.
    CommitBeforeAnswer,
    /// A core machine tells that a record is durable only after its sync.
    SyncBeforePersisted,
    /// A core machine that starts replays its records over its last checkpoint.
    RecordsReplayed,
    /// A snapshot holds which configurations were accepted (left out by a machine of the tests' own).
    DigestsInSnapshot,
    /// A core machine whose disk was lost takes another identity.
    NewIdentityAfterWipe,
    /// A store appends what it hears from other replicas before it counts it as held.
    JoinAppended,
    /// A store that lost its disk is filled before it counts as a replica.
    FilledBeforeCounted,
    /// Names of requests are never used again.
    FreshRequestNames,
    /// An answer counts only on the connection on which its question went.
    AnswerOfSameConnection,
    /// A dispatcher takes only higher versions and epochs.
    OnlyNewerAdopted,
    /// A frozen or cut off holder of the lease stops acting when its lease ends.
    LeaseChecked,
    /// A member that leaves stays a full one until the view without it is agreed.
    LeaverLingers,
}

/// The mechanisms that are switched off; none in a true run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mutant {
    off: BTreeSet<Mechanism>,
}

impl Mutant {
    /// Everything works but this.
    pub fn without(mechanism: Mechanism) -> Mutant {
        Mutant { off: BTreeSet::from([mechanism]) }
    }

    /// Whether the mechanism works.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}
