//! Simulated connections: in order, with a delay; cut, closed and opened again.

use std::collections::BTreeMap;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Store(usize),
    Dispatcher(usize),
}

/// A link between two ends, the lesser first.
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

/// State of a link.
#[derive(Clone, Debug, Default)]
pub struct Link {
    /// Number of the present or last connection.
    pub connection: u64,
    pub open: bool,
    /// Nothing passes before this time.
    pub partitioned_until_ms: u64,
    /// When it may be opened again.
    pub free_at_ms: u64,
    /// Last arrival at the lesser and at the greater end.
    last_arrival_ms: [u64; 2],
}

/// All links.
#[derive(Default)]
pub struct Links {
    links: BTreeMap<LinkId, Link>,
    connections: u64,
}

impl Links {
    pub fn get(&mut self, id: LinkId) -> &mut Link {
        self.links.entry(id).or_default()
    }

    /// Opens a new connection and gives its number.
    pub fn open(&mut self, id: LinkId) -> u64 {
        self.connections += 1;
        let connection = self.connections;
        let link = self.get(id);
        link.connection = connection;
        link.open = true;
        link.last_arrival_ms = [0, 0];
        connection
    }

    /// When something arrives at `to` that is sent now: never before what was sent earlier.
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
