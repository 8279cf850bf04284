//! Connections of dispatchers: announcements, credits, heartbeats and disconnection.

use super::StoreNode;
use crate::api::{ConnectionId, Output};
use crate::dispatchers::{Announcement, LeaseConfirmation};
use crate::timers::Timer;
use millrudder_protocol::store::{ActiveLease, ServiceCredit, ToDispatcher};
use millrudder_protocol::{DispatcherId, Epoch, LeaseToken, MessageId};
use std::time::Duration;

/// Number of heartbeat checks within the time-out after which a dispatcher counts as gone.
const HEARTBEAT_CHECKS_PER_TIMEOUT: u32 = 4;
/// Shortest time between two heartbeat checks: the resolution of the clock.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(1);

impl StoreNode {
    /// Handles a `Hello`, by which a dispatcher announces itself and its leases.
    pub(super) fn handle_hello(
        &mut self,
        connection: ConnectionId,
        dispatcher: DispatcherId,
        zone: &str,
        epoch: Epoch,
        leases: &[ActiveLease],
        in_doubt: Vec<MessageId>,
    ) {
        let former = self.dispatchers.connection_of(dispatcher);
        if let Some(former) = former.filter(|former| *former != connection) {
            self.close_dispatcher(former);
        }
        let announcement = Announcement {
            distance: self.context.location.distance_to(zone),
            epoch,
            leases: leases.iter().map(|lease| (lease.id, lease.token)).collect(),
            in_doubt: in_doubt.into_iter().collect(),
        };
        self.dispatchers.connect(connection, dispatcher, self.context.now).announce(announcement);
        self.open_credits(dispatcher);
        let welcome =
            ToDispatcher::Welcome { store: self.context.local_id, epoch: self.context.placement.epoch };
        self.send_to_dispatcher(connection, welcome);
        self.reconcile_unconfirmed_leases(dispatcher);
        self.revoke_superseded(dispatcher, connection);
        self.callbacks.mark_all_runnable();
        self.schedule_heartbeat_check();
    }

    /// Gives a dispatcher credit for every service, so that messages may be granted to it.
    fn open_credits(&mut self, dispatcher: DispatcherId) {
        let Some(incarnation) =
            self.dispatchers.get(dispatcher).filter(|incarnation| incarnation.accepts_grants())
        else {
            return;
        };
        for index in self.services.indexes() {
            let limit = incarnation.limit_of(index).unwrap_or(self.context.config.default_credit);
            self.services.get_mut(index).credits_mut().open(dispatcher, limit, incarnation.distance());
            self.services.mark_runnable(index);
        }
    }

    fn close_credits(&mut self, dispatcher: DispatcherId) {
        for index in self.services.indexes() {
            self.services.get_mut(index).credits_mut().close(dispatcher);
        }
    }

    /// Reconciles the unconfirmed leases of a dispatcher with its announcement: announced leases are confirmed,
    /// and the messages of the others are scheduled again.
    fn reconcile_unconfirmed_leases(&mut self, dispatcher: DispatcherId) {
        let Some(incarnation) = self.dispatchers.get(dispatcher) else { return };
        for id in incarnation.unconfirmed_leases() {
            self.reconcile_lease(dispatcher, id);
        }
    }

    fn reconcile_lease(&mut self, dispatcher: DispatcherId, id: MessageId) {
        let term = self.primary_terms.number_of(id.shard);
        let token = self.lease_of(id).map(|lease| lease.token);
        let Some(incarnation) = self.dispatchers.get_mut(dispatcher) else { return };
        // The dispatcher did not know yet that this store is the primary, so its announcement does not cover
        // this shard.
        if term.is_none_or(|term| incarnation.epoch() < term) {
            return;
        }
        if token.is_some() && incarnation.announced_token(id) == token {
            incarnation.add_lease(id, LeaseConfirmation::Confirmed);
            return;
        }
        // The dispatcher does not know whether the message was accepted, and will send it again or withdraw it.
        if incarnation.is_in_doubt(id) {
            return;
        }
        self.reschedule(id, Duration::ZERO);
    }

    /// Revokes announced leases whose messages have been granted again under a newer token.
    fn revoke_superseded(&mut self, dispatcher: DispatcherId, connection: ConnectionId) {
        let Some(incarnation) = self.dispatchers.get(dispatcher) else { return };
        let is_superseded = |id: MessageId, token: LeaseToken| {
            let entry = self.table.get(id).filter(|entry| entry.primary.is_some());
            entry.and_then(|entry| entry.grant).is_some_and(|grant| grant.token > token)
        };
        let announced = incarnation.announced_leases();
        let superseded: Vec<(MessageId, LeaseToken)> =
            announced.filter(|(id, token)| is_superseded(*id, *token)).collect();
        for (id, token) in superseded {
            self.send_to_dispatcher(connection, ToDispatcher::Revoke { id, token });
        }
    }

    /// Closes the connection of a dispatcher that is unresponsive or has a newer connection.
    fn close_dispatcher(&mut self, connection: ConnectionId) {
        self.handle_dispatcher_closed(connection);
        self.context.outputs.push(Output::CloseDispatcher { connection });
    }

    /// Handles the end of a dispatcher's connection. The dispatcher may reconnect and announce its leases
    /// before the reconnect time-out.
    pub(super) fn handle_dispatcher_closed(&mut self, connection: ConnectionId) {
        let Some(dispatcher) = self.dispatchers.disconnect(connection) else { return };
        self.close_credits(dispatcher);
        let until = self.context.now + self.context.config.reconnect_timeout;
        let Some(incarnation) = self.dispatchers.get_mut(dispatcher) else { return };
        let leases = incarnation.expect_confirmations(until);
        for id in incarnation.take_callbacks() {
            self.callbacks.release(id, self.context.now);
        }
        for id in leases {
            if self.lease_of(id).is_some_and(|lease| !lease.is_notified) {
                self.reschedule(id, Duration::ZERO);
            }
        }
        self.context.timers.set(until, Timer::UnconfirmedLeases(dispatcher));
        self.dispatchers.remove_if_unused(dispatcher);
    }

    /// Schedules messages again whose leases a dispatcher did not confirm in time.
    pub(super) fn reschedule_unconfirmed_leases(&mut self, dispatcher: DispatcherId) {
        let overdue = self
            .dispatchers
            .get(dispatcher)
            .map(|incarnation| incarnation.lapsed_leases(self.context.now))
            .unwrap_or_default();
        for id in overdue {
            let wait = self.count_unknown_outcome(id);
            self.reschedule(id, wait);
        }
        self.dispatchers.remove_if_unused(dispatcher);
    }

    /// Handles the shutdown of a dispatcher: no further messages are granted to it, and it keeps its leases.
    pub(super) fn handle_dispatcher_shutdown(&mut self, connection: ConnectionId) {
        let Some(dispatcher) = self.dispatchers.dispatcher_of(connection) else { return };
        if let Some(incarnation) = self.dispatchers.get_mut(dispatcher) {
            incarnation.set_shutting_down();
        }
        self.close_credits(dispatcher);
    }

    /// Handles the limits of concurrent deliveries that a dispatcher announces. Services that are not named
    /// keep their limits.
    pub(super) fn handle_credits(&mut self, connection: ConnectionId, credits: &[ServiceCredit]) {
        let Some(dispatcher) = self.dispatchers.dispatcher_of(connection) else { return };
        for ServiceCredit { service, limit } in credits {
            let index = self.find_or_add_service(service);
            if let Some(incarnation) = self.dispatchers.get_mut(dispatcher) {
                incarnation.set_limit(index, *limit);
            }
            self.services.get_mut(index).credits_mut().set_limit(dispatcher, *limit);
            self.services.mark_runnable(index);
        }
    }

    fn schedule_heartbeat_check(&mut self) {
        let interval = self.context.config.heartbeat_timeout / HEARTBEAT_CHECKS_PER_TIMEOUT;
        let interval = interval.max(MIN_CHECK_INTERVAL);
        if let Some(at) = self.dispatchers.schedule_heartbeat_check(self.context.now, interval) {
            self.context.timers.set(at, Timer::HeartbeatCheck);
        }
    }

    /// Closes the connections of dispatchers whose heartbeat is overdue.
    pub(super) fn close_unresponsive(&mut self) {
        self.dispatchers.start_heartbeat_check();
        for connection in
            self.dispatchers.unresponsive(self.context.now, self.context.config.heartbeat_timeout)
        {
            self.close_dispatcher(connection);
        }
        self.schedule_heartbeat_check();
    }
}
