//! Chooses the core machines to which a process connects.

use millrudder_clock::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A connection that has not opened within this time is replaced if another core machine is known.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// A core machine that has not confirmed its state for this long is replaced if another one is known. This is four
/// times the interval of the confirmations ([`CONFIRM_INTERVAL`](crate::CONFIRM_INTERVAL)).
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long a core machine is not retried after it was first replaced. Doubles each time, up to [`MAX_BACKOFF`].
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Upper bound of the backoff.
pub const MAX_BACKOFF: Duration = Duration::from_millis(2000);
/// After a pause of this process of at least this long, all connection timeouts restart, since the process cannot know
/// which connections have failed.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1000);

/// An action that the process must take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStep {
    /// Close the connection to this core machine.
    Close(SocketAddr),
    /// Open a connection to this core machine, and reopen it whenever it closes until [`ConnectionStep::Close`].
    Open(SocketAddr),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// Not open yet, or being reopened.
    Opening,
    /// Open; the core machine has not confirmed its state yet.
    Open,
    /// The core machine has confirmed its state.
    Confirmed,
    /// The core machine cannot confirm its state, or is shutting down.
    Rejected,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    state: ConnectionState,
    /// Time of the last state change or confirmation.
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
    /// The backoff that starts now and follows `previous`.
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
/// A core machine that cannot confirm its state is replaced by another one, and not retried until its backoff is over.
/// If there is no other candidate, the connection is kept.
#[derive(Clone, Debug)]
pub struct ConnectionPlanner {
    max_connections: usize,
    /// Known core machines, in the order in which they are tried.
    addresses: Vec<SocketAddr>,
    connections: BTreeMap<SocketAddr, Connection>,
    backoffs: BTreeMap<SocketAddr, Backoff>,
    /// Index of the last address that was tried, modulo the number of addresses.
    cursor: usize,
    polled_at: Instant,
}

impl ConnectionPlanner {
    /// Creates a planner for up to `max_connections` connections. `seed` selects the core machine to start with.
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

    /// Adds the address of a core machine; returns whether it is new.
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

    /// Whether any core machine has confirmed its state on a connection that is open.
    pub fn has_confirmed_connection(&self) -> bool {
        self.connections.values().any(|connection| connection.state == ConnectionState::Confirmed)
    }

    /// Handles the opening of a connection.
    pub fn handle_opened(&mut self, now: Instant, address: SocketAddr) {
        self.set_state(now, address, ConnectionState::Open);
    }

    /// Handles the closing of a connection, which the process then reopens unless told otherwise.
    pub fn handle_closed(&mut self, now: Instant, address: SocketAddr) {
        let connection = self.connections.get(&address);
        let is_rejected = connection.is_some_and(|connection| connection.state == ConnectionState::Rejected);
        if !is_rejected {
            self.set_state(now, address, ConnectionState::Opening);
        }
    }

    /// Handles a core machine's confirmation that its state was current at `sent_at`, when this process sent its check.
    /// A confirmation at least [`CONFIRM_TIMEOUT`] old is ignored.
    pub fn handle_confirmation(&mut self, now: Instant, address: SocketAddr, sent_at: Instant) {
        if now - sent_at < CONFIRM_TIMEOUT {
            self.set_state(now, address, ConnectionState::Confirmed);
            self.backoffs.remove(&address);
        }
    }

    /// Handles a core machine's report that it cannot confirm its state or is shutting down.
    pub fn handle_rejection(&mut self, now: Instant, address: SocketAddr) {
        self.set_state(now, address, ConnectionState::Rejected);
    }

    /// Replaces failed connections, and opens new ones up to the maximum.
    pub fn poll(&mut self, now: Instant) -> Vec<ConnectionStep> {
        self.restart_timeouts_after_pause(now);
        let mut steps = Vec::new();
        for failed in self.failed_connections(now) {
            let Some(candidate) = self.next_candidate(now) else { break };
            self.close_and_back_off(now, failed);
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

    /// Restarts all timeouts after a pause of this process, since the silence of a connection may be due to the pause.
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

    fn close_and_back_off(&mut self, now: Instant, address: SocketAddr) {
        self.connections.remove(&address);
        let backoff = Backoff::after(self.backoffs.get(&address), now);
        self.backoffs.insert(address, backoff);
    }

    fn open(&mut self, now: Instant, address: SocketAddr, steps: &mut Vec<ConnectionStep>) {
        self.connections.insert(address, Connection { state: ConnectionState::Opening, progressed_at: now });
        steps.push(ConnectionStep::Open(address));
    }

    /// The next known address that has no connection and is not backing off.
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
