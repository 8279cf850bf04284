//! The side of the new process.

use crate::{listen, predecessor, Link, Received, UpgradeContext, POLL_INTERVAL};
use millrudder_exchange::clock::{span, Clock};
use millrudder_handover::{Action, Event, Limits, Message, State, Successor};
use slog::Logger;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

/// Longest wait for the state of the old process (ms), over all steps: the old process may still be busy with its own
/// predecessor.
const STATE_TIMEOUT_MS: f64 = 4_000.0;

/// A connection to a predecessor that has sent its state.
pub struct PredecessorSession {
    link: Link,
    successor: Successor,
    pub state: State,
    /// Messages that came after the state, to be handled once it is loaded.
    buffered: Vec<Received>,
}

/// Connects to the predecessor and gets its state. Returns `None` if there is none or it does not send its state; then
/// this process serves without a handover. It blocks, so it must be called before anything that must not be blocked.
pub fn find_predecessor(path: &Path, clock: Clock, log: &Logger) -> Option<PredecessorSession> {
    let link = match Link::connect(path) {
        Ok(link) if link.is_same_user() => link,
        Ok(_) => {
            slog::warn!(log, "upgrade: the process at the socket belongs to another user, not taking over");
            return None;
        }
        Err(error) => {
            slog::info!(log, "upgrade: no predecessor found"; "why" => %error);
            return None;
        }
    };
    let mut out = Vec::new();
    let limits = Limits { start: STATE_TIMEOUT_MS / 2.0, load: STATE_TIMEOUT_MS / 2.0, ..Limits::platform() };
    let successor = Successor::new(limits, env!("CARGO_PKG_VERSION"), clock.now(), &mut out);
    match request_state(link, successor, out, clock) {
        Ok(session) => Some(session),
        Err(why) => {
            slog::warn!(log, "upgrade: the predecessor has sent no state, serving beside it"; "why" => %why);
            None
        }
    }
}

/// Why a predecessor that was found has sent no state.
#[derive(Debug, Error)]
enum HandoverError {
    #[error(transparent)]
    Link(#[from] std::io::Error),
    #[error("the predecessor ended the handover before it sent its state")]
    NoState,
    #[error("the predecessor did not answer in time")]
    TimedOut,
}

fn request_state(
    mut link: Link,
    mut successor: Successor,
    mut out: Vec<Action>,
    clock: Clock,
) -> Result<PredecessorSession, HandoverError> {
    let (mut state, mut buffered) = (None, Vec::new());
    loop {
        for action in std::mem::take(&mut out) {
            match action {
                Action::Send(message) => link.send(&message, None)?,
                // The settings were read and checked before this process looked for a predecessor.
                Action::CheckSettings => successor.handle(Event::SettingsChecked, clock.now(), &mut out),
                Action::LoadState => {
                    let state = state.take().ok_or(HandoverError::NoState)?;
                    return Ok(PredecessorSession { link, successor, state, buffered });
                }
                Action::Accept => return Err(HandoverError::TimedOut),
                _ => {}
            }
        }
        if !out.is_empty() {
            continue;
        }
        let left = (successor.deadline() - clock.now()).max(0.0);
        for (message, descriptor) in link.receive(span(left))? {
            match message {
                Message::Offer { .. } | Message::Abort { .. } => {}
                Message::State(ref given) => state = Some(given.clone()),
                _ => {
                    buffered.push((message, descriptor));
                    continue;
                }
            }
            successor.handle(Event::Message(message), clock.now(), &mut out);
        }
        if clock.now() >= successor.deadline() {
            successor.expire(clock.now(), &mut out);
        }
    }
}

impl PredecessorSession {
    /// Takes the serving role over on a thread of its own, which later waits for successors. Called once the state is
    /// loaded. This process does not accept until it has the serving role.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn take_over(self, context: UpgradeContext) -> std::io::Result<()> {
        context.peer_process().accept(false);
        context.peer_process().open();
        std::thread::Builder::new().name("upgrade".to_owned()).spawn(move || self.run(&context))?;
        Ok(())
    }

    fn run(mut self, context: &UpgradeContext) {
        let clock = context.core.clock;
        let (mut out, mut listener) = (Vec::new(), None);
        for received in std::mem::take(&mut self.buffered) {
            self.on_message(received, context, &mut out);
        }
        self.successor.handle(Event::StateLoaded, clock.now(), &mut out);
        loop {
            let gone =
                self.act(std::mem::take(&mut out), context).is_err() || self.turn(context, &mut out).is_err();
            if clock.now() >= self.successor.deadline() {
                self.successor.expire(clock.now(), &mut out);
            }
            if gone {
                self.successor.handle(Event::PeerDied, clock.now(), &mut out);
                let _ = self.act(std::mem::take(&mut out), context);
            }
            if self.successor.accepts() && listener.is_none() {
                listener = listen(&context.path).ok();
            }
            if gone {
                break;
            }
        }
        slog::info!(context.log(), "upgrade: the predecessor has ended");
        context.on_peer_gone();
        if let Some(listener) = listener {
            predecessor::run(&listener, context);
        }
    }

    /// Handles received messages and sends queued transfers. An error means that the old process is gone.
    fn turn(&mut self, context: &UpgradeContext, out: &mut Vec<Action>) -> std::io::Result<()> {
        let wait = if out.is_empty() { POLL_INTERVAL } else { Duration::ZERO };
        for received in self.link.receive(wait)? {
            self.on_message(received, context, out);
        }
        context.send_transfers(&self.link, false)
    }

    fn on_message(&mut self, received: Received, context: &UpgradeContext, out: &mut Vec<Action>) {
        let Some(message) = context.apply(received) else { return };
        match &message {
            Message::Commit { under_way, inbound, worker_connections } => {
                under_way.iter().for_each(|id| context.peer_process().add_peer_job(id.clone()));
                context.peer_process().set_peer_connections(*inbound, *worker_connections);
            }
            Message::JobStarted { id } => context.peer_process().add_peer_job(id.clone()),
            Message::JobEnded { id } => context.peer_process().remove_peer_job(id),
            _ => {}
        }
        self.successor.handle(Event::Message(message), context.core.clock.now(), out);
    }

    fn act(&mut self, actions: Vec<Action>, context: &UpgradeContext) -> std::io::Result<()> {
        for action in actions {
            match action {
                Action::Send(message) => self.link.send(&message, None)?,
                Action::Accept => {
                    slog::info!(context.log(), "upgrade: this process now accepts connections");
                    context.peer_process().accept(true);
                    context.core.set_serving();
                }
                Action::StopAccepting => context.peer_process().accept(false),
                _ => {}
            }
        }
        Ok(())
    }
}
