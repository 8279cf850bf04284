//! Dispatchers come, send_to_dispatcher what they hold and can take, fall silent and go.

use crate::api::{ConnectionId, Output};
use crate::dispatchers::LeaseConfirmation;
use crate::node::StoreNode;
use crate::timers::Timer;
use millrudder_protocol::store::{ActiveLease, ServiceCredit, ToDispatcher};
use millrudder_protocol::{DispatcherId, Epoch, LeaseToken, MessageId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Silent dispatchers are looked for so many times in the time that they may be silent.
const HEARTBEAT_CHECKS_PER_TIMEOUT: u32 = 4;
/// Shortest time between two such checks: the clock's step.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(1);

impl StoreNode {
    /// A dispatcher says who it is and what it holds.
    pub(crate) fn handle_hello(
        &mut self,
        connection: ConnectionId,
        dispatcher: DispatcherId,
        zone: &str,
        epoch: Epoch,
        held: &[ActiveLease],
        in_doubt: Vec<MessageId>,
    ) {
        let former = self.dispatchers.connection_of(dispatcher);
        if let Some(former) = former.filter(|former| *former != connection) {
            self.close_dispatcher(former);
        }
        let distance = self.location.distance_to(zone);
        let held: BTreeMap<MessageId, LeaseToken> =
            held.iter().map(|lease| (lease.id, lease.token)).collect();
        let incarnation = self.dispatchers.connect(connection, dispatcher, self.now);
        incarnation.distance = distance;
        incarnation.epoch = epoch;
        incarnation.held = held;
        incarnation.in_doubt = in_doubt.into_iter().collect();
        self.open_credits(dispatcher);
        let welcome = ToDispatcher::Welcome { store: self.local_id, epoch: self.placement.epoch };
        self.send_to_dispatcher(connection, welcome);
        self.reconcile_unconfirmed_leases(dispatcher);
        self.revoke_superseded(dispatcher, connection);
        self.callbacks.mark_all_runnable();
        self.schedule_heartbeat_check();
    }

    /// Lets a dispatcher be granted messages of every service.
    fn open_credits(&mut self, dispatcher: DispatcherId) {
        let Some(incarnation) = self.dispatchers.get(dispatcher).filter(|incarnation| incarnation.is_open())
        else {
            return;
        };
        for index in self.services.indexes() {
            let limit = incarnation.limits.get(&index).copied().unwrap_or(self.config.default_credit);
            self.services.get_mut(index).credits.open(dispatcher, limit, incarnation.distance);
            self.services.runnable.insert(index);
        }
    }

    fn close_credits(&mut self, dispatcher: DispatcherId) {
        for index in self.services.indexes() {
            self.services.get_mut(index).credits.close(dispatcher);
        }
    }

    /// Confirms the leases that a dispatcher listed, and grants those again that it does not know.
    fn reconcile_unconfirmed_leases(&mut self, dispatcher: DispatcherId) {
        let Some(incarnation) = self.dispatchers.get(dispatcher) else { return };
        let is_open =
            |confirmation: &LeaseConfirmation| matches!(confirmation, LeaseConfirmation::Unconfirmed { .. });
        let open: Vec<MessageId> = incarnation
            .leases
            .iter()
            .filter(|(_, confirmation)| is_open(confirmation))
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            self.reconcile_lease(dispatcher, id);
        }
    }

    fn reconcile_lease(&mut self, dispatcher: DispatcherId, id: MessageId) {
        let term = self.primary_terms.get(&id.shard).map(|primary_term| primary_term.number);
        let token = self.lease_of(id).map(|lease| lease.token);
        let Some(incarnation) = self.dispatchers.get_mut(dispatcher) else { return };
        // It did not know that this store is primary: the list says nothing of this shard.
        if term.is_none_or(|term| incarnation.epoch < term) {
            return;
        }
        if token.is_some() && incarnation.held.get(&id).copied() == token {
            incarnation.leases.insert(id, LeaseConfirmation::Confirmed);
            return;
        }
        // It has not heard that the message was kept, and will ask again or withdraw it.
        if incarnation.in_doubt.contains(&id) {
            return;
        }
        self.reschedule(id, Duration::ZERO);
    }

    /// Tells a dispatcher which of the leases that it listed are others' now.
    fn revoke_superseded(&mut self, dispatcher: DispatcherId, connection: ConnectionId) {
        let Some(incarnation) = self.dispatchers.get(dispatcher) else { return };
        let is_void = |id: MessageId, token: LeaseToken| {
            let entry = self.table.get(id).filter(|entry| entry.primary.is_some());
            entry.and_then(|entry| entry.grant).is_some_and(|grant| grant.token > token)
        };
        let void: Vec<(MessageId, LeaseToken)> = incarnation
            .held
            .iter()
            .map(|(id, token)| (*id, *token))
            .filter(|(id, token)| is_void(*id, *token))
            .collect();
        for (id, token) in void {
            self.send_to_dispatcher(connection, ToDispatcher::Revoke { id, token });
        }
    }

    /// Closes a connection that is of no use any more.
    fn close_dispatcher(&mut self, connection: ConnectionId) {
        self.handle_dispatcher_closed(connection);
        self.outputs.push(Output::CloseDispatcher { connection });
    }

    /// A dispatcher's connection is closed: it may come back and list what it holds.
    pub(crate) fn handle_dispatcher_closed(&mut self, connection: ConnectionId) {
        let Some(dispatcher) = self.dispatchers.disconnect(connection) else { return };
        self.close_credits(dispatcher);
        let until = self.now + self.config.reconnect_timeout;
        let Some(incarnation) = self.dispatchers.get_mut(dispatcher) else { return };
        for confirmation in incarnation.leases.values_mut() {
            *confirmation = LeaseConfirmation::Unconfirmed { until };
        }
        let leases: Vec<MessageId> = incarnation.leases.keys().copied().collect();
        let callbacks: Vec<MessageId> = std::mem::take(&mut incarnation.callbacks).into_iter().collect();
        for id in callbacks {
            self.callbacks.give_back(id, self.now);
        }
        for id in leases {
            if self.lease_of(id).is_some_and(|lease| !lease.is_notified) {
                self.reschedule(id, Duration::ZERO);
            }
        }
        self.timers.set(until, Timer::UnconfirmedLeases(dispatcher));
        self.dispatchers.forget_if_gone(dispatcher);
    }

    /// A dispatcher did not list these leases in time: they are granted again.
    pub(crate) fn release_unconfirmed(&mut self, dispatcher: DispatcherId) {
        let overdue = self
            .dispatchers
            .get(dispatcher)
            .map(|incarnation| incarnation.overdue(self.now))
            .unwrap_or_default();
        for id in overdue {
            let wait = self.count_unknown_end(id);
            self.reschedule(id, wait);
        }
        self.dispatchers.forget_if_gone(dispatcher);
    }

    /// A dispatcher stops: nothing more is granted to it, and it keeps what it holds.
    pub(crate) fn handle_dispatcher_leaving(&mut self, connection: ConnectionId) {
        let Some(dispatcher) = self.dispatchers.of(connection) else { return };
        if let Some(incarnation) = self.dispatchers.get_mut(dispatcher) {
            incarnation.leaving = true;
        }
        self.close_credits(dispatcher);
    }

    /// How much a dispatcher can take; what it does not name has the limit that holds without.
    pub(crate) fn handle_credits(&mut self, connection: ConnectionId, credits: &[ServiceCredit]) {
        let Some(dispatcher) = self.dispatchers.of(connection) else { return };
        for ServiceCredit { service, limit } in credits {
            let index = self.service(service);
            if let Some(incarnation) = self.dispatchers.get_mut(dispatcher) {
                incarnation.limits.insert(index, *limit);
            }
            self.services.get_mut(index).credits.set_limit(dispatcher, *limit);
            self.services.runnable.insert(index);
        }
    }

    fn schedule_heartbeat_check(&mut self) {
        if self.heartbeat_check_at.is_none() && self.dispatchers.any_connected() {
            let at = self.now
                + (self.config.heartbeat_timeout / HEARTBEAT_CHECKS_PER_TIMEOUT).max(MIN_CHECK_INTERVAL);
            self.heartbeat_check_at = Some(at);
            self.timers.set(at, Timer::HeartbeatCheck);
        }
    }

    /// Closes the connections of dispatchers that were silent for too long.
    pub(crate) fn close_unresponsive(&mut self) {
        self.heartbeat_check_at = None;
        for connection in self.dispatchers.unresponsive(self.now, self.config.heartbeat_timeout) {
            self.close_dispatcher(connection);
        }
        self.schedule_heartbeat_check();
    }
}
