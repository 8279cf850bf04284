//! Which core machines a process is connected to.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A connection that does not open within this is replaced, where another machine is known.
pub const CONNECT_TIMEOUT_MS: u64 = 1200;
/// The same for a core machine that has not vouched for its state for so long: four of its confirmations.
pub const CONFIRM_TIMEOUT_MS: u64 = 1200;
/// A machine that was left is not tried again for so long ...
pub const INITIAL_BACKOFF_MS: u64 = 500;
/// ... and twice as long each time, up to this.
pub const MAX_BACKOFF_MS: u64 = 2000;
/// A process that has not run for so long knows nothing of its connections.
const STOOD_STILL_MS: u64 = 1000;

/// What the process is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStep {
    Close(SocketAddr),
    Open(SocketAddr),
}

/// How a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Opening,
    /// Open; the machine has not vouched for its state yet.
    Open,
    /// The machine has vouched for its state.
    Confirmed,
    /// The machine cannot vouch for its state, or sends this process away.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Link {
    standing: Standing,
    /// Of the last change or vouching.
    since: u64,
}

#[derive(Clone, Copy, Debug)]
struct Rest {
    until: u64,
    next_ms: u64,
}

/// Chooses the core machines to be connected to: leaves those that do not vouch for their state for others, and does
/// not come back to them at once.
#[derive(Clone, Debug)]
pub struct ConnectionPlanner {
    most: usize,
    known: Vec<SocketAddr>,
    links: BTreeMap<SocketAddr, Link>,
    rests: BTreeMap<SocketAddr, Rest>,
    /// The next of the known addresses to try.
    next: usize,
    polled: u64,
}

impl ConnectionPlanner {
    /// A plan for up to `most` connections; `seed` picks the machine to begin with.
    pub fn new(most: usize, seed: u64) -> ConnectionPlanner {
        ConnectionPlanner {
            most,
            known: Vec::new(),
            links: BTreeMap::new(),
            rests: BTreeMap::new(),
            next: seed as usize,
            polled: 0,
        }
    }

    /// There is a core machine at an address. True if that was not known.
    pub fn know(&mut self, address: SocketAddr) -> bool {
        let is_new = !self.known.contains(&address);
        if is_new {
            self.known.push(address);
        }
        is_new
    }

    /// How many core machines are known.
    pub fn known(&self) -> usize {
        self.known.len()
    }

    /// Whether some core machine vouches for its state on an open connection.
    pub fn is_served(&self) -> bool {
        self.links.values().any(|link| link.standing == Standing::Confirmed)
    }

    pub fn opened(&mut self, now: u64, address: SocketAddr) {
        self.set(now, address, Standing::Open);
    }

    pub fn closed(&mut self, now: u64, address: SocketAddr) {
        let refused = self.links.get(&address).is_some_and(|link| link.standing == Standing::Refused);
        if !refused {
            self.set(now, address, Standing::Opening);
        }
    }

    /// The machine has confirmed that its state was current at `moment`, when this process asked.
    pub fn vouched(&mut self, now: u64, address: SocketAddr, moment: u64) {
        if now.saturating_sub(moment) < CONFIRM_TIMEOUT_MS {
            self.set(now, address, Standing::Confirmed);
            self.rests.remove(&address);
        }
    }

    /// The machine has said that it cannot confirm its state, or that it ends.
    pub fn refused(&mut self, now: u64, address: SocketAddr) {
        self.set(now, address, Standing::Refused);
    }

    /// What is to be done now.
    pub fn poll(&mut self, now: u64) -> Vec<ConnectionStep> {
        self.forgive_own_pause(now);
        let mut steps = Vec::new();
        for address in self.lacking(now) {
            let Some(other) = self.candidate(now) else { break };
            self.leave(now, address);
            steps.push(ConnectionStep::Close(address));
            self.open(now, other, &mut steps);
        }
        while self.links.len() < self.most {
            let Some(other) = self.candidate(now) else { break };
            self.open(now, other, &mut steps);
        }
        steps
    }

    fn set(&mut self, now: u64, address: SocketAddr, standing: Standing) {
        if let Some(link) = self.links.get_mut(&address) {
            *link = Link { standing, since: now };
        }
    }

    /// After a time in which this process itself did not run, all connections get their time anew.
    fn forgive_own_pause(&mut self, now: u64) {
        let stood_still = now.saturating_sub(self.polled) >= STOOD_STILL_MS;
        self.polled = now;
        if stood_still {
            for link in self.links.values_mut() {
                link.since = now;
            }
        }
    }

    fn lacking(&self, now: u64) -> Vec<SocketAddr> {
        let lacking = self.links.iter().filter(|(_, link)| link.is_lacking(now));
        lacking.map(|(address, _)| *address).collect()
    }

    fn leave(&mut self, now: u64, address: SocketAddr) {
        self.links.remove(&address);
        let pause = self.rests.get(&address).map_or(INITIAL_BACKOFF_MS, |rest| rest.next_ms);
        let next_ms = (pause * 2).min(MAX_BACKOFF_MS);
        self.rests.insert(address, Rest { until: now + pause, next_ms });
    }

    fn open(&mut self, now: u64, address: SocketAddr, steps: &mut Vec<ConnectionStep>) {
        self.links.insert(address, Link { standing: Standing::Opening, since: now });
        steps.push(ConnectionStep::Open(address));
    }

    /// The next known address without a connection that may be tried.
    fn candidate(&mut self, now: u64) -> Option<SocketAddr> {
        for _ in 0..self.known.len() {
            self.next = self.next.wrapping_add(1);
            let address = self.known[self.next % self.known.len()];
            let rests = self.rests.get(&address).is_some_and(|rest| now < rest.until);
            if !rests && !self.links.contains_key(&address) {
                return Some(address);
            }
        }
        None
    }
}

impl Link {
    fn is_lacking(&self, now: u64) -> bool {
        let waited = now.saturating_sub(self.since);
        match self.standing {
            Standing::Opening => waited >= CONNECT_TIMEOUT_MS,
            Standing::Open | Standing::Confirmed => waited >= CONFIRM_TIMEOUT_MS,
            Standing::Refused => true,
        }
    }
}
