//! Dispatchers: their connections, and what each life of one holds.

use crate::api::ConnectionId;
use crate::schedule::ServiceIndex;
use crate::time::Time;
use millrudder_protocol::{DispatcherId, Epoch, LeaseToken, MessageId};
use millrudder_topology::Distance;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Whether a dispatcher is known to hold a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hold {
    Confirmed,
    /// It must list it in a `Hello` before this time.
    Unconfirmed {
        until: Time,
    },
}

impl Hold {
    /// It was to be confirmed by `at` at the latest, and was not.
    pub fn is_over(&self, at: Time) -> bool {
        matches!(self, Hold::Unconfirmed { until } if *until <= at)
    }
}

/// One life of a dispatcher process.
#[derive(Clone, Debug)]
pub(crate) struct Life {
    pub connection: Option<ConnectionId>,
    /// From this store.
    pub distance: Distance,
    /// It stops; nothing more is granted to it.
    pub leaving: bool,
    pub heard_at: Time,
    /// Placement in force at its last `Hello`.
    pub epoch: Epoch,
    /// What it held then.
    pub held: BTreeMap<MessageId, LeaseToken>,
    /// What it had asked to be kept or withdrawn then, without an answer.
    pub in_doubt: BTreeSet<MessageId>,
    pub leases: BTreeMap<MessageId, Hold>,
    pub callbacks: BTreeSet<MessageId>,
    pub limits: BTreeMap<ServiceIndex, u32>,
}

impl Life {
    fn new(now: Time) -> Self {
        Life {
            connection: None,
            distance: Distance::default(),
            leaving: false,
            heard_at: now,
            epoch: Epoch::default(),
            held: BTreeMap::new(),
            in_doubt: BTreeSet::new(),
            leases: BTreeMap::new(),
            callbacks: BTreeSet::new(),
            limits: BTreeMap::new(),
        }
    }

    /// Something may be granted to it.
    pub fn is_open(&self) -> bool {
        self.connection.is_some() && !self.leaving
    }

    /// Leases that were not confirmed in time.
    pub fn overdue(&self, now: Time) -> Vec<MessageId> {
        self.leases.iter().filter(|(_, hold)| hold.is_over(now)).map(|(id, _)| *id).collect()
    }
}

/// All dispatchers that are connected or hold something.
#[derive(Clone, Debug, Default)]
pub(crate) struct Dispatchers {
    lives: BTreeMap<DispatcherId, Life>,
    connections: BTreeMap<ConnectionId, DispatcherId>,
}

impl Dispatchers {
    pub fn of(&self, connection: ConnectionId) -> Option<DispatcherId> {
        self.connections.get(&connection).copied()
    }

    pub fn is_connected(&self, connection: ConnectionId) -> bool {
        self.connections.contains_key(&connection)
    }

    pub fn get(&self, dispatcher: DispatcherId) -> Option<&Life> {
        self.lives.get(&dispatcher)
    }

    pub fn get_mut(&mut self, dispatcher: DispatcherId) -> Option<&mut Life> {
        self.lives.get_mut(&dispatcher)
    }

    /// The life, added if it is not known.
    pub fn add(&mut self, dispatcher: DispatcherId, now: Time) -> &mut Life {
        self.lives.entry(dispatcher).or_insert_with(|| Life::new(now))
    }

    pub fn iter(&self) -> impl Iterator<Item = (DispatcherId, &Life)> + '_ {
        self.lives.iter().map(|(dispatcher, life)| (*dispatcher, life))
    }

    /// The `count` dispatchers of the store's region, or of all if it has none, that speak with a receiver or a service: the first by a hash of both
    /// names (rendezvous hashing), so that all stores of a region choose the same without a word, and a dispatcher that
    /// comes or goes changes little.
    pub fn homes(&self, name: &str, count: usize) -> Vec<DispatcherId> {
        let open = || self.iter().filter(|(_, life)| life.is_open());
        let is_far = |life: &Life| life.distance == Distance::OtherRegion;
        let all_far = open().all(|(_, life)| is_far(life));
        let near = open().filter(|(_, life)| all_far || !is_far(life));
        let mut ranked: Vec<(u64, DispatcherId)> = near
            .map(|(dispatcher, _)| (xxh3_64_with_seed(name.as_bytes(), dispatcher.0), dispatcher))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(count);
        ranked.into_iter().map(|(_, dispatcher)| dispatcher).collect()
    }

    pub fn connection_of(&self, dispatcher: DispatcherId) -> Option<ConnectionId> {
        self.lives.get(&dispatcher)?.connection
    }

    /// Ties a connection to a life.
    pub fn connect(&mut self, connection: ConnectionId, dispatcher: DispatcherId, now: Time) -> &mut Life {
        self.connections.insert(connection, dispatcher);
        let life = self.add(dispatcher, now);
        life.connection = Some(connection);
        life.heard_at = now;
        life
    }

    /// The connection is closed; gives whose it was.
    pub fn disconnect(&mut self, connection: ConnectionId) -> Option<DispatcherId> {
        let dispatcher = self.connections.remove(&connection)?;
        let life = self.lives.get_mut(&dispatcher)?;
        if life.connection != Some(connection) {
            return None;
        }
        life.connection = None;
        Some(dispatcher)
    }

    pub fn heard(&mut self, connection: ConnectionId, now: Time) {
        let Some(dispatcher) = self.connections.get(&connection) else { return };
        if let Some(life) = self.lives.get_mut(dispatcher) {
            life.heard_at = now;
        }
    }

    /// Connections that were silent for `silence_ms`.
    pub fn silent(&self, now: Time, silence_ms: u64) -> Vec<ConnectionId> {
        let is_silent = |life: &&Life| now.since(life.heard_at) >= silence_ms;
        self.lives.values().filter(is_silent).filter_map(|life| life.connection).collect()
    }

    pub fn any_connected(&self) -> bool {
        !self.connections.is_empty()
    }

    /// Forgets a life that is over and holds nothing.
    pub fn forget_if_gone(&mut self, dispatcher: DispatcherId) {
        let is_gone =
            |life: &Life| life.connection.is_none() && life.leases.is_empty() && life.callbacks.is_empty();
        if self.lives.get(&dispatcher).is_some_and(is_gone) {
            self.lives.remove(&dispatcher);
        }
    }
}
