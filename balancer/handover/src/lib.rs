//! Upgrade under load: a serving process (the giver) hands its place to a new one (the taker), and takes it back if
//! the new one fails to start or to prove itself.
//!
//! Two state machines without I/O or clock: events and `now` go in, actions come out. The place is a baton: whoever
//! holds it accepts. The giver lays it down before it says so; the taker picks it up only when told, or when the giver
//! is dead. `tests/model.rs` searches every order of messages lost, doubled and late, and of deaths.
//!
//! What the shell owes them: actions are carried out in order, and [`Event::PeerDied`] means the other process is
//! dead (waitpid, pidfd), never just that a socket has closed: a closed socket tells nothing of who accepts.

mod messages;
mod predecessor;
mod successor;
mod wire;

pub use messages::{Callback, Message, Outcome, PeerKind, ProbationReport, State, VERSION};
pub use predecessor::{Predecessor, PredecessorPhase};
pub use successor::{Successor, SuccessorPhase};
pub use wire::{encode, Decoder, WireError, FRAME_LIMIT};

/// Time limits of the steps (ms).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// For the new process to start and say who it is, and to check its settings.
    pub start: f64,
    /// To load what it was given and report ready.
    pub load: f64,
    /// From the baton laid down to the new process's word that it accepts. Nobody accepts meanwhile; connections
    /// wait in the listeners' queues.
    pub commit: f64,
    /// During which the new process is watched.
    pub probation: f64,
    /// For it to give the place back; after that it is killed.
    pub take_back: f64,
    /// For the old one's jobs to end.
    pub drain: f64,
    /// The platform has started the new process and ends the old one. Neither kills the other or takes the place back;
    /// where they lose each other both accept, from the one listening socket that both hold.
    pub platform_managed: bool,
}

impl Limits {
    /// An upgrade by the platform: a new process that is not served by an old one in time serves alone, well within
    /// the 6 s in which it has to say yes.
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

/// What happens to one side.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Message(Message),
    /// The other process is dead.
    PeerDied,
    /// Nothing of this process's own is owed any more.
    Idle,
    /// This process is told to stop.
    Stop,
    /// This process could not do its part (settings, descriptors, memory), and why.
    LocalFailure(String),
    /// The taker has checked its settings.
    SettingsChecked,
    /// The taker has taken in the state it was given.
    StateLoaded,
}

/// What one side is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send(Message),
    /// From here on this process accepts ...
    Accept,
    /// ... and from here on it does not.
    StopAccepting,
    /// The giver's state and descriptors go out with the next message.
    SendState,
    /// The taker checks its settings, or loads what it got.
    CheckSettings,
    LoadState,
    /// The other process is killed; `PeerDied` follows.
    KillPeer,
    /// The old process's jobs run to their end, no new ones come.
    Drain,
    /// This process ends.
    Exit(Outcome),
    /// A step for whoever watches the upgrade.
    LogStep(&'static str),
}
