//! Choice of the core machines to which a process is connected.

use millrudder_clock::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A connection that has not opened after this time is replaced, where another core machine is known.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// A core machine that has not confirmed its state for this time is replaced, where another one is known. Four
/// intervals of its confirmations ([`CONFIRM_INTERVAL`](crate::CONFIRM_INTERVAL)).
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1200);
/// Backoff after a core machine was left for the first time. It doubles each time ...
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// ... up to this.
pub const MAX_BACKOFF: Duration = Duration::from_millis(2000);
/// A process that was not run for this time knows nothing of its connections.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1000);

/// What the process is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStep {
    /// Close the connection to this core machine.
    Close(SocketAddr),
    /// Open a connection to this core machine, and open it anew as long as it is not to be closed.
    Open(SocketAddr),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// Not open yet, or being opened anew.
    Opening,
    /// Open; the core machine has not confirmed its state yet.
    Open,
    /// The core machine has confirmed its state.
    Confirmed,
    /// The core machine cannot confirm its state, or shuts down.
    Rejected,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    state: ConnectionState,
    /// Time of the last change of state or confirmation.
    progressed_at: Instant,
}

impl Connection {
    fn has_failed(&self, now: Instant) -> bool {
        let elapsed = now - self.progressed_at;
        match self.state {
            ConnectionState::Opening => elapsed >= CONNECT_TIMEOUT,
            ConnectionState::Open | ConnectionState::Confirmed => elapsed >= CONFIRM_TIMEOUT,
            ConnectionState::Rejected => true,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Instant,
    next: Duration,
}

impl Backoff {
    /// The backoff that follows `previous`, from now on.
    fn after(previous: Option<&Backoff>, now: Instant) -> Backoff {
        let delay = previous.map_or(INITIAL_BACKOFF, |backoff| backoff.next);
        Backoff { until: now + delay, next: (delay * 2).min(MAX_BACKOFF) }
    }

    fn is_over(&self, now: Instant) -> bool {
        now >= self.until
    }
}

/// Plans the connections of a process to core machines.
///
/// A core machine that cannot confirm its state is replaced by another one, and not tried again before its backoff is
/// over. Without another one the connection stays.
#[derive(Clone, Debug)]
pub struct ConnectionPlanner {
    max_connections: usize,
    /// Known core machines, in the order in which they are tried.
    addresses: Vec<SocketAddr>,
    connections: BTreeMap<SocketAddr, Connection>,
    backoffs: BTreeMap<SocketAddr, Backoff>,
    /// Position of the last address that was tried, modulo the number of addresses.
    cursor: usize,
    polled_at: Instant,
}

impl ConnectionPlanner {
    /// A planner of up to `max_connections` connections; `seed` picks the core machine to begin with.
    pub fn new(max_connections: usize, seed: u64) -> ConnectionPlanner {
        ConnectionPlanner {
            max_connections,
            addresses: Vec::new(),
            connections: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            cursor: seed as usize,
            polled_at: Instant::ORIGIN,
        }
    }

    /// Adds a core machine. True if its address is new.
    pub fn add_address(&mut self, address: SocketAddr) -> bool {
        let is_new = !self.addresses.contains(&address);
        if is_new {
            self.addresses.push(address);
        }
        is_new
    }

    /// Number of known core machines.
    pub fn address_count(&self) -> usize {
        self.addresses.len()
    }

    /// Whether some core machine has confirmed its state on a connection that is open.
    pub fn has_confirmed_connection(&self) -> bool {
        self.connections.values().any(|connection| connection.state == ConnectionState::Confirmed)
    }

    /// Handles that a connection has opened.
    pub fn handle_opened(&mut self, now: Instant, address: SocketAddr) {
        self.set_state(now, address, ConnectionState::Open);
    }

    /// Handles that a connection has closed; it is being opened anew.
    pub fn handle_closed(&mut self, now: Instant, address: SocketAddr) {
        let connection = self.connections.get(&address);
        let is_rejected = connection.is_some_and(|connection| connection.state == ConnectionState::Rejected);
        if !is_rejected {
            self.set_state(now, address, ConnectionState::Opening);
        }
    }

    /// Handles a core machine's confirmation that its state was current when this process asked, at `sent_at`.
    pub fn handle_confirmation(&mut self, now: Instant, address: SocketAddr, sent_at: Instant) {
        if now - sent_at < CONFIRM_TIMEOUT {
            self.set_state(now, address, ConnectionState::Confirmed);
            self.backoffs.remove(&address);
        }
    }

    /// Handles that a core machine cannot confirm its state, or shuts down.
    pub fn handle_rejection(&mut self, now: Instant, address: SocketAddr) {
        self.set_state(now, address, ConnectionState::Rejected);
    }

    /// Replaces failed connections and fills up to the maximum.
    pub fn poll(&mut self, now: Instant) -> Vec<ConnectionStep> {
        self.restart_timeouts_after_pause(now);
        let mut steps = Vec::new();
        for failed in self.failed_connections(now) {
            let Some(candidate) = self.next_candidate(now) else { break };
            self.leave(now, failed);
            steps.push(ConnectionStep::Close(failed));
            self.open(now, candidate, &mut steps);
        }
        while self.connections.len() < self.max_connections {
            let Some(candidate) = self.next_candidate(now) else { break };
            self.open(now, candidate, &mut steps);
        }
        steps
    }

    fn set_state(&mut self, now: Instant, address: SocketAddr, state: ConnectionState) {
        if let Some(connection) = self.connections.get_mut(&address) {
            *connection = Connection { state, progressed_at: now };
        }
    }

    /// After a time in which this process itself was not run, no connection is to blame for its silence.
    fn restart_timeouts_after_pause(&mut self, now: Instant) {
        let was_paused = now - self.polled_at >= PAUSE_THRESHOLD;
        self.polled_at = now;
        if was_paused {
            for connection in self.connections.values_mut() {
                connection.progressed_at = now;
            }
        }
    }

    fn failed_connections(&self, now: Instant) -> Vec<SocketAddr> {
        let failed = self.connections.iter().filter(|(_, connection)| connection.has_failed(now));
        failed.map(|(address, _)| *address).collect()
    }

    fn leave(&mut self, now: Instant, address: SocketAddr) {
        self.connections.remove(&address);
        let backoff = Backoff::after(self.backoffs.get(&address), now);
        self.backoffs.insert(address, backoff);
    }

    fn open(&mut self, now: Instant, address: SocketAddr, steps: &mut Vec<ConnectionStep>) {
        self.connections.insert(address, Connection { state: ConnectionState::Opening, progressed_at: now });
        steps.push(ConnectionStep::Open(address));
    }

    /// The next known address without a connection and not backing off.
    fn next_candidate(&mut self, now: Instant) -> Option<SocketAddr> {
        for _ in 0..self.addresses.len() {
            self.cursor = self.cursor.wrapping_add(1);
            let address = self.addresses[self.cursor % self.addresses.len()];
            let is_backing_off = self.backoffs.get(&address).is_some_and(|backoff| !backoff.is_over(now));
            if !is_backing_off && !self.connections.contains_key(&address) {
                return Some(address);
            }
        }
        None
    }
}
