//! Dispatchers: their connections, and the leases and call-backs that each incarnation of one has.

use crate::api::ConnectionId;
use crate::scheduling::ServiceIndex;
use crate::time::Instant;
use millrudder_protocol::{DispatcherId, Epoch, LeaseToken, MessageId};
use millrudder_topology::Distance;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Whether a dispatcher is known to have a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseConfirmation {
    Confirmed,
    /// The dispatcher must announce the lease in a `Hello` before this time.
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

/// What a dispatcher says of itself on a new connection or at a new placement.
#[derive(Clone, Debug)]
pub(crate) struct Announcement {
    /// From this store.
    pub distance: Distance,
    /// Of the placement that it knows.
    pub epoch: Epoch,
    /// Leases whose outcome was not acknowledged.
    pub leases: BTreeMap<MessageId, LeaseToken>,
    /// Messages that it asked to be accepted or withdrawn, without an answer.
    pub in_doubt: BTreeSet<MessageId>,
}

/// One incarnation of a dispatcher process.
#[derive(Clone, Debug)]
pub(crate) struct Incarnation {
    connection: Option<ConnectionId>,
    /// From this store.
    distance: Distance,
    /// It stops; nothing more is granted to it.
    is_shutting_down: bool,
    last_message_at: Instant,
    /// Placement in force at its last `Hello`.
    epoch: Epoch,
    /// Leases that it announced then.
    announced_leases: BTreeMap<MessageId, LeaseToken>,
    /// Messages that it had asked to be accepted or withdrawn then, without an answer.
    in_doubt: BTreeSet<MessageId>,
    leases: BTreeMap<MessageId, LeaseConfirmation>,
    callbacks: BTreeSet<MessageId>,
    limits: BTreeMap<ServiceIndex, u32>,
}

impl Incarnation {
    fn new(now: Instant) -> Self {
        Incarnation {
            connection: None,
            distance: Distance::default(),
            is_shutting_down: false,
            last_message_at: now,
            epoch: Epoch::default(),
            announced_leases: BTreeMap::new(),
            in_doubt: BTreeSet::new(),
            leases: BTreeMap::new(),
            callbacks: BTreeSet::new(),
            limits: BTreeMap::new(),
        }
    }

    /// It has said, on the present connection, what it holds and which placement it knows.
    pub fn announce(&mut self, announcement: Announcement) {
        let Announcement { distance, epoch, leases, in_doubt } = announcement;
        self.distance = distance;
        self.epoch = epoch;
        self.announced_leases = leases;
        self.in_doubt = in_doubt;
    }

    pub fn is_connected(&self) -> bool {
        self.connection.is_some()
    }

    pub fn distance(&self) -> Distance {
        self.distance
    }

    /// Epoch of the placement that it knew when it announced itself.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Leases that it announced.
    pub fn announced_leases(&self) -> impl Iterator<Item = (MessageId, LeaseToken)> + '_ {
        self.announced_leases.iter().map(|(id, token)| (*id, *token))
    }

    /// Token of the lease on the message that it announced.
    pub fn announced_token(&self, id: MessageId) -> Option<LeaseToken> {
        self.announced_leases.get(&id).copied()
    }

    /// It announced that it waits for an answer to its request to accept or withdraw the message.
    pub fn is_in_doubt(&self, id: MessageId) -> bool {
        self.in_doubt.contains(&id)
    }

    pub fn add_lease(&mut self, id: MessageId, confirmation: LeaseConfirmation) {
        self.leases.insert(id, confirmation);
    }

    pub fn remove_lease(&mut self, id: MessageId) {
        self.leases.remove(&id);
    }

    /// Whether it is known to have the lease on the message; `None` if it is known not to.
    pub fn confirmation_of(&self, id: MessageId) -> Option<&LeaseConfirmation> {
        self.leases.get(&id)
    }

    /// Messages whose leases it has to confirm, in order.
    pub fn unconfirmed(&self) -> Vec<MessageId> {
        let is_open =
            |confirmation: &LeaseConfirmation| matches!(confirmation, LeaseConfirmation::Unconfirmed { .. });
        self.leases.iter().filter(|(_, confirmation)| is_open(confirmation)).map(|(id, _)| *id).collect()
    }

    /// Its connection is closed: it has to confirm all leases before `until`. Gives their messages, in order.
    pub fn expect_confirmations(&mut self, until: Instant) -> Vec<MessageId> {
        for confirmation in self.leases.values_mut() {
            *confirmation = LeaseConfirmation::Unconfirmed { until };
        }
        self.leases.keys().copied().collect()
    }

    pub fn add_callback(&mut self, id: MessageId) {
        self.callbacks.insert(id);
    }

    pub fn remove_callback(&mut self, id: MessageId) {
        self.callbacks.remove(&id);
    }

    /// Call-backs that it has in flight.
    pub fn callback_count(&self) -> usize {
        self.callbacks.len()
    }

    /// Takes all call-backs that it had in flight, in order.
    pub fn take_callbacks(&mut self) -> BTreeSet<MessageId> {
        std::mem::take(&mut self.callbacks)
    }

    /// Deliveries of the service that it takes at a time; `None` where it did not say.
    pub fn limit_of(&self, service: ServiceIndex) -> Option<u32> {
        self.limits.get(&service).copied()
    }

    pub fn set_limit(&mut self, service: ServiceIndex, limit: u32) {
        self.limits.insert(service, limit);
    }

    /// It stops: nothing more is granted to it.
    pub fn set_shutting_down(&mut self) {
        self.is_shutting_down = true;
    }

    /// Something may be granted to it.
    pub fn is_open(&self) -> bool {
        self.connection.is_some() && !self.is_shutting_down
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

/// All dispatchers that are connected, or have leases or call-backs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Dispatchers {
    incarnations: BTreeMap<DispatcherId, Incarnation>,
    connections: BTreeMap<ConnectionId, DispatcherId>,
    /// When heartbeats are checked next; `None` while nobody is connected.
    heartbeat_check_at: Option<Instant>,
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

    /// The incarnation, added if it is not known.
    pub fn add(&mut self, dispatcher: DispatcherId, now: Instant) -> &mut Incarnation {
        self.incarnations.entry(dispatcher).or_insert_with(|| Incarnation::new(now))
    }

    pub fn iter(&self) -> impl Iterator<Item = (DispatcherId, &Incarnation)> + '_ {
        self.incarnations.iter().map(|(dispatcher, incarnation)| (*dispatcher, incarnation))
    }

    /// The `count` home dispatchers of a receiver or a service: of the store's region, or of all if that has none, the
    /// first by a hash of both names (rendezvous hashing; Thaler, Ravishankar, 1998). All stores of a region choose the
    /// same ones without talking to each other, and a dispatcher that comes or goes changes few choices.
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

    /// Ties a connection to an incarnation.
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

    /// Connections on which nothing came for `heartbeat_timeout`.
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

    /// When heartbeats are to be checked; `None` if that is set already, or nobody is connected.
    pub fn schedule_heartbeat_check(&mut self, now: Instant, interval: Duration) -> Option<Instant> {
        if self.heartbeat_check_at.is_some() || self.connections.is_empty() {
            return None;
        }
        self.heartbeat_check_at = Some(now + interval);
        self.heartbeat_check_at
    }

    /// The check that was scheduled is made now.
    pub fn start_heartbeat_check(&mut self) {
        self.heartbeat_check_at = None;
    }

    /// Forgets an incarnation that has neither a connection nor a lease nor a call-back.
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
