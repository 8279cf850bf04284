//! Connections between machines: in order and with a delay; cut, reset and opened again.

use crate::event::Connection;
use crate::machine_id::MachineId;
use std::collections::BTreeMap;

/// Shortest and longest ordinary delay of a message (microseconds).
const DELAY: std::ops::Range<u64> = 300..2_500;

/// One connection as its two ends see it.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    pub dialer: MachineId,
    pub acceptor: MachineId,
    /// Each end has not learnt of its end yet.
    pub dialer_open: bool,
    pub acceptor_open: bool,
    /// Last arrival at the dialer and at the acceptor.
    last_arrival: [u64; 2],
    /// Since when nothing passes in one direction at least.
    pub blocked_since: Option<u64>,
}

impl Link {
    /// The other end.
    pub fn other(&self, machine_id: MachineId) -> MachineId {
        if self.dialer == machine_id {
            self.acceptor
        } else {
            self.dialer
        }
    }

    /// Whether the end at `place` takes this connection for open.
    pub fn is_open_at(&self, machine_id: MachineId) -> bool {
        if self.dialer == machine_id {
            self.dialer_open
        } else {
            self.acceptor_open
        }
    }

    /// The end at `place` has learnt that it is closed.
    pub fn close_at(&mut self, machine_id: MachineId) {
        if self.dialer == machine_id {
            self.dialer_open = false;
        } else {
            self.acceptor_open = false;
        }
    }
}

/// All connections and cuts.
#[derive(Clone, Debug, Default)]
pub struct Network {
    links: BTreeMap<Connection, Link>,
    next: u64,
    /// Nothing passes from the first to the second before this time.
    partitions: BTreeMap<(MachineId, MachineId), u64>,
}

impl Network {
    /// Cuts one direction until a time.
    pub fn partition(&mut self, from: MachineId, to: MachineId, until: u64) {
        let partitioned_until = self.partitions.entry((from, to)).or_default();
        *partitioned_until = until.max(*partitioned_until);
    }

    /// When what is sent from one place passes to the other.
    pub fn passes_at(&self, from: MachineId, to: MachineId, now: u64) -> u64 {
        self.partitions.get(&(from, to)).copied().unwrap_or_default().max(now)
    }

    /// Whether nothing passes from one place to the other now.
    pub fn is_partitioned(&self, from: MachineId, to: MachineId, now: u64) -> bool {
        self.passes_at(from, to, now) > now
    }

    /// Whether the two places can talk in both directions.
    pub fn can_communicate(&self, one: MachineId, other: MachineId, now: u64) -> bool {
        !self.is_partitioned(one, other, now) && !self.is_partitioned(other, one, now)
    }

    /// A new connection, open at both ends.
    pub fn open(&mut self, dialer: MachineId, acceptor: MachineId) -> Connection {
        self.next += 1;
        let link = Link {
            dialer,
            acceptor,
            dialer_open: true,
            acceptor_open: true,
            last_arrival: [0, 0],
            blocked_since: None,
        };
        self.links.insert(Connection(self.next), link);
        Connection(self.next)
    }

    pub fn link(&self, connection: Connection) -> Option<&Link> {
        self.links.get(&connection)
    }

    pub fn link_mut(&mut self, connection: Connection) -> Option<&mut Link> {
        self.links.get_mut(&connection)
    }

    /// Connections that some end takes for open.
    pub fn connections(&self) -> Vec<Connection> {
        self.links.keys().copied().collect()
    }

    /// Connections that touch a place.
    pub fn connections_of(&self, machine_id: MachineId) -> Vec<Connection> {
        let connections_of =
            self.links.iter().filter(|(_, link)| link.dialer == machine_id || link.acceptor == machine_id);
        connections_of.map(|(connection, _)| *connection).collect()
    }

    /// Forgets connections that both ends have closed.
    pub fn forget_closed(&mut self) {
        self.links.retain(|_, link| link.dialer_open || link.acceptor_open);
    }

    /// When something arrives that is sent now: never before what was sent earlier on the same connection.
    pub fn arrival(
        &mut self,
        connection: Connection,
        to: MachineId,
        now: u64,
        random: &mut fastrand::Rng,
    ) -> u64 {
        let Some(link) = self.links.get(&connection) else { return now };
        let passes_at = self.passes_at(link.other(to), to, now);
        let at = passes_at + random.u64(DELAY);
        let direction = usize::from(link.acceptor == to);
        let Some(link) = self.links.get_mut(&connection) else { return at };
        link.last_arrival[direction] = link.last_arrival[direction].max(at);
        link.last_arrival[direction]
    }
}
