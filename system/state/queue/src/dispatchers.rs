//! Dispatchers: their connections, and the leases and call-backs that each incarnation (process life) of a
//! dispatcher holds.

use crate::api::ConnectionId;
use crate::scheduling::ServiceIndex;
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
    /// The dispatcher must announce the lease in a `Hello` before this time, or the message is granted again.
    Unconfirmed {
        until: Instant,
    },
}

impl LeaseConfirmation {
    /// Whether the lease had to be confirmed by `at` at the latest and was not.
    pub fn has_lapsed(&self, at: Instant) -> bool {
        matches!(self, LeaseConfirmation::Unconfirmed { until } if *until <= at)
    }
}

/// What a dispatcher announces in a `Hello`, on a new connection or after a new placement.
#[derive(Clone, Debug)]
pub(crate) struct Announcement {
    /// Network distance between the dispatcher and this store.
    pub distance: Distance,
    /// Epoch of the placement that the dispatcher knows.
    pub epoch: Epoch,
    /// Leases whose outcome has not been acknowledged.
    pub leases: BTreeMap<MessageId, LeaseToken>,
    /// Messages that it has asked to be accepted or withdrawn, without having received an answer.
    pub in_doubt: BTreeSet<MessageId>,
}

/// One incarnation of a dispatcher: a single run of its process.
#[derive(Clone, Debug)]
pub(crate) struct Incarnation {
    connection: Option<ConnectionId>,
    /// Network distance between the dispatcher and this store.
    distance: Distance,
    /// The dispatcher is shutting down; no further messages are granted to it.
    is_shutting_down: bool,
    last_message_at: Instant,
    /// Epoch of the placement that the dispatcher knew at its last `Hello`.
    epoch: Epoch,
    /// Leases that it announced in that `Hello`.
    announced_leases: BTreeMap<MessageId, LeaseToken>,
    /// Messages it reported in that `Hello` as sent for acceptance or withdrawal without an answer.
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

    /// Records the announcement that the dispatcher made on its current connection.
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

    /// Epoch of the placement that the dispatcher knew when it announced itself.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Leases that the dispatcher announced.
    pub fn announced_leases(&self) -> impl Iterator<Item = (MessageId, LeaseToken)> + '_ {
        self.announced_leases.iter().map(|(id, token)| (*id, *token))
    }

    /// Token of the lease that the dispatcher announced for the message.
    pub fn announced_token(&self, id: MessageId) -> Option<LeaseToken> {
        self.announced_leases.get(&id).copied()
    }

    /// Whether the dispatcher announced that it waits for an answer to its request to accept or withdraw the
    /// message.
    pub fn is_in_doubt(&self, id: MessageId) -> bool {
        self.in_doubt.contains(&id)
    }

    pub fn add_lease(&mut self, id: MessageId, confirmation: LeaseConfirmation) {
        self.leases.insert(id, confirmation);
    }

    pub fn remove_lease(&mut self, id: MessageId) {
        self.leases.remove(&id);
    }

    /// Whether the dispatcher's lease on the message is confirmed; `None` if it has no lease on it.
    pub fn confirmation_of(&self, id: MessageId) -> Option<&LeaseConfirmation> {
        self.leases.get(&id)
    }

    /// Messages whose leases the dispatcher has yet to confirm, in ascending order.
    pub fn unconfirmed_leases(&self) -> Vec<MessageId> {
        let is_open =
            |confirmation: &LeaseConfirmation| matches!(confirmation, LeaseConfirmation::Unconfirmed { .. });
        self.leases.iter().filter(|(_, confirmation)| is_open(confirmation)).map(|(id, _)| *id).collect()
    }

    /// Requires the dispatcher, whose connection is closed, to confirm all its leases before `until`. Returns
    /// their messages in ascending order.
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

    /// Number of call-backs that the dispatcher has in flight.
    pub fn callback_count(&self) -> usize {
        self.callbacks.len()
    }

    /// Removes and returns all call-backs that the dispatcher had in flight.
    pub fn take_callbacks(&mut self) -> BTreeSet<MessageId> {
        std::mem::take(&mut self.callbacks)
    }

    /// Maximum number of concurrent deliveries of the service that the dispatcher announced; `None` if it
    /// announced none.
    pub fn limit_of(&self, service: ServiceIndex) -> Option<u32> {
        self.limits.get(&service).copied()
    }

    pub fn set_limit(&mut self, service: ServiceIndex, limit: u32) {
        self.limits.insert(service, limit);
    }

    /// Marks the dispatcher as shutting down, so that no further messages are granted to it.
    pub fn set_shutting_down(&mut self) {
        self.is_shutting_down = true;
    }

    /// Whether messages may be granted to the dispatcher: it is connected and not shutting down.
    pub fn accepts_grants(&self) -> bool {
        self.connection.is_some() && !self.is_shutting_down
    }

    /// Messages whose leases were not confirmed in time.
    pub fn lapsed_leases(&self, now: Instant) -> Vec<MessageId> {
        self.leases
            .iter()
            .filter(|(_, confirmation)| confirmation.has_lapsed(now))
            .map(|(id, _)| *id)
            .collect()
    }
}

/// All dispatchers that are connected, or that hold leases or call-backs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Dispatchers {
    incarnations: BTreeMap<DispatcherId, Incarnation>,
    connections: BTreeMap<ConnectionId, DispatcherId>,
    /// Time of the next heartbeat check; `None` while no dispatcher is connected.
    heartbeat_check_at: Option<Instant>,
}

impl Dispatchers {
    pub fn dispatcher_of(&self, connection: ConnectionId) -> Option<DispatcherId> {
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

    /// Returns the incarnation with this identifier, which is added if it is unknown.
    pub fn find_or_add(&mut self, dispatcher: DispatcherId, now: Instant) -> &mut Incarnation {
        self.incarnations.entry(dispatcher).or_insert_with(|| Incarnation::new(now))
    }

    pub fn iter(&self) -> impl Iterator<Item = (DispatcherId, &Incarnation)> + '_ {
        self.incarnations.iter().map(|(dispatcher, incarnation)| (*dispatcher, incarnation))
    }

    /// Chooses the `count` home dispatchers of a receiver or a service by rendezvous hashing (Thaler,
    /// Ravishankar, 1998) over both names. Only dispatchers in the store's region are considered, or those of
    /// all regions if it has none.
    ///
    /// All stores of a region choose the same dispatchers without communicating, and a dispatcher that joins or
    /// leaves changes few choices.
    pub fn home_dispatchers(&self, name: &str, count: usize) -> Vec<DispatcherId> {
        let open = || self.iter().filter(|(_, incarnation)| incarnation.accepts_grants());
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

    /// Assigns a connection to an incarnation.
    pub fn connect(
        &mut self,
        connection: ConnectionId,
        dispatcher: DispatcherId,
        now: Instant,
    ) -> &mut Incarnation {
        self.connections.insert(connection, dispatcher);
        let incarnation = self.find_or_add(dispatcher, now);
        incarnation.connection = Some(connection);
        incarnation.last_message_at = now;
        incarnation
    }

    /// Removes a closed connection. Returns its dispatcher, unless that has a newer connection.
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

    /// Connections on which nothing was received for `heartbeat_timeout`.
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

    /// Schedules the next heartbeat check and returns its time; `None` if one is already scheduled or no
    /// dispatcher is connected.
    pub fn schedule_heartbeat_check(&mut self, now: Instant, interval: Duration) -> Option<Instant> {
        if self.heartbeat_check_at.is_some() || self.connections.is_empty() {
            return None;
        }
        self.heartbeat_check_at = Some(now + interval);
        self.heartbeat_check_at
    }

    /// Called when the scheduled heartbeat check starts.
    pub fn start_heartbeat_check(&mut self) {
        self.heartbeat_check_at = None;
    }

    /// Removes an incarnation that has no connection, no lease and no call-back.
    pub fn remove_if_unused(&mut self, dispatcher: DispatcherId) {
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
