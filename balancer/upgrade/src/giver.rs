//! The serving process's side: one successor after another.

use crate::{Link, Shell, TICK};
use millrudder_exchange::clock::span;
use millrudder_exchange::{Message as Inbound, PeerRequest};
use millrudder_handover::{Action, Event, Giver, GiverPhase, Limits, Message, State};
use std::io::{self, ErrorKind};
use std::os::unix::net::UnixListener;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// For a successor's first word; what connects and says nothing must not keep the next one out.
const HELLO: Duration = Duration::from_millis(500);
/// For the core to write out what it knows.
const EXPORT: Duration = Duration::from_millis(500);
/// After a failed accept (no descriptor is free, say) the next try waits: retrying at once would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

pub fn run(listener: &UnixListener, shell: &Shell) {
    loop {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(ACCEPT_PAUSE);
            continue;
        };
        let Ok(link) = Link::new(stream) else { continue };
        if !link.is_ours() {
            continue;
        }
        match Session::begin(link, shell) {
            Ok(session) => session.run(),
            Err(error) => {
                slog::warn!(shell.log(), "upgrade: no successor after all"; "why" => %error);
                shell.part();
            }
        }
    }
}

struct Session<'a> {
    link: Link,
    giver: Giver,
    shell: &'a Shell,
    /// Told last of the connections that are left here.
    told: usize,
}

impl<'a> Session<'a> {
    fn begin(mut link: Link, shell: &'a Shell) -> io::Result<Self> {
        let (end, mut heard) = (Instant::now() + HELLO, Vec::new());
        while heard.is_empty() && Instant::now() < end {
            heard = link.receive(TICK)?;
        }
        let Some((hello @ Message::Hello { .. }, _)) = heard.into_iter().next() else {
            return Err(ErrorKind::TimedOut.into());
        };
        // Before the state is written out: what happens from then on goes over too.
        shell.peer_process().open();
        let (give, given) = channel();
        shell.core.exchange.ask(PeerRequest::Export(give));
        let core = given.recv_timeout(EXPORT).map_err(|e| io::Error::new(ErrorKind::TimedOut, e))?;
        let state = State { core, drained: shell.core.drain.is_on() };
        let now = shell.core.clock.now();
        let mut session =
            Session { link, giver: Giver::new(Limits::platform(), state, now), shell, told: usize::MAX };
        session.handle(Event::Message(hello))?;
        Ok(session)
    }

    fn run(mut self) {
        slog::info!(self.shell.log(), "upgrade: a successor has come");
        while self.turn().is_ok() {}
        // A dead process accepts nothing; whatever it had been given goes with it.
        let _ = self.handle(Event::PeerDied);
        self.shell.part();
        // Also where the machine never saw the place laid down: between this process's word and its own.
        self.shell.peer_process().accept(true);
        self.shell.core.stopping.set_succeeded(false);
        slog::warn!(self.shell.log(), "upgrade: the successor has gone"; "why" => self.giver.reason());
    }

    fn turn(&mut self) -> io::Result<()> {
        for heard in self.link.receive(TICK)? {
            if let Some(message) = self.shell.take(heard) {
                if message == Message::Ready {
                    self.lay_down()?;
                }
                self.handle(Event::Message(message))?;
            }
        }
        if self.shell.core.stopping.has_begun() && self.giver.phase() != GiverPhase::Draining {
            self.handle(Event::Stop)?;
        }
        if self.shell.core.clock.now() >= self.giver.deadline() {
            let (now, mut out) = (self.shell.core.clock.now(), Vec::new());
            self.giver.expire(now, &mut out);
            self.act(out)?;
        }
        self.shell.send_parcels(&self.link, true)?;
        let held = self.held();
        if self.shell.peer_process().takes_connections() && held < self.told {
            self.told = held;
            self.link.send(&Message::Held { inbound: held }, None)?;
        }
        Ok(())
    }

    /// Before the baton is said to be down: nothing more is accepted, so what is held from here on only becomes less.
    fn lay_down(&mut self) -> io::Result<()> {
        self.shell.peer_process().accept(false);
        let (give, given) = channel();
        self.shell.core.exchange.ask(PeerRequest::UnfinishedJobs(give));
        let (under_way, next_hops) =
            given.recv_timeout(EXPORT).map_err(|e| io::Error::new(ErrorKind::TimedOut, e))?;
        self.giver.set_under_way(under_way);
        self.told = self.held();
        self.giver.set_held(self.told, next_hops);
        Ok(())
    }

    fn held(&self) -> usize {
        self.shell.front.inbound() + self.shell.peer_process().waiting_connections()
    }

    fn handle(&mut self, event: Event) -> io::Result<()> {
        let mut out = Vec::new();
        self.giver.handle(event, self.shell.core.clock.now(), &mut out);
        self.act(out)
    }

    fn act(&mut self, actions: Vec<Action>) -> io::Result<()> {
        let peer_process = self.shell.peer_process();
        for action in actions {
            match action {
                Action::Send(message) => self.link.send(&message, None)?,
                Action::StopAccepting => peer_process.accept(false),
                Action::Accept => {
                    peer_process.accept(true);
                    peer_process.take_connections(false);
                    self.shell.core.stopping.set_succeeded(false);
                }
                // The platform has said so already, or it says it in a moment.
                Action::Drain => self.shell.core.exchange.send(Inbound::Stop),
                Action::Tell(step) => slog::info!(self.shell.log(), "upgrade: {}", step),
                _ => {}
            }
        }
        // The new process accepts: connections go there, and this one ends when it has none and owes nothing.
        if matches!(self.giver.phase(), GiverPhase::Probation | GiverPhase::Draining) {
            peer_process.take_connections(true);
            self.shell.core.stopping.set_succeeded(true);
        }
        Ok(())
    }
}

/// What still waits to go over gets its time when this process ends.
pub fn flush(shell: &Shell, limit_ms: f64) {
    let end = Instant::now() + span(limit_ms);
    while !shell.peer_process().is_empty() && Instant::now() < end {
        std::thread::sleep(TICK);
    }
    std::thread::sleep(TICK);
}

#[cfg(test)]
mod tests;
