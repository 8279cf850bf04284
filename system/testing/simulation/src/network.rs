//! The simulated network: connections with delays that deliver in order, and partitions.

use crate::event::Connection;
use crate::machine_id::MachineId;
use crate::random_time::random_duration;
use millrudder_clock::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Ordinary delay of a message.
const DELAY: std::ops::Range<Duration> = Duration::from_micros(300)..Duration::from_micros(2_500);

/// The state of a connection at its two ends.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// The machine that opened the connection.
    pub dialer: MachineId,
    /// The machine that accepted it.
    pub acceptor: MachineId,
    /// Whether it is open at the dialer.
    pub dialer_open: bool,
    /// Whether it is open at the acceptor.
    pub acceptor_open: bool,
    /// Time of the last arrival at the dialer and at the acceptor.
    last_arrival: [Instant; 2],
    /// Since when at least one direction is blocked.
    pub blocked_since: Option<Instant>,
}

impl Link {
    /// The peer of a machine.
    pub fn other(&self, machine_id: MachineId) -> MachineId {
        if self.dialer == machine_id {
            self.acceptor
        } else {
            self.dialer
        }
    }

    /// Whether the connection is open at the end of `machine_id`.
    pub fn is_open_at(&self, machine_id: MachineId) -> bool {
        if self.dialer == machine_id {
            self.dialer_open
        } else {
            self.acceptor_open
        }
    }

    /// Closes the end of `machine_id`.
    pub fn close_at(&mut self, machine_id: MachineId) {
        if self.dialer == machine_id {
            self.dialer_open = false;
        } else {
            self.acceptor_open = false;
        }
    }
}

/// All connections and partitions.
#[derive(Clone, Debug, Default)]
pub struct Network {
    links: BTreeMap<Connection, Link>,
    next: u64,
    /// Until when messages from the first machine to the second are blocked.
    partitions: BTreeMap<(MachineId, MachineId), Instant>,
}

impl Network {
    /// Blocks one direction until a time.
    pub fn partition(&mut self, from: MachineId, to: MachineId, until: Instant) {
        let partitioned_until = self.partitions.entry((from, to)).or_default();
        *partitioned_until = until.max(*partitioned_until);
    }

    /// When a message from one machine is no longer blocked on its way to the other.
    pub fn passes_at(&self, from: MachineId, to: MachineId, now: Instant) -> Instant {
        self.partitions.get(&(from, to)).copied().unwrap_or_default().max(now)
    }

    /// Whether messages from one machine to the other are blocked now.
    pub fn is_partitioned(&self, from: MachineId, to: MachineId, now: Instant) -> bool {
        self.passes_at(from, to, now) > now
    }

    /// Whether the two machines can communicate in both directions.
    pub fn can_communicate(&self, one: MachineId, other: MachineId, now: Instant) -> bool {
        !self.is_partitioned(one, other, now) && !self.is_partitioned(other, one, now)
    }

    /// Opens a connection at both ends.
    pub fn open(&mut self, dialer: MachineId, acceptor: MachineId) -> Connection {
        self.next += 1;
        let link = Link {
            dialer,
            acceptor,
            dialer_open: true,
            acceptor_open: true,
            last_arrival: [Instant::ORIGIN; 2],
            blocked_since: None,
        };
        self.links.insert(Connection(self.next), link);
        Connection(self.next)
    }

    /// The state of a connection, until it is forgotten.
    pub fn link(&self, connection: Connection) -> Option<&Link> {
        self.links.get(&connection)
    }

    /// The mutable state of a connection, until it is forgotten.
    pub fn link_mut(&mut self, connection: Connection) -> Option<&mut Link> {
        self.links.get_mut(&connection)
    }

    /// All connections that are not forgotten yet.
    pub fn connections(&self) -> Vec<Connection> {
        self.links.keys().copied().collect()
    }

    /// The connections of a machine.
    pub fn connections_of(&self, machine_id: MachineId) -> Vec<Connection> {
        let links =
            self.links.iter().filter(|(_, link)| link.dialer == machine_id || link.acceptor == machine_id);
        links.map(|(connection, _)| *connection).collect()
    }

    /// Forgets connections that are closed at both ends.
    pub fn forget_closed(&mut self) {
        self.links.retain(|_, link| link.dialer_open || link.acceptor_open);
    }

    /// When a message sent now arrives: never before one that was sent earlier on the same connection.
    pub fn arrival(
        &mut self,
        connection: Connection,
        to: MachineId,
        now: Instant,
        random: &mut fastrand::Rng,
    ) -> Instant {
        let Some(link) = self.links.get(&connection) else { return now };
        let passes_at = self.passes_at(link.other(to), to, now);
        let at = passes_at + random_duration(random, DELAY);
        let direction = usize::from(link.acceptor == to);
        let Some(link) = self.links.get_mut(&connection) else { return at };
        link.last_arrival[direction] = link.last_arrival[direction].max(at);
        link.last_arrival[direction]
    }
}
