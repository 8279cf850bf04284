//! Messages between nodes and records on disk.

use speedy::{Readable, Writable};

use crate::{AcceptedView, Ballot, Epoch, Member, View};

/// A message of the agreement on views. `instance` is the epoch that is being decided.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ViewMessage {
    /// Phase 1: asks the voters of the previous view for a promise.
    Prepare { instance: Epoch, ballot: Ballot },
    /// The promise, with what was accepted before and whether the voter holds all committed commands.
    Promise { instance: Epoch, ballot: Ballot, accepted: Option<AcceptedView>, complete: bool },
    /// A higher ballot was promised already.
    Refused { instance: Epoch, ballot: Ballot, promised: Ballot },
    /// Phase 2: asks the voters of the previous view to accept a view.
    Accept { instance: Epoch, ballot: Ballot, view: View },
    /// The view of this ballot was accepted.
    Accepted { instance: Epoch, ballot: Ballot },
    /// A decided view.
    Decided { view: View },
    /// Asks for the newest decided view, if it is newer than `known`.
    Query { known: Epoch },
    /// The sender agrees to found the system with these members.
    BootstrapAgreed { members: Vec<Member> },
}

/// What must be durable before the messages of the same [`Step`](crate::Step) leave.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum ViewRecord {
    /// This node agreed to found the system with these members, and will agree to no others.
    BootstrapAgreed { members: Vec<Member> },
    /// No lower ballot will be answered in this instance.
    Promised { instance: Epoch, ballot: Ballot },
    /// A view was accepted in this instance.
    Accepted { instance: Epoch, accepted: AcceptedView },
    /// A view is known to be decided.
    Decided { view: View },
}
