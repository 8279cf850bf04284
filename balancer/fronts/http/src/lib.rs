//! The sender side: accepts connections, takes in jobs and call-backs, writes answers.
//!
//! Clients and next hops come to the same address; a connection is known for what it is only by its requests.

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
use millrudder_exchange::{AdmissionGate, Advice, Core, Drain, Exchange, PeerProcess, PeerRole};
use millrudder_wire::descriptor;
use slog::Logger;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;

/// After a failed accept (no descriptor is free, say) the next try waits: retrying at once would spin.
const ACCEPT_PAUSE_MS: f64 = 10.0;
/// How soon one that was ended to make room has left: its coroutine runs next.
const EVICTION_PAUSE_MS: f64 = 1.0;

/// How often it is looked whether this process is to accept (again).
const ACCEPT_CHECK_MS: f64 = 1.0;

/// How often connections are looked through.
const SWEEP_INTERVAL_MS: f64 = 50.0;
/// A connection younger than this was opened to bring something, a call-back most likely.
const NEWLY_IDLE_MS: f64 = 200.0;

/// What the coroutines of all inbound connections share.
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
    advice: Advice,
    log: Logger,
    /// For the log of bad call-backs, so that a broken next hop cannot flood it.
    bad_call_back_log: Limiter,
    accept_error_log: Limiter,
}

#[derive(Clone)]
pub struct HttpFront(Arc<Shared>);

/// Where clients come.
pub enum Listen {
    Address(SocketAddr),
    /// The platform holds the socket, and so may another process of this dispatcher.
    Socket(std::net::TcpListener),
}

impl HttpFront {
    pub fn new(budget: Budget, core: Core) -> Self {
        let connections = ConnectionTable::new(budget, core.peer_process.clone());
        let (bad_call_back_log, accept_error_log) = (Limiter::default(), Limiter::default());
        let Core {
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

    /// Listens, and accepts in a coroutine of its own for as long as the program runs.
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

    /// A connection between two requests that another process has served so far.
    pub fn adopt(&self, stream: std::net::TcpStream, role: PeerRole) {
        if let Ok(stream) = descriptor::stream(stream) {
            start_connection(stream, role, &self.0);
        }
    }

    /// A call-back that reached another process.
    pub fn take_news(&self, body: &[u8]) {
        call_back::receive_forwarded(&self.0, body);
    }

    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.0.connections.len()
    }

    /// Ends the connections that wait for their next request.
    pub fn close_idle_connections(&self) {
        self.0.connections.close_idle(f64::INFINITY);
    }

    /// Answers that are still to be written.
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
        // Not may's own `accept`: blocked in it, a process that has laid its place down would take one more.
        match listener.inner().accept().and_then(|(stream, _)| descriptor::stream(stream)) {
            Ok(stream) => start_connection(stream, PeerRole::Stranger, shared),
            Err(error) if error.kind() == ErrorKind::WouldBlock => drop(listener.wait_io()),
            Err(error) => {
                shared.counters.accept_errors.add();
                if shared.accept_error_log.allows(shared.clock.now()) {
                    slog::warn!(shared.log, "accept failed"; "error" => %error);
                }
                may::coroutine::sleep(span(ACCEPT_PAUSE_MS));
            }
        }
    }
}

/// Ends connections that have had their time, and those between requests once a stop takes no more jobs on: their
/// clients would go on using them, and be deferred.
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
        if shared.drain.is_noticed(now) {
            shared.connections.close_idle_clients(now - NEWLY_IDLE_MS);
        }
    }
}

/// The connection counts against the budget from here on, not from when its coroutine first runs: many may be
/// accepted in between.
fn start_connection(stream: TcpStream, role: PeerRole, shared: &Arc<Shared>) {
    shared.counters.connections_in.add();
    if let Ok(connection) = Connection::new(stream, role, shared) {
        may::go!(move || connection.serve());
    }
}
