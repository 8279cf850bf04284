//! Dispatchers: their connections, and what each life of one holds.

use crate::api::ConnectionId;
use crate::schedule::ServiceIndex;
use crate::time::Instant;
use millrudder_protocol::{DispatcherId, Epoch, LeaseToken, MessageId};
use millrudder_topology::Distance;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Whether a dispatcher is known to hold a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseConfirmation {
    Confirmed,
    /// It must list it in a `Hello` before this time.
    Unconfirmed {
        until: Instant,
    },
}

impl LeaseConfirmation {
    /// It was to be confirmed by `at` at the latest, and was not.
    pub fn has_lapsed(&self, at: Instant) -> bool {
        matches!(self, LeaseConfirmation::Unconfirmed { until } if *until <= at)
    }
}

/// One life of a dispatcher process.
#[derive(Clone, Debug)]
pub(crate) struct Incarnation {
    pub connection: Option<ConnectionId>,
    /// From this store.
    pub distance: Distance,
    /// It stops; nothing more is granted to it.
    pub leaving: bool,
    pub last_message_at: Instant,
    /// Placement in force at its last `Hello`.
    pub epoch: Epoch,
    /// What it held then.
    pub held: BTreeMap<MessageId, LeaseToken>,
    /// What it had asked to be kept or withdrawn then, without an answer.
    pub in_doubt: BTreeSet<MessageId>,
    pub leases: BTreeMap<MessageId, LeaseConfirmation>,
    pub callbacks: BTreeSet<MessageId>,
    pub limits: BTreeMap<ServiceIndex, u32>,
}

impl Incarnation {
    fn new(now: Instant) -> Self {
        Incarnation {
            connection: None,
            distance: Distance::default(),
            leaving: false,
            last_message_at: now,
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
    pub fn overdue(&self, now: Instant) -> Vec<MessageId> {
        self.leases
            .iter()
            .filter(|(_, confirmation)| confirmation.has_lapsed(now))
            .map(|(id, _)| *id)
            .collect()
    }
}

/// All dispatchers that are connected or hold something.
#[derive(Clone, Debug, Default)]
pub(crate) struct Dispatchers {
    incarnations: BTreeMap<DispatcherId, Incarnation>,
    connections: BTreeMap<ConnectionId, DispatcherId>,
}

impl Dispatchers {
    pub fn of(&self, connection: ConnectionId) -> Option<DispatcherId> {
        self.connections.get(&connection).copied()
    }

    pub fn is_connected(&self, connection: ConnectionId) -> bool {
        self.connections.contains_key(&connection)
    }

    pub fn get(&self, dispatcher: DispatcherId) -> Option<&Incarnation> {
        self.incarnations.get(&dispatcher)
    }

    pub fn get_mut(&mut self, dispatcher: DispatcherId) -> Option<&mut Incarnation> {
        self.incarnations.get_mut(&dispatcher)
    }

    /// The life, added if it is not known.
    pub fn add(&mut self, dispatcher: DispatcherId, now: Instant) -> &mut Incarnation {
        self.incarnations.entry(dispatcher).or_insert_with(|| Incarnation::new(now))
    }

    pub fn iter(&self) -> impl Iterator<Item = (DispatcherId, &Incarnation)> + '_ {
        self.incarnations.iter().map(|(dispatcher, incarnation)| (*dispatcher, incarnation))
    }

    /// The `count` dispatchers of the store's region, or of all if it has none, that speak with a receiver or a service: the first by a hash of both
    /// names (rendezvous hashing), so that all stores of a region choose the same without a word, and a dispatcher that
    /// comes or goes changes little.
    pub fn home_dispatchers(&self, name: &str, count: usize) -> Vec<DispatcherId> {
        let open = || self.iter().filter(|(_, incarnation)| incarnation.is_open());
        let is_far = |incarnation: &Incarnation| incarnation.distance == Distance::OtherRegion;
        let all_far = open().all(|(_, incarnation)| is_far(incarnation));
        let near = open().filter(|(_, incarnation)| all_far || !is_far(incarnation));
        let mut ranked: Vec<(u64, DispatcherId)> = near
            .map(|(dispatcher, _)| (xxh3_64_with_seed(name.as_bytes(), dispatcher.0), dispatcher))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(count);
        ranked.into_iter().map(|(_, dispatcher)| dispatcher).collect()
    }

    pub fn connection_of(&self, dispatcher: DispatcherId) -> Option<ConnectionId> {
        self.incarnations.get(&dispatcher)?.connection
    }

    /// Ties a connection to a life.
    pub fn connect(
        &mut self,
        connection: ConnectionId,
        dispatcher: DispatcherId,
        now: Instant,
    ) -> &mut Incarnation {
        self.connections.insert(connection, dispatcher);
        let incarnation = self.add(dispatcher, now);
        incarnation.connection = Some(connection);
        incarnation.last_message_at = now;
        incarnation
    }

    /// The connection is closed; gives whose it was.
    pub fn disconnect(&mut self, connection: ConnectionId) -> Option<DispatcherId> {
        let dispatcher = self.connections.remove(&connection)?;
        let incarnation = self.incarnations.get_mut(&dispatcher)?;
        if incarnation.connection != Some(connection) {
            return None;
        }
        incarnation.connection = None;
        Some(dispatcher)
    }

    pub fn record_activity(&mut self, connection: ConnectionId, now: Instant) {
        let Some(dispatcher) = self.connections.get(&connection) else { return };
        if let Some(incarnation) = self.incarnations.get_mut(dispatcher) {
            incarnation.last_message_at = now;
        }
    }

    /// Connections that were unresponsive for `heartbeat_timeout`.
    pub fn unresponsive(&self, now: Instant, heartbeat_timeout: Duration) -> Vec<ConnectionId> {
        let is_unresponsive = |incarnation: &&Incarnation| {
            now.saturating_duration_since(incarnation.last_message_at) >= heartbeat_timeout
        };
        self.incarnations
            .values()
            .filter(is_unresponsive)
            .filter_map(|incarnation| incarnation.connection)
            .collect()
    }

    pub fn any_connected(&self) -> bool {
        !self.connections.is_empty()
    }

    /// Forgets a life that is over and holds nothing.
    pub fn forget_if_gone(&mut self, dispatcher: DispatcherId) {
        let is_gone = |incarnation: &Incarnation| {
            incarnation.connection.is_none()
                && incarnation.leases.is_empty()
                && incarnation.callbacks.is_empty()
        };
        if self.incarnations.get(&dispatcher).is_some_and(is_gone) {
            self.incarnations.remove(&dispatcher);
        }
    }
}
