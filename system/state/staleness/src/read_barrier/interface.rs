//! Inputs and outputs of the read barrier.

use crate::versions::{ConnectionId, StateVersions};

/// Number of a confirming read; later reads of one process have higher numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadNumber(pub u64);

impl ReadNumber {
    pub(super) fn next(self) -> ReadNumber {
        ReadNumber(self.0 + 1)
    }
}

/// A reading of a registrant's own steady clock, in milliseconds; comparable only with others of the same registrant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RegistrantTime(pub u64);

/// The kind of a process that has registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrantKind {
    /// A dispatcher; it receives all parts of the control state.
    Dispatcher,
    /// A store; it receives no lists of workers.
    Store,
}

/// Inputs of the read barrier.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// A process has registered.
    Registered {
        /// Its connection.
        connection: ConnectionId,
        /// Its kind.
        kind: RegistrantKind,
        /// Versions of the control state that it has already.
        versions: StateVersions,
    },
    /// A registrant's connection has closed.
    Closed {
        /// The connection.
        connection: ConnectionId,
    },
    /// A registrant asks for a confirmation that its copy is current.
    StalenessCheck {
        /// Its connection.
        connection: ConnectionId,
        /// When it sent the check, by its own clock; the confirmation carries it back.
        sent_at: RegistrantTime,
    },
    /// This machine's state has these versions now.
    StateChanged(StateVersions),
    /// This machine has got or lost the controller's lease.
    ControllerLease {
        /// It holds the lease now.
        is_held: bool,
    },
    /// The read has completed; it sees all that was committed before its start.
    ReadCompleted {
        /// Number of the read, as in [`Output::StartRead`].
        read: ReadNumber,
    },
    /// Time has passed.
    Tick,
    /// A connection to another core machine has opened: a read that was started without one may complete now.
    PeerOpened,
    /// This machine's steady clock stood still: neither the last confirmation nor a read in flight is known to be recent.
    ClockStalled,
    /// This machine is shutting down.
    ShuttingDown,
}

/// A part of the control state that is sent as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatePart {
    /// The configuration in force.
    Configuration,
    /// The placement of shards in force.
    Placement,
    /// The list of workers in force.
    Workers,
}

/// Outputs of the read barrier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Start a linearizable read, and report its end as [`Input::ReadCompleted`].
    StartRead {
        /// Number of the read.
        read: ReadNumber,
    },
    /// Abandon a read in flight; its result is not needed any more.
    AbandonRead {
        /// Number of the read.
        read: ReadNumber,
    },
    /// Send a part of the state as it is now.
    Send {
        /// The registrant's connection.
        connection: ConnectionId,
        /// The part to send.
        part: StatePart,
    },
    /// Confirm that all that was committed when the registrant sent its check has been sent on this connection.
    Confirm {
        /// The registrant's connection.
        connection: ConnectionId,
        /// The time in the registrant's check.
        sent_at: RegistrantTime,
    },
    /// Notify a registrant that this machine cannot confirm its state.
    NoQuorum {
        /// The registrant's connection.
        connection: ConnectionId,
    },
    /// Redirect a registrant to another core machine, since this one shuts down.
    Redirect {
        /// The registrant's connection.
        connection: ConnectionId,
    },
}
