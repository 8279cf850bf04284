//! Paxos acceptor of a single instance.

use speedy::{Readable, Writable};

use crate::{Ballot, View};

/// A view together with the ballot at which it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct AcceptedView {
    /// Ballot at which the view was accepted.
    pub ballot: Ballot,
    /// The accepted view.
    pub view: View,
}

/// The highest promised ballot and the last accepted view of one node in one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub(crate) struct Acceptor {
    pub(crate) promised: Ballot,
    pub(crate) accepted: Option<AcceptedView>,
}

impl Acceptor {
    /// Promises to accept nothing at a ballot lower than `ballot`. Returns false if a higher ballot was promised already.
    pub(crate) fn promise(&mut self, ballot: Ballot) -> bool {
        if ballot < self.promised {
            return false;
        }
        self.promised = ballot;
        true
    }

    /// Accepts `view` at `ballot`. Returns false if a higher ballot was promised already.
    pub(crate) fn accept(&mut self, ballot: Ballot, view: View) -> bool {
        if !self.promise(ballot) {
            return false;
        }
        self.accepted = Some(AcceptedView { ballot, view });
        true
    }
}
