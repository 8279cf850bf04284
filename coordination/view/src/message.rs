//! Messages between nodes and durable records. The order of fields and variants is their form on the wire and on disk.

use speedy::{Readable, Writable};

use crate::{AcceptedView, Ballot, Epoch, Member, View};

/// A message of the agreement on views (Paxos, single decree). `instance` is the epoch that is being decided.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ViewMessage {
    /// Phase 1a: asks the voters of the previous view for a promise.
    Prepare {
        /// The epoch.
        instance: Epoch,
        /// The proposer's ballot.
        ballot: Ballot,
    },
    /// Phase 1b: the voter will answer no lower ballot.
    Promise {
        /// The epoch.
        instance: Epoch,
        /// The promised ballot.
        ballot: Ballot,
        /// What the voter has accepted before.
        accepted: Option<AcceptedView>,
        /// Whether the voter holds all committed commands.
        complete: bool,
    },
    /// The voter has promised a higher ballot already.
    Refused {
        /// The epoch.
        instance: Epoch,
        /// The refused ballot.
        ballot: Ballot,
        /// The promised ballot.
        promised: Ballot,
    },
    /// Phase 2a: asks the voters of the previous view to accept a view.
    Accept {
        /// The epoch.
        instance: Epoch,
        /// The proposer's ballot.
        ballot: Ballot,
        /// The proposed view.
        view: View,
    },
    /// Phase 2b: the voter has accepted the view of this ballot.
    Accepted {
        /// The epoch.
        instance: Epoch,
        /// The accepted ballot.
        ballot: Ballot,
    },
    /// A view was decided.
    Decided {
        /// The view.
        view: View,
    },
    /// Asks for the newest decided view.
    Query {
        /// Only a newer view than that of this epoch is sent.
        known: Epoch,
    },
    /// The sender agrees to a first view with these members.
    BootstrapAgreed {
        /// The members.
        members: Vec<Member>,
    },
}

/// What must be durable before the messages of the same [`Step`](crate::Step) leave.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ViewRecord {
    /// This node has agreed to a first view with these members, and will agree to no others.
    BootstrapAgreed {
        /// The members.
        members: Vec<Member>,
    },
    /// No lower ballot will be answered in this instance.
    Promised {
        /// The epoch.
        instance: Epoch,
        /// The promised ballot.
        ballot: Ballot,
    },
    /// A view was accepted in this instance.
    Accepted {
        /// The epoch.
        instance: Epoch,
        /// The view with its ballot.
        accepted: AcceptedView,
    },
    /// A view is known to be decided.
    Decided {
        /// The view.
        view: View,
    },
}
