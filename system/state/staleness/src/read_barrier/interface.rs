//! Inputs and outputs of the read barrier.

use crate::versions::{ConnectionId, StateVersions};

/// Number of a confirming read. Within one process, later reads have higher numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadNumber(pub u64);

impl ReadNumber {
    pub(super) fn next(self) -> ReadNumber {
        ReadNumber(self.0 + 1)
    }
}

/// A reading of a registrant's own monotonic clock, in milliseconds. Comparable only with readings of the same
/// registrant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RegistrantTime(pub u64);

/// The kind of a registrant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrantKind {
    /// A dispatcher; it receives all parts of the control state.
    Dispatcher,
    /// A store; it receives no worker lists.
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
        /// Versions of the control state that it already has.
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
        /// When it sent the check, by its own clock. The confirmation returns this value.
        sent_at: RegistrantTime,
    },
    /// This machine's state has changed and now has these versions.
    StateChanged(StateVersions),
    /// This machine has acquired or lost the controller lease.
    ControllerLease {
        /// Whether it now holds the lease.
        is_held: bool,
    },
    /// A read has completed. This machine's state now includes everything that was committed before the read started.
    ReadCompleted {
        /// Number of the read, as in [`Output::StartRead`].
        read: ReadNumber,
    },
    /// Time has passed.
    Tick,
    /// A connection to another core machine has opened, so that a read may complete that could not before.
    PeerOpened,
    /// This machine's monotonic clock has stalled, so the last confirmation and a read in flight may be older than they
    /// seem.
    ClockStalled,
    /// This machine is shutting down.
    ShuttingDown,
}

/// A part of the control state, which is always sent in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatePart {
    /// The current configuration.
    Configuration,
    /// The current placement of shards.
    Placement,
    /// The current worker list.
    Workers,
}

/// Outputs of the read barrier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Start a linearizable read, and report its completion as [`Input::ReadCompleted`].
    StartRead {
        /// Number of the read.
        read: ReadNumber,
    },
    /// Abandon a read in flight, whose result is no longer needed.
    AbandonRead {
        /// Number of the read.
        read: ReadNumber,
    },
    /// Send the current content of a part of the state.
    Send {
        /// The registrant's connection.
        connection: ConnectionId,
        /// The part to send.
        part: StatePart,
    },
    /// Confirm that everything committed before the registrant sent its check has been sent on this connection.
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
    /// Redirect a registrant to another core machine, because this one is shutting down.
    Redirect {
        /// The registrant's connection.
        connection: ConnectionId,
    },
}
