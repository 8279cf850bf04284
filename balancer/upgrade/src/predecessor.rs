//! The side of the old process: serves successors one after another.

use crate::{Link, UpgradeContext, POLL_INTERVAL};
use millrudder_exchange::clock::span;
use millrudder_exchange::{Message as Inbound, PeerRequest};
use millrudder_handover::{Action, Event, Limits, Message, Predecessor, PredecessorPhase, State};
use std::io::{self, ErrorKind};
use std::os::unix::net::UnixListener;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// Longest wait for a successor's `Hello`: a client that connects and sends nothing must not block the next successor.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for an answer of the core: its handover state, or its open jobs.
const EXPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed accept, for example if no descriptor is free; retrying at once would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

pub fn run(listener: &UnixListener, context: &UpgradeContext) {
    loop {
        let Ok((stream, _)) = listener.accept() else {
            std::thread::sleep(ACCEPT_RETRY_DELAY);
            continue;
        };
        let Ok(link) = Link::new(stream) else { continue };
        if !link.is_same_user() {
            continue;
        }
        match Session::begin(link, context) {
            Ok(session) => session.run(),
            Err(error) => {
                slog::warn!(context.log(), "upgrade: handover to a connected process failed to start"; "why" => %error);
                context.on_peer_gone();
            }
        }
    }
}

struct Session<'a> {
    link: Link,
    predecessor: Predecessor,
    context: &'a UpgradeContext,
    /// Number of inbound connections that was reported to the successor last.
    reported_inbound: usize,
}

impl<'a> Session<'a> {
    fn begin(mut link: Link, context: &'a UpgradeContext) -> io::Result<Self> {
        let (end, mut received) = (Instant::now() + HELLO_TIMEOUT, Vec::new());
        while received.is_empty() && Instant::now() < end {
            received = link.receive(POLL_INTERVAL)?;
        }
        let Some((hello @ Message::Hello { .. }, _)) = received.into_iter().next() else {
            return Err(ErrorKind::TimedOut.into());
        };
        // Open the transfers before the state is exported, so that later changes reach the successor too.
        context.peer_process().open();
        let (give, given) = channel();
        context.core.exchange.ask(PeerRequest::Export(give));
        let core = given.recv_timeout(EXPORT_TIMEOUT).map_err(|e| io::Error::new(ErrorKind::TimedOut, e))?;
        let state = State { core, drained: context.core.drain.is_on() };
        let now = context.core.clock.now();
        let mut session = Session {
            link,
            predecessor: Predecessor::new(Limits::platform(), state, now),
            context,
            reported_inbound: usize::MAX,
        };
        session.handle(Event::Message(hello))?;
        Ok(session)
    }

    fn run(mut self) {
        slog::info!(self.context.log(), "upgrade: a successor has connected");
        while self.turn().is_ok() {}
        // A dead process accepts nothing; what had been passed to it is lost with it.
        let _ = self.handle(Event::PeerDied);
        self.context.on_peer_gone();
        // Needed also if this process stopped accepting before its state machine knew of it: `stop_accepting` may have
        // failed before the machine handled `Ready`.
        self.context.peer_process().accept(true);
        self.context.core.stopping.set_succeeded(false);
        slog::warn!(self.context.log(), "upgrade: the connection to the successor has ended"; "why" => self.predecessor.reason());
    }

    fn turn(&mut self) -> io::Result<()> {
        for received in self.link.receive(POLL_INTERVAL)? {
            if let Some(message) = self.context.apply(received) {
                if message == Message::Ready {
                    self.stop_accepting()?;
                }
                self.handle(Event::Message(message))?;
            }
        }
        if self.context.core.stopping.has_begun() && self.predecessor.phase() != PredecessorPhase::Draining {
            self.handle(Event::Stop)?;
        }
        if self.context.core.clock.now() >= self.predecessor.deadline() {
            let (now, mut out) = (self.context.core.clock.now(), Vec::new());
            self.predecessor.expire(now, &mut out);
            self.act(out)?;
        }
        self.context.send_transfers(&self.link, true)?;
        let held = self.inbound_connections();
        if self.context.peer_process().takes_connections() && held < self.reported_inbound {
            self.reported_inbound = held;
            self.link.send(&Message::InboundLeft { inbound: held }, None)?;
        }
        Ok(())
    }

    /// Stops accepting, and then reads the numbers for [`Message::Commit`]: as nothing more is accepted, the number of
    /// inbound connections only falls from here on.
    fn stop_accepting(&mut self) -> io::Result<()> {
        self.context.peer_process().accept(false);
        let (give, given) = channel();
        self.context.core.exchange.ask(PeerRequest::UnfinishedJobs(give));
        let (under_way, worker_connections) =
            given.recv_timeout(EXPORT_TIMEOUT).map_err(|e| io::Error::new(ErrorKind::TimedOut, e))?;
        self.predecessor.set_under_way(under_way);
        self.reported_inbound = self.inbound_connections();
        self.predecessor.set_held(self.reported_inbound, worker_connections);
        Ok(())
    }

    fn inbound_connections(&self) -> usize {
        self.context.front.inbound() + self.context.peer_process().waiting_connections()
    }

    fn handle(&mut self, event: Event) -> io::Result<()> {
        let mut out = Vec::new();
        self.predecessor.handle(event, self.context.core.clock.now(), &mut out);
        self.act(out)
    }

    fn act(&mut self, actions: Vec<Action>) -> io::Result<()> {
        let peer_process = self.context.peer_process();
        for action in actions {
            match action {
                Action::Send(message) => self.link.send(&message, None)?,
                Action::StopAccepting => peer_process.accept(false),
                Action::Accept => {
                    peer_process.accept(true);
                    peer_process.take_connections(false);
                    self.context.core.stopping.set_succeeded(false);
                }
                // The platform sends this process a stop too; it has done so already, or will in a moment.
                Action::Drain => self.context.core.exchange.send(Inbound::Stop),
                Action::LogStep(step) => slog::info!(self.context.log(), "upgrade: {}", step),
                _ => {}
            }
        }
        // The new process accepts: connections are passed to it, and this process ends once it has no connections and
        // no unanswered jobs left.
        if matches!(self.predecessor.phase(), PredecessorPhase::Probation | PredecessorPhase::Draining) {
            peer_process.take_connections(true);
            self.context.core.stopping.set_succeeded(true);
        }
        Ok(())
    }
}

/// Gives queued transfers up to `limit_ms` to be sent before this process ends.
pub fn flush_transfers(context: &UpgradeContext, limit_ms: f64) {
    let end = Instant::now() + span(limit_ms);
    while !context.peer_process().is_empty() && Instant::now() < end {
        std::thread::sleep(POLL_INTERVAL);
    }
    std::thread::sleep(POLL_INTERVAL);
}

#[cfg(test)]
mod tests;
