//! The HTTP/1.1 front: accepts connections, parses jobs and call-backs, and writes answers.
//!
//! Clients and workers connect to the same address; only the requests on a connection tell which of the two the peer
//! is.

mod answer;
mod call_back;
mod connection;
mod connection_table;
mod intake;
#[cfg(test)]
mod tests;

use connection::Connection;
use connection_table::ConnectionTable;
use may::io::WaitIo;
use may::net::{TcpListener, TcpStream};
use millrudder_config::Budget;
use millrudder_exchange::clock::{span, Clock};
use millrudder_exchange::counters::Counters;
use millrudder_exchange::intake::Classes;
use millrudder_exchange::rate::Limiter;
use millrudder_exchange::shutdown::Stopping;
use millrudder_exchange::{AdmissionGate, Drain, Exchange, FrontContext, PeerProcess, PeerRole, RetryAdvice};
use millrudder_wire::descriptor;
use slog::Logger;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;

/// Pause (ms) after a failed accept, for example when no file descriptor is free. An immediate retry would spin.
const ACCEPT_PAUSE_MS: f64 = 10.0;
/// Pause (ms) after a connection was evicted to make room. Its coroutine runs next and frees the descriptor.
const EVICTION_PAUSE_MS: f64 = 1.0;

/// Interval (ms) at which a process that does not accept connections checks whether it should. During an upgrade only
/// one of the two processes accepts.
const ACCEPT_CHECK_MS: f64 = 1.0;

/// Interval (ms) between two checks of all connections for timeouts and shutdown.
const SWEEP_INTERVAL_MS: f64 = 50.0;
/// A connection that became idle less than this long ago (ms) is not closed at a stop or drain: it was most likely
/// opened to deliver something, usually a call-back.
const NEWLY_IDLE_MS: f64 = 200.0;

/// State shared by the coroutines of all inbound connections.
struct Shared {
    exchange: Exchange,
    counters: Arc<Counters>,
    stopping: Stopping,
    drain: Drain,
    peer_process: PeerProcess,
    clock: Clock,
    connections: ConnectionTable,
    classes: Classes,
    admission_gate: AdmissionGate,
    advice: RetryAdvice,
    log: Logger,
    /// Limits the log lines on malformed call-backs, so that a broken worker cannot flood the log.
    bad_call_back_log: Limiter,
    /// Limits the log lines on failed accepts.
    accept_error_log: Limiter,
}

/// The HTTP/1.1 front. Clones share the same connections.
#[derive(Clone)]
pub struct HttpFront(Arc<Shared>);

/// Where the front listens.
pub enum Listen {
    /// Binds this address.
    Address(SocketAddr),
    /// Uses a listening socket that the platform bound. Another process of this dispatcher may hold it too.
    Socket(std::net::TcpListener),
}

impl HttpFront {
    /// Creates the front; it does not listen until [`HttpFront::open`].
    pub fn new(budget: Budget, core: FrontContext) -> Self {
        let connections = ConnectionTable::new(budget, core.peer_process.clone());
        let (bad_call_back_log, accept_error_log) = (Limiter::default(), Limiter::default());
        let FrontContext {
            exchange,
            admission_gate,
            counters,
            stopping,
            drain,
            peer_process,
            clock,
            classes,
            advice,
            log,
            ..
        } = core;
        HttpFront(Arc::new(Shared {
            exchange,
            admission_gate,
            counters,
            stopping,
            drain,
            peer_process,
            clock,
            connections,
            classes,
            advice,
            log,
            bad_call_back_log,
            accept_error_log,
        }))
    }

    /// Listens, and starts the coroutines that accept and that check connections. They run until the program ends.
    pub fn open(&self, listen: Listen) -> std::io::Result<()> {
        let listener = match listen {
            Listen::Address(address) => TcpListener::bind(address)?,
            Listen::Socket(listener) => descriptor::listener(listener)?,
        };
        let (shared, swept) = (self.0.clone(), self.0.clone());
        may::go!(move || accept_loop(&listener, &shared));
        may::go!(move || sweep(&swept));
        Ok(())
    }

    /// Takes over a connection from the other process of an upgrade. It is between two requests; `role` is what its
    /// peer has proved to be so far.
    pub fn adopt(&self, stream: std::net::TcpStream, role: PeerRole) {
        if let Ok(stream) = descriptor::stream(stream) {
            start_connection(stream, role, &self.0);
        }
    }

    /// Handles a call-back that reached the other process of an upgrade.
    pub fn take_news(&self, body: &[u8]) {
        call_back::receive_forwarded(&self.0, body);
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.0.connections.len()
    }

    /// Closes the connections that wait for their next request.
    pub fn close_idle_connections(&self) {
        self.0.connections.close_idle(f64::INFINITY);
    }

    /// The number of jobs whose answers are not yet written in full.
    pub fn unsent_answers(&self) -> usize {
        self.0.connections.unsent_answers()
    }
}

fn accept_loop(listener: &TcpListener, shared: &Arc<Shared>) {
    loop {
        if !shared.peer_process.accepts() {
            may::coroutine::sleep(span(ACCEPT_CHECK_MS));
            continue;
        }
        if !shared.connections.make_room(&shared.counters, shared.clock.now()) {
            may::coroutine::sleep(span(EVICTION_PAUSE_MS));
            continue;
        }
        // Not may's own `accept`: a process blocked in it would accept one more connection after an upgrade has taken
        // this duty from it.
        match listener.inner().accept().and_then(|(stream, _)| descriptor::stream(stream)) {
            Ok(stream) => start_connection(stream, PeerRole::Unproven, shared),
            Err(error) if error.kind() == ErrorKind::WouldBlock => drop(listener.wait_io()),
            Err(error) => {
                shared.counters.accept_errors.add();
                if shared.accept_error_log.allows(shared.clock.now()) {
                    slog::warn!(shared.log, "accepting a connection failed"; "error" => %error);
                }
                may::coroutine::sleep(span(ACCEPT_PAUSE_MS));
            }
        }
    }
}

/// Closes connections whose deadline has passed. Once a stop or a drain accepts no more jobs, it also closes idle
/// connections: their clients would otherwise keep using them, and every job would be deferred.
fn sweep(shared: &Shared) {
    loop {
        may::coroutine::sleep(span(SWEEP_INTERVAL_MS));
        let now = shared.clock.now();
        shared.connections.close_overdue(&shared.counters, now);
        if shared.peer_process.takes_connections() {
            shared.connections.wake_idle();
        }
        if !shared.connections.may_have_clients() {
            shared.stopping.note_no_clients(now);
        }
        if shared.stopping.grace_is_over(now) {
            shared.connections.close_idle(now - NEWLY_IDLE_MS);
        }
        if shared.drain.clients_notified(now) {
            shared.connections.close_idle_clients(now - NEWLY_IDLE_MS);
        }
    }
}

/// Registers a connection and starts its coroutine. It counts against the budget from here on, not from when the
/// coroutine first runs, because many connections may be accepted in between.
fn start_connection(stream: TcpStream, role: PeerRole, shared: &Arc<Shared>) {
    shared.counters.connections_in.add();
    if let Ok(connection) = Connection::new(stream, role, shared) {
        may::go!(move || connection.serve());
    }
}
