//! The path of an accepted message to its delivery: delays, order keys, rate limits, credits and grants.

use super::StoreNode;
use crate::api::ConnectionId;
use crate::dispatchers::LeaseConfirmation;
use crate::entry::Entry;
use crate::primary_entry::{Effect, Lease, Stage};
use crate::scheduling::{Permit, ReadyKey, ServiceIndex};
use crate::time::millis;
use crate::timers::Timer;
use millrudder_protocol::message::{Grant, Message};
use millrudder_protocol::store::{Record, ToDispatcher};
use millrudder_protocol::{DispatcherId, LeaseToken, MessageId};
use std::time::Duration;

/// Time after which a grant that becomes durable counts as late. A late grant takes a second permit of its
/// service's rate limit when its dispatcher is notified, because all grants that waited with it are delivered
/// at the same time.
const LATE_GRANT_AFTER: Duration = Duration::from_millis(50);

impl StoreNode {
    /// Returns the index of a service. A new service is added, and every dispatcher that accepts grants gets
    /// credit for it.
    pub(super) fn find_or_add_service(&mut self, name: &str) -> ServiceIndex {
        if let Some(index) = self.services.find(name) {
            return index;
        }
        let index = self.services.add(name);
        for (dispatcher, incarnation) in
            self.dispatchers.iter().filter(|(_, incarnation)| incarnation.accepts_grants())
        {
            let limit = incarnation.limit_of(index).unwrap_or(self.context.config.default_credit);
            self.services.get_mut(index).credits_mut().open(dispatcher, limit, incarnation.distance());
        }
        index
    }

    /// Moves a message that has not ended and is not in flight to the stage that its order key and its delay
    /// require.
    pub(super) fn schedule(&mut self, id: MessageId) {
        let Some(entry) = self.table.get(id) else { return };
        let Some(primary) = entry.primary.as_ref() else { return };
        if entry.end.is_some() || primary.is_in_flight() || self.end_if_exhausted(id) {
            return;
        }
        let Some(entry) = self.table.get(id) else { return };
        let Some(primary) = entry.primary.as_ref() else { return };
        let until = entry.due().max(primary.not_before());
        let is_first = match entry.order_key() {
            Some(key) => self.keys.activate(key, id),
            None => true,
        };
        if !is_first {
            self.set_stage(id, Stage::WaitingForKey);
        } else if until > self.context.now {
            self.set_stage(id, Stage::BackingOff { until });
            self.context.timers.set(until, Timer::BackoffOver(id));
        } else {
            self.make_ready(id);
        }
    }

    fn set_stage(&mut self, id: MessageId, stage: Stage) {
        if let Some(primary) = self.table.primary_mut(id) {
            primary.set_stage(stage);
        }
    }

    fn make_ready(&mut self, id: MessageId) {
        let Some(message) = self.table.get(id).and_then(|entry| entry.message.as_ref()) else { return };
        let (name, priority) = (message.service.clone(), message.priority);
        let service = self.find_or_add_service(&name);
        let Some(entry) = self.table.get(id) else { return };
        let (due, start_by) = (entry.due(), entry.start_by());
        let is_late = start_by < self.context.now;
        let key = ReadyKey { priority, is_late, due, sequence: entry.sequence, id, start_by, service };
        self.set_stage(id, Stage::Ready(key));
        self.services.get_mut(service).insert_ready(key);
        self.services.mark_runnable(service);
    }

    /// Handles the end of a message's delay or back-off.
    pub(super) fn handle_backoff_over(&mut self, id: MessageId) {
        let primary = self.table.primary(id);
        let is_due = primary.is_some_and(
            |primary| matches!(primary.stage(), Stage::BackingOff { until } if until <= self.context.now),
        );
        if is_due {
            self.make_ready(id);
        }
    }

    /// Removes a message from its current stage, which releases its lease if it has one, and puts it into
    /// `stage`.
    pub(super) fn unschedule(&mut self, id: MessageId, stage: Stage) {
        let Some(primary) = self.table.primary(id) else { return };
        match primary.stage() {
            Stage::Ready(key) => self.services.get_mut(key.service).remove(key),
            Stage::BackingOff { until } => self.context.timers.clear(until, Timer::BackoffOver(id)),
            Stage::InFlight(lease) => self.release_lease(id, lease),
            Stage::Persisting | Stage::WaitingForKey | Stage::Ended => {}
        }
        self.set_stage(id, stage);
    }

    /// Removes the lease from its dispatcher and returns the credit.
    fn release_lease(&mut self, id: MessageId, lease: Lease) {
        if let Some(incarnation) = self.dispatchers.get_mut(lease.dispatcher) {
            incarnation.remove_lease(id);
        }
        self.dispatchers.remove_if_unused(lease.dispatcher);
        if let Some(service) = self.service_of(id) {
            self.services.get_mut(service).credits_mut().release(lease.dispatcher);
            self.release_unnotified(service, lease);
        }
    }

    /// Stops counting a lease as a grant that waits for its record to become durable.
    fn release_unnotified(&mut self, index: ServiceIndex, lease: Lease) {
        if !lease.is_notified {
            self.services.get_mut(index).remove_unnotified();
        }
        self.services.mark_runnable(index);
    }

    fn service_of(&self, id: MessageId) -> Option<ServiceIndex> {
        let message = self.table.get(id)?.message.as_ref()?;
        self.services.find(&message.service)
    }

    /// Records a lease of a dispatcher, which uses one of its credits.
    fn record_lease(&mut self, id: MessageId, lease: Lease, confirmation: LeaseConfirmation) {
        self.set_stage(id, Stage::InFlight(lease));
        let now = self.context.now;
        self.dispatchers.find_or_add(lease.dispatcher, now).add_lease(id, confirmation);
        let Some(name) =
            self.table.get(id).and_then(|entry| entry.message.as_ref()).map(|m| m.service.clone())
        else {
            return;
        };
        let service = self.find_or_add_service(&name);
        let service = self.services.get_mut(service);
        service.credits_mut().reserve(lease.dispatcher);
        if !lease.is_notified {
            service.add_unnotified();
        }
    }

    /// Grants all messages whose grant has become possible since the last call.
    pub(super) fn grant_runnable_services(&mut self) {
        while let Some(service) = self.services.next_runnable() {
            while self.grant_first_ready(service) {}
        }
    }

    /// Grants the first ready message of a service, if a dispatcher has free credit and the rate limit allows
    /// it. Returns whether a message was granted.
    pub(super) fn grant_first_ready(&mut self, index: ServiceIndex) -> bool {
        let now = self.context.now;
        let service = self.services.get_mut(index);
        let Some(key) = service.first_ready(now) else { return false };
        let primary = self.table.primary(key.id);
        let returned_by = primary.and_then(|primary| primary.returned_by());
        let acceptor = primary.and_then(|primary| primary.accepted_by()).map(|acceptor| acceptor.dispatcher);
        let acceptor = acceptor.filter(|dispatcher| Some(*dispatcher) != returned_by);
        let preferred = acceptor.filter(|dispatcher| service.credits().has_free(*dispatcher));
        let home = self.choose_home_dispatcher(key.id, index, acceptor, returned_by);
        let best_other = || self.services.get(index).credits().best_except(returned_by);
        let Some(dispatcher) = home.or(preferred).or_else(best_other) else { return false };
        if !self.take_permit(index) {
            return false;
        }
        self.services.get_mut(index).remove(key);
        let Some(token) = self.next_token(key.id) else { return false };
        let grant = Grant { dispatcher, token };
        self.record_lease(
            key.id,
            Lease { dispatcher, token, is_notified: false, granted_at: self.context.now },
            LeaseConfirmation::Confirmed,
        );
        self.apply_record(key.id, Record::Granted { id: key.id, grant });
        self.when_durable(key.id, Effect::Deliver { token });
        true
    }

    /// Chooses the dispatcher for a message that only this shard's primary may grant, because it has an order
    /// key or its service has a rate limit. Returns one of the service's home dispatchers with free credit,
    /// preferably the dispatcher that accepted the message.
    ///
    /// The number of home dispatchers is small, so that a worker which accepts few connections is not used by
    /// all dispatchers, and the next message of a key does not wait for a distant dispatcher.
    ///
    /// Returns `None` if any dispatcher may get the message, or if no home dispatcher has free credit.
    fn choose_home_dispatcher(
        &self,
        id: MessageId,
        index: ServiceIndex,
        acceptor: Option<DispatcherId>,
        returned_by: Option<DispatcherId>,
    ) -> Option<DispatcherId> {
        let message = self.table.get(id)?.message.as_ref()?;
        let service = self.services.get(index);
        if message.order_key.is_none() && !service.has_rate_limit() {
            return None;
        }
        let has_capacity =
            |home: &DispatcherId| Some(*home) != returned_by && service.credits().has_free(*home);
        let homes: Vec<DispatcherId> = self
            .dispatchers
            .home_dispatchers(&message.service, self.context.config.home_dispatchers_per_service)
            .into_iter()
            .filter(has_capacity)
            .collect();
        let acceptor_home = acceptor.filter(|acceptor| homes.contains(acceptor));
        acceptor_home.or_else(|| homes.into_iter().max_by_key(|home| service.credits().free(*home)))
    }

    /// Allocates a lease token in the shard's current term.
    pub(super) fn next_token(&mut self, id: MessageId) -> Option<LeaseToken> {
        self.primary_terms.get_mut(id.shard).map(|primary_term| primary_term.next_token())
    }

    /// Takes a permit of the service's rate limit, or sets a timer for the next one. Returns whether a permit
    /// was taken.
    fn take_permit(&mut self, index: ServiceIndex) -> bool {
        match self.services.get_mut(index).take_permit(self.context.now) {
            Permit::Taken => true,
            Permit::Awaited => false,
            Permit::AvailableAt(at) => {
                self.context.timers.set(at, Timer::PermitAvailable(index));
                false
            }
        }
    }

    /// Handles the timer for a service's next rate-limit permit.
    pub(super) fn handle_permit_due(&mut self, index: ServiceIndex) {
        self.services.get_mut(index).clear_permit_timer();
        self.services.mark_runnable(index);
    }

    /// Grants a new message at once, to the dispatcher that sent it for acceptance or to a home dispatcher of
    /// its service, unless its delay, its order key, the rate limit or missing credit prevents it.
    pub(super) fn grant_at_accept(&mut self, id: MessageId, dispatcher: DispatcherId) {
        let Some(entry) = self.table.get(id) else { return };
        let is_due = entry.due() <= self.context.now;
        let Some(message) = entry.message.as_ref().filter(|_| is_due) else { return };
        let (name, key) = (message.service.clone(), message.order_key.clone());
        let is_ordered = key.is_some();
        if key.is_some_and(|key| !self.keys.activate(&key, id)) {
            return;
        }
        let index = self.find_or_add_service(&name);
        let service = self.services.get(index);
        // A message without an order key or rate limit is granted to the dispatcher that sent it, even beyond
        // its credit and while it shuts down. That dispatcher already has the body, and if this store is too slow it
        // can withdraw the message knowing that no other dispatcher has run it. One that shuts down gives the
        // lease back.
        let is_ordered_or_limited = service.has_rate_limit() || is_ordered;
        let dispatcher = match is_ordered_or_limited {
            false => Some(dispatcher),
            true if service.has_ready() => None,
            true => self
                .choose_home_dispatcher(id, index, Some(dispatcher), None)
                .or_else(|| Some(dispatcher).filter(|dispatcher| service.credits().has_free(*dispatcher))),
        };
        let Some(dispatcher) = dispatcher.filter(|_| self.take_permit(index)) else { return };
        let Some(token) = self.next_token(id) else { return };
        self.record_lease(
            id,
            Lease { dispatcher, token, is_notified: false, granted_at: self.context.now },
            LeaseConfirmation::Confirmed,
        );
        if let Some(entry) = self.table.get_mut(id) {
            entry.grant = Some(Grant { dispatcher, token });
        }
    }

    /// Notifies the dispatcher of a grant whose record is durable.
    pub(super) fn deliver(&mut self, id: MessageId, token: LeaseToken) {
        let Some(lease) = self.lease_of(id).filter(|lease| lease.token == token && !lease.is_notified) else {
            return;
        };
        let Some(connection) = self.dispatchers.connection_of(lease.dispatcher) else { return };
        self.mark_notified(id, lease);
        let with_body = !self.has_body(id, lease.dispatcher);
        self.send_delivery(connection, id, token, with_body);
    }

    /// Marks a lease as notified to its dispatcher.
    pub(super) fn mark_notified(&mut self, id: MessageId, lease: Lease) {
        if let Some(primary) = self.table.primary_mut(id) {
            primary.mark_notified(lease);
        }
        let Some(service) = self.service_of(id) else { return };
        self.release_unnotified(service, lease);
        let is_late = self.context.now.saturating_duration_since(lease.granted_at) > LATE_GRANT_AFTER;
        if is_late {
            self.services.get_mut(service).borrow_permit(self.context.now);
        }
    }

    /// Whether the dispatcher sent the message for acceptance recently enough to still have its body.
    pub(super) fn has_body(&self, id: MessageId, dispatcher: DispatcherId) -> bool {
        let primary = self.table.primary(id);
        let acceptor = primary.and_then(|primary| primary.accepted_by());
        let is_recent =
            |at| self.context.now.saturating_duration_since(at) < self.context.config.body_retention;
        acceptor.is_some_and(|acceptor| acceptor.dispatcher == dispatcher && is_recent(acceptor.at))
    }

    fn send_delivery(&mut self, connection: ConnectionId, id: MessageId, token: LeaseToken, with_body: bool) {
        let Some(entry) = self.table.get(id) else { return };
        let message: Option<Box<Message>> = entry.message.clone().filter(|_| with_body);
        let age_ms = millis(self.context.now.saturating_duration_since(entry.received_at));
        let failed_attempts = entry.failed_attempts;
        self.send_to_dispatcher(
            connection,
            ToDispatcher::Deliver { id, token, age_ms, failed_attempts, message },
        );
    }

    /// Handles the request of a dispatcher that does not have the body of a message that was granted to it.
    pub(super) fn handle_need_body(&mut self, connection: ConnectionId, id: MessageId, token: LeaseToken) {
        let dispatcher = self.dispatchers.dispatcher_of(connection);
        let lease =
            self.lease_of(id).filter(|lease| lease.token == token && Some(lease.dispatcher) == dispatcher);
        if lease.is_some() {
            self.send_delivery(connection, id, token, true);
        } else if self.primary_terms.is_serving(id.shard) && !self.send_callback_again(connection, id, token)
        {
            self.send_to_dispatcher(connection, ToDispatcher::Revoke { id, token });
        }
    }

    /// The lease of a message that is in flight.
    pub(super) fn lease_of(&self, id: MessageId) -> Option<Lease> {
        self.table.get(id)?.primary.as_ref()?.lease()
    }

    /// Schedules a message again after `wait`, when its lease has ended without an outcome that counts as an
    /// attempt.
    pub(super) fn reschedule(&mut self, id: MessageId, wait: Duration) {
        self.unschedule(id, Stage::Persisting);
        let not_before = self.context.now + wait;
        if let Some(primary) = self.table.primary_mut(id) {
            primary.set_not_before(not_before);
        }
        self.schedule(id);
    }

    /// Adopts a lease that a former primary granted, because its dispatcher may still hold it. If the
    /// dispatcher does not announce the lease within the reconnect time-out, the message is granted again.
    pub(super) fn adopt_lease(&mut self, id: MessageId, grant: Grant) {
        let Some(term) = self.primary_terms.number_of(id.shard) else {
            return;
        };
        let until = self.context.now + self.context.config.reconnect_timeout;
        let incarnation = self.dispatchers.get(grant.dispatcher);
        let announced =
            incarnation.filter(|incarnation| incarnation.is_connected() && incarnation.epoch() >= term);
        let is_announced = announced.map(|incarnation| incarnation.announced_token(id) == Some(grant.token));
        let in_doubt = announced.is_some_and(|incarnation| incarnation.is_in_doubt(id));
        if is_announced == Some(false) && !in_doubt {
            return;
        }
        let key = self.table.get(id).and_then(Entry::order_key).map(str::to_owned);
        if let Some(key) = key {
            self.keys.set_active(&key, id);
        }
        let confirmation = if is_announced == Some(true) {
            LeaseConfirmation::Confirmed
        } else {
            LeaseConfirmation::Unconfirmed { until }
        };
        let lease = Lease {
            dispatcher: grant.dispatcher,
            token: grant.token,
            is_notified: true,
            granted_at: self.context.now,
        };
        self.record_lease(id, lease, confirmation);
        self.context.timers.set(until, Timer::UnconfirmedLeases(grant.dispatcher));
    }
}
