//! Messages between nodes, and durable records.
//!
//! The encoding follows the order of fields and variants, so reordering them changes the format on the wire and on disk.

use speedy::{Readable, Writable};

use crate::{AcceptedView, Ballot, Epoch, Member, View};

/// Message of the agreement on views (single-decree Paxos). `instance` is the epoch of the view that is being decided.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ViewMessage {
    /// Phase 1a: asks the voters of the previous view for a promise.
    Prepare {
        /// Epoch that is being decided.
        instance: Epoch,
        /// The proposer's ballot.
        ballot: Ballot,
    },
    /// Phase 1b: the voter promises to accept nothing at a lower ballot.
    Promise {
        /// Epoch that is being decided.
        instance: Epoch,
        /// Highest ballot that the voter has promised.
        ballot: Ballot,
        /// View that the voter accepted last in this instance, with its ballot.
        accepted: Option<AcceptedView>,
        /// Whether the voter holds every committed command.
        complete: bool,
    },
    /// Refuses a request of phase 1 or 2, because the voter has promised a higher ballot.
    Refused {
        /// Epoch that is being decided.
        instance: Epoch,
        /// Ballot of the refused request.
        ballot: Ballot,
        /// Highest ballot that the voter has promised.
        promised: Ballot,
    },
    /// Phase 2a: asks the voters of the previous view to accept a view.
    Accept {
        /// Epoch that is being decided.
        instance: Epoch,
        /// The proposer's ballot.
        ballot: Ballot,
        /// The proposed view.
        view: View,
    },
    /// Phase 2b: the voter has accepted the view proposed at this ballot.
    Accepted {
        /// Epoch that is being decided.
        instance: Epoch,
        /// Ballot at which the view was accepted.
        ballot: Ballot,
    },
    /// Announces a decided view.
    Decided {
        /// The decided view.
        view: View,
    },
    /// Asks for the newest decided view.
    Query {
        /// Epoch of the newest view that the sender knows; only a newer view is sent in return.
        known: Epoch,
    },
    /// The sender agrees to a first view with these members.
    BootstrapAgreed {
        /// Members of the first view.
        members: Vec<Member>,
    },
}

/// Durable record. It must be durable before the messages of the same [`Step`](crate::Step) are sent.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ViewRecord {
    /// This node has agreed to a first view with these members and must not agree to another list.
    BootstrapAgreed {
        /// Members of the first view.
        members: Vec<Member>,
    },
    /// This node has promised to accept nothing at a lower ballot in this instance.
    Promised {
        /// Epoch that is being decided.
        instance: Epoch,
        /// Highest ballot that the voter has promised.
        ballot: Ballot,
    },
    /// This node has accepted a view in this instance.
    Accepted {
        /// Epoch that is being decided.
        instance: Epoch,
        /// The accepted view and its ballot.
        accepted: AcceptedView,
    },
    /// This node has learned that a view is decided.
    Decided {
        /// The decided view.
        view: View,
    },
}
