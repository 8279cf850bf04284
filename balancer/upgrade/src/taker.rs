//! The new process's side.

use crate::{giver, listen, Heard, Link, Shell, TICK};
use millrudder_exchange::clock::{span, Clock};
use millrudder_handover::{Action, Event, Limits, Message, State, Taker};
use slog::Logger;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

/// In all, until the old process has given its state: it may still be busy with its own predecessor.
const MEET_MS: f64 = 4_000.0;

/// An old process that has told what it knows.
pub struct Met {
    link: Link,
    taker: Taker,
    pub state: State,
    /// What happened at the old process since, to be acted on once its state is loaded.
    since: Vec<Heard>,
}

/// Looks for an old process; none: this one is alone. It blocks: before anything runs that must not.
pub fn meet(path: &Path, clock: Clock, log: &Logger) -> Option<Met> {
    let link = match Link::connect(path) {
        Ok(link) if link.is_ours() => link,
        Ok(_) => {
            slog::warn!(log, "upgrade: the process found belongs to another user");
            return None;
        }
        Err(error) => {
            slog::info!(log, "upgrade: no old process"; "why" => %error);
            return None;
        }
    };
    let mut out = Vec::new();
    let limits = Limits { start: MEET_MS / 2.0, load: MEET_MS / 2.0, ..Limits::platform() };
    let taker = Taker::new(limits, env!("CARGO_PKG_VERSION"), clock.now(), &mut out);
    match greet(link, taker, out, clock) {
        Ok(met) => Some(met),
        Err(why) => {
            slog::warn!(log, "upgrade: the old process gives nothing, serving beside it"; "why" => %why);
            None
        }
    }
}

/// Why an old process that was found gives nothing.
#[derive(Debug, Error)]
enum MeetError {
    #[error(transparent)]
    Link(#[from] std::io::Error),
    #[error("no state")]
    NoState,
    #[error("it did not answer in time")]
    TimedOut,
}

fn greet(mut link: Link, mut taker: Taker, mut out: Vec<Action>, clock: Clock) -> Result<Met, MeetError> {
    let (mut state, mut since) = (None, Vec::new());
    loop {
        for action in std::mem::take(&mut out) {
            match action {
                Action::Send(message) => link.send(&message, None)?,
                // It was read and checked before anybody was looked for.
                Action::Check => taker.handle(Event::Checked, clock.now(), &mut out),
                Action::Load => {
                    let state = state.take().ok_or(MeetError::NoState)?;
                    return Ok(Met { link, taker, state, since });
                }
                Action::Accept => return Err(MeetError::TimedOut),
                _ => {}
            }
        }
        if !out.is_empty() {
            continue;
        }
        let left = (taker.deadline() - clock.now()).max(0.0);
        for (message, descriptor) in link.receive(span(left))? {
            match message {
                Message::Offer { .. } | Message::Abort { .. } => {}
                Message::State(ref given) => state = Some(given.clone()),
                _ => {
                    since.push((message, descriptor));
                    continue;
                }
            }
            taker.handle(Event::Message(message), clock.now(), &mut out);
        }
        if clock.now() >= taker.deadline() {
            taker.expire(clock.now(), &mut out);
        }
    }
}

impl Met {
    /// What was given is loaded: takes the place over, on a thread of its own, and waits for successors afterwards.
    /// Until then this process does not accept.
    ///
    /// # Errors
    /// There is no thread to be had.
    pub fn take_over(self, shell: Shell) -> std::io::Result<()> {
        shell.peer_process().accept(false);
        shell.peer_process().open();
        std::thread::Builder::new().name("upgrade".to_owned()).spawn(move || self.run(&shell))?;
        Ok(())
    }

    fn run(mut self, shell: &Shell) {
        let clock = shell.core.clock;
        let (mut out, mut listener) = (Vec::new(), None);
        for heard in std::mem::take(&mut self.since) {
            self.hear(heard, shell, &mut out);
        }
        self.taker.handle(Event::Loaded, clock.now(), &mut out);
        loop {
            let gone =
                self.act(std::mem::take(&mut out), shell).is_err() || self.turn(shell, &mut out).is_err();
            if clock.now() >= self.taker.deadline() {
                self.taker.expire(clock.now(), &mut out);
            }
            if gone {
                self.taker.handle(Event::PeerDied, clock.now(), &mut out);
                let _ = self.act(std::mem::take(&mut out), shell);
            }
            if self.taker.accepts() && listener.is_none() {
                listener = listen(&shell.path).ok();
            }
            if gone {
                break;
            }
        }
        slog::info!(shell.log(), "upgrade: the old process has ended");
        shell.part();
        if let Some(listener) = listener {
            giver::run(&listener, shell);
        }
    }

    /// One look at the link; an error: the old process is gone.
    fn turn(&mut self, shell: &Shell, out: &mut Vec<Action>) -> std::io::Result<()> {
        let wait = if out.is_empty() { TICK } else { Duration::ZERO };
        for heard in self.link.receive(wait)? {
            self.hear(heard, shell, out);
        }
        shell.send_parcels(&self.link, false)
    }

    fn hear(&mut self, heard: Heard, shell: &Shell, out: &mut Vec<Action>) {
        let Some(message) = shell.take(heard) else { return };
        match &message {
            Message::Commit { under_way, inbound, next_hops } => {
                under_way.iter().for_each(|id| shell.peer_process().add_peer_job(id.clone()));
                shell.peer_process().set_peer_connections(*inbound, *next_hops);
            }
            Message::Began { id } => shell.peer_process().add_peer_job(id.clone()),
            Message::Ended { id } => shell.peer_process().remove_peer_job(id),
            _ => {}
        }
        self.taker.handle(Event::Message(message), shell.core.clock.now(), out);
    }

    fn act(&mut self, actions: Vec<Action>, shell: &Shell) -> std::io::Result<()> {
        for action in actions {
            match action {
                Action::Send(message) => self.link.send(&message, None)?,
                Action::Accept => {
                    slog::info!(shell.log(), "upgrade: this process accepts");
                    shell.peer_process().accept(true);
                    shell.core.set_serving();
                }
                Action::StopAccepting => shell.peer_process().accept(false),
                _ => {}
            }
        }
        Ok(())
    }
}
