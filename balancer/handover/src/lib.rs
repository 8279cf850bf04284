//! Upgrade under load: a serving process (the predecessor) passes the serving role to a new process (the successor),
//! and takes it back if the successor fails to start or fails its probation.
//!
//! Two state machines without I/O or a clock: they take events and the current time, and return actions. The process
//! that has the serving role accepts connections. The predecessor stops accepting before it sends the message that
//! passes the role; the successor starts only when it gets that message, or when the predecessor is dead.
//! `tests/model.rs` searches every order of lost, duplicated and late messages, and of process deaths.
//!
//! The caller must carry out the actions in order, and must report [`Event::PeerDied`] only if the other process is
//! known to be dead (waitpid, pidfd). A closed socket is not enough: it does not show which process accepts.

mod messages;
mod predecessor;
mod successor;
mod wire;

pub use messages::{Callback, Message, Outcome, PeerKind, ProbationReport, State, VERSION};
pub use predecessor::{Predecessor, PredecessorPhase};
pub use successor::{Successor, SuccessorPhase};
pub use wire::{encode, Decoder, WireError, FRAME_LIMIT};

/// Time limits of the steps (ms), and who controls the upgrade.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// For the new process to start and send its hello; then again, for it to check its settings.
    pub start: f64,
    /// For the new process to load the state that it was sent and report that it is ready.
    pub load: f64,
    /// From the predecessor's last accept to the successor's report that it accepts. Neither process accepts in
    /// between; new connections wait in the listeners' backlogs.
    pub commit: f64,
    /// How long the successor's error rate is watched.
    pub probation: f64,
    /// For the successor to return the serving role; after that it is killed.
    pub take_back: f64,
    /// For the jobs of the process that stopped serving to end.
    pub drain: f64,
    /// Whether the platform starts the new process and ends the old one. Then neither process kills the other or
    /// takes the serving role back. If they lose contact, both accept, on the listening socket that they share.
    pub platform_managed: bool,
}

impl Limits {
    /// Limits for an upgrade by the platform. If the predecessor does not hand over in time, the new process serves
    /// alone; that leaves it well within the 6 s in which the platform expects it to report ready.
    pub fn platform() -> Self {
        let (start, load, commit) = (1_500.0, 1_500.0, 500.0);
        Limits { start, load, commit, probation: 60_000.0, platform_managed: true, ..Limits::default() }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            start: 10_000.0,
            load: 5_000.0,
            commit: 500.0,
            probation: 3_000.0,
            take_back: 250.0,
            drain: 10_000.0,
            platform_managed: false,
        }
    }
}

/// Input of either state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Message(Message),
    /// The other process is dead.
    PeerDied,
    /// No job of this process is waiting for its answer any more.
    Idle,
    /// This process is told to stop.
    Stop,
    /// This process could not do its part (settings, descriptors, memory); with the reason.
    LocalFailure(String),
    /// The successor has checked its settings.
    SettingsChecked,
    /// The successor has loaded the state that it was sent.
    StateLoaded,
}

/// What the caller must do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send(Message),
    /// Accept connections from here on.
    Accept,
    /// Accept no more connections.
    StopAccepting,
    /// Predecessor: attach its state and descriptors to the next message.
    SendState,
    /// Successor: check its settings.
    CheckSettings,
    /// Successor: load the state that it was sent.
    LoadState,
    /// Kill the other process; `PeerDied` follows.
    KillPeer,
    /// Finish the jobs of this process and take no new ones.
    Drain,
    /// End this process.
    Exit(Outcome),
    /// Log a step of the upgrade.
    LogStep(&'static str),
}
