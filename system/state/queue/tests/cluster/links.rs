//! Simulated connections: messages arrive in order after a delay; connections can be partitioned, closed and
//! reopened.

use std::collections::BTreeMap;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Store(usize),
    Dispatcher(usize),
}

/// A link between two ends, the lesser one first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub End, pub End);

impl LinkId {
    pub fn between(a: End, b: End) -> Self {
        LinkId(a.min(b), a.max(b))
    }

    pub fn touches(&self, end: End) -> bool {
        self.0 == end || self.1 == end
    }

    pub fn other(&self, end: End) -> End {
        if self.0 == end {
            self.1
        } else {
            self.0
        }
    }
}

/// The state of a link.
#[derive(Clone, Debug, Default)]
pub struct Link {
    /// Number of the current or last connection.
    pub connection: u64,
    pub open: bool,
    /// The link is partitioned until this time.
    pub partitioned_until_ms: u64,
    /// Earliest time at which it may be opened again.
    pub free_at_ms: u64,
    /// Time of the last arrival at the lesser and at the greater end.
    last_arrival_ms: [u64; 2],
}

/// The state of all links.
#[derive(Default)]
pub struct Links {
    links: BTreeMap<LinkId, Link>,
    connections: u64,
}

impl Links {
    pub fn get(&mut self, id: LinkId) -> &mut Link {
        self.links.entry(id).or_default()
    }

    /// Opens a new connection and returns its number.
    pub fn open(&mut self, id: LinkId) -> u64 {
        self.connections += 1;
        let connection = self.connections;
        let link = self.get(id);
        link.connection = connection;
        link.open = true;
        link.last_arrival_ms = [0, 0];
        connection
    }

    /// Arrival time at `to` of a message sent now: never before that of an earlier message.
    pub fn arrival(&mut self, id: LinkId, to: End, at_ms: u64) -> u64 {
        let link = self.get(id);
        let at_ms = at_ms.max(link.partitioned_until_ms);
        let direction = usize::from(id.1 == to);
        link.last_arrival_ms[direction] = link.last_arrival_ms[direction].max(at_ms);
        link.last_arrival_ms[direction]
    }

    pub fn open_at(&self, end: End) -> Vec<LinkId> {
        let is_open = |(id, link): &(&LinkId, &Link)| id.touches(end) && link.open;
        self.links.iter().filter(is_open).map(|(id, _)| *id).collect()
    }
}
