//! From an accepted message to its delivery: delays, order keys, ceilings, credits, grants.

use crate::api::ConnectionId;
use crate::dispatchers::Hold;
use crate::entry::Entry;
use crate::lead::{Effect, Lease, Stage};
use crate::node::StoreNode;
use crate::schedule::{ReadyKey, ServiceIndex};
use crate::timers::Timer;
use millrudder_protocol::message::{Grant, Message};
use millrudder_protocol::store::{Record, ToDispatcher};
use millrudder_protocol::{DispatcherId, LeaseToken, MessageId};

/// A grant that took longer to be kept counts at its service's ceiling when it is told, as those that waited with it
/// are told together with it.
const LATE_GRANT_MS: u64 = 50;

impl StoreNode {
    /// The service of this name; every open dispatcher may be granted its messages.
    pub(crate) fn service(&mut self, name: &str) -> ServiceIndex {
        if let Some(index) = self.services.find(name) {
            return index;
        }
        let index = self.services.add(name);
        for (dispatcher, life) in self.dispatchers.iter().filter(|(_, life)| life.is_open()) {
            let limit = life.limits.get(&index).copied().unwrap_or(self.config.default_credit);
            self.services.get_mut(index).credits.open(dispatcher, limit, life.distance);
        }
        index
    }

    /// Puts a message that has not ended and is not out where it belongs.
    pub(crate) fn schedule(&mut self, id: MessageId) {
        let Some(entry) = self.table.get(id) else { return };
        let Some(lead) = entry.lead.as_ref() else { return };
        if entry.end.is_some() || matches!(lead.stage, Stage::Out(_)) || self.end_if_spent(id) {
            return;
        }
        let Some(entry) = self.table.get(id) else { return };
        let Some(lead) = entry.lead.as_ref() else { return };
        let until = entry.due().max(lead.not_before);
        let is_first = match order_key(entry) {
            Some(key) => self.keys.activate(key, id),
            None => true,
        };
        if !is_first {
            self.set_stage(id, Stage::Queued);
        } else if until > self.now {
            self.set_stage(id, Stage::Resting { until });
            self.timers.set(until, Timer::Wake(id));
        } else {
            self.make_ready(id);
        }
    }

    fn set_stage(&mut self, id: MessageId, stage: Stage) {
        if let Some(lead) = self.table.get_mut(id).and_then(|entry| entry.lead.as_mut()) {
            lead.stage = stage;
        }
    }

    fn make_ready(&mut self, id: MessageId) {
        let Some(message) = self.table.get(id).and_then(|entry| entry.message.as_ref()) else { return };
        let (name, priority, target_ms) =
            (message.service.clone(), message.priority, u64::from(message.target_start_ms));
        let service = self.service(&name);
        let Some(entry) = self.table.get(id) else { return };
        let due = entry.due();
        let start_by = due.plus(target_ms);
        let late = start_by < self.now;
        let key = ReadyKey { priority, late, due, sequence: entry.sequence, id, start_by, service };
        self.set_stage(id, Stage::Ready(key));
        self.services.get_mut(service).ready.insert(key);
        self.services.wanted.insert(service);
    }

    /// A message's wait is over.
    pub(crate) fn wake(&mut self, id: MessageId) {
        let lead = self.table.get(id).and_then(|entry| entry.lead.as_ref());
        let is_due =
            lead.is_some_and(|lead| matches!(lead.stage, Stage::Resting { until } if until <= self.now));
        if is_due {
            self.make_ready(id);
        }
    }

    /// Takes a message out of wherever it is; a lease of it is over.
    pub(crate) fn unschedule(&mut self, id: MessageId, stage: Stage) {
        let Some(lead) = self.table.get(id).and_then(|entry| entry.lead.as_ref()) else { return };
        match lead.stage {
            Stage::Ready(key) => self.services.get_mut(key.service).remove(key),
            Stage::Resting { until } => self.timers.clear(until, Timer::Wake(id)),
            Stage::Out(lease) => self.drop_lease(id, lease),
            Stage::Storing | Stage::Queued | Stage::Over => {}
        }
        self.set_stage(id, stage);
    }

    /// A dispatcher's place is free again.
    fn drop_lease(&mut self, id: MessageId, lease: Lease) {
        if let Some(life) = self.dispatchers.get_mut(lease.dispatcher) {
            life.leases.remove(&id);
        }
        self.dispatchers.forget_if_gone(lease.dispatcher);
        if let Some(service) = self.service_of(id) {
            self.services.get_mut(service).credits.give_back(lease.dispatcher);
            self.not_untold(service, lease);
        }
    }

    /// A grant does not wait for its disks any more.
    fn not_untold(&mut self, index: ServiceIndex, lease: Lease) {
        let service = self.services.get_mut(index);
        service.untold = service.untold.saturating_sub(usize::from(!lease.told));
        self.services.wanted.insert(index);
    }

    fn service_of(&self, id: MessageId) -> Option<ServiceIndex> {
        let message = self.table.get(id)?.message.as_ref()?;
        self.services.find(&message.service)
    }

    /// Notes that a dispatcher has a lease and that this takes one of its places.
    fn take_lease(&mut self, id: MessageId, lease: Lease, hold: Hold) {
        self.set_stage(id, Stage::Out(lease));
        let now = self.now;
        self.dispatchers.add(lease.dispatcher, now).leases.insert(id, hold);
        let Some(name) =
            self.table.get(id).and_then(|entry| entry.message.as_ref()).map(|m| m.service.clone())
        else {
            return;
        };
        let service = self.service(&name);
        let service = self.services.get_mut(service);
        service.credits.take(lease.dispatcher);
        service.untold += usize::from(!lease.told);
    }

    /// Grants what may be granted since the last call.
    pub(crate) fn grant_wanted(&mut self) {
        while let Some(service) = self.services.wanted.pop_first() {
            while self.grant_first(service) {}
        }
    }

    /// Grants the first ready message of a service, if a dispatcher has room and the ceiling allows it.
    pub(crate) fn grant_first(&mut self, index: ServiceIndex) -> bool {
        let now = self.now;
        let service = self.services.get_mut(index);
        let Some(key) = service.first_ready(now) else { return false };
        let lead = self.table.get(key.id).and_then(|entry| entry.lead.as_ref());
        let given_back_by = lead.and_then(|lead| lead.given_back_by);
        let acceptor = lead.and_then(|lead| lead.accepted_by).map(|acceptor| acceptor.dispatcher);
        let acceptor = acceptor.filter(|dispatcher| Some(*dispatcher) != given_back_by);
        let preferred = acceptor.filter(|dispatcher| service.credits.has_free(*dispatcher));
        let home = self.home_for(key.id, index, acceptor, given_back_by);
        let others = || self.services.get(index).credits.best_but(given_back_by);
        let Some(dispatcher) = home.or(preferred).or_else(others) else { return false };
        if !self.take_permit(index) {
            return false;
        }
        self.services.get_mut(index).remove(key);
        let Some(token) = self.token(key.id) else { return false };
        let grant = Grant { dispatcher, token };
        self.take_lease(
            key.id,
            Lease { dispatcher, token, told: false, granted_at: self.now },
            Hold::Confirmed,
        );
        self.record(key.id, Record::Granted { id: key.id, grant });
        self.when_durable(key.id, Effect::Deliver { token });
        true
    }

    /// The dispatcher that a message should go to which only this shard's primary grants: one of its service's home
    /// dispatchers with room, the acceptor if it is one. So few of them keep connections to a worker that accepts few, and
    /// the next message of a key waits for no far dispatcher. `None` where any may have it, or none has room.
    fn home_for(
        &self,
        id: MessageId,
        index: ServiceIndex,
        acceptor: Option<DispatcherId>,
        given_back_by: Option<DispatcherId>,
    ) -> Option<DispatcherId> {
        let message = self.table.get(id)?.message.as_ref()?;
        let service = self.services.get(index);
        if message.order_key.is_none() && service.ceiling.is_none() {
            return None;
        }
        let has_room = |home: &DispatcherId| Some(*home) != given_back_by && service.credits.has_free(*home);
        let homes: Vec<DispatcherId> = self
            .dispatchers
            .homes(&message.service, self.config.homes_per_service)
            .into_iter()
            .filter(has_room)
            .collect();
        let own = acceptor.filter(|acceptor| homes.contains(acceptor));
        own.or_else(|| homes.into_iter().max_by_key(|home| service.credits.free(*home)))
    }

    pub(crate) fn token(&mut self, id: MessageId) -> Option<LeaseToken> {
        self.reigns.get_mut(&id.shard).map(|reign| reign.token())
    }

    /// Takes a permit of the service's ceiling, or sets the timer for the next one.
    fn take_permit(&mut self, index: ServiceIndex) -> bool {
        let now = self.now;
        let service = self.services.get_mut(index);
        let Some(ceiling) = service.ceiling.as_mut() else { return true };
        // The next grant that is told wakes the service.
        if service.untold >= ceiling.most_untold() {
            return false;
        }
        if ceiling.take(now) {
            return true;
        }
        let next = ceiling.next();
        // A rate that has risen brings the permit forward.
        if service.permit_at.is_none_or(|permit_at| next < permit_at) {
            service.permit_at = Some(next);
            self.timers.set(next, Timer::Permit(index));
        }
        false
    }

    pub(crate) fn permit_due(&mut self, index: ServiceIndex) {
        self.services.get_mut(index).permit_at = None;
        self.services.wanted.insert(index);
    }

    /// Grants a message to the dispatcher that sends it to be accepted, or to a home dispatcher of its service, if nothing
    /// speaks against it.
    pub(crate) fn grant_at_accept(&mut self, id: MessageId, dispatcher: DispatcherId) {
        let Some(entry) = self.table.get(id) else { return };
        let is_due = entry.due() <= self.now;
        let Some(message) = entry.message.as_ref().filter(|_| is_due) else { return };
        let (name, key) = (message.service.clone(), message.order_key.clone());
        let is_ordered = key.is_some();
        if key.is_some_and(|key| !self.keys.activate(&key, id)) {
            return;
        }
        let index = self.service(&name);
        let service = self.services.get(index);
        // Where any shard may take it, the one that accepts it delivers it, also beyond its credit: it has the body, and
        // a dispatcher that finds this store slow withdraws the message without anybody else having run it.
        let is_bound = service.ceiling.is_some() || is_ordered;
        let dispatcher = match is_bound {
            false => Some(dispatcher).filter(|dispatcher| service.credits.is_open(*dispatcher)),
            true if !service.ready.is_empty() => None,
            true => self
                .home_for(id, index, Some(dispatcher), None)
                .or_else(|| Some(dispatcher).filter(|dispatcher| service.credits.has_free(*dispatcher))),
        };
        let Some(dispatcher) = dispatcher.filter(|_| self.take_permit(index)) else { return };
        let Some(token) = self.token(id) else { return };
        self.take_lease(id, Lease { dispatcher, token, told: false, granted_at: self.now }, Hold::Confirmed);
        if let Some(entry) = self.table.get_mut(id) {
            entry.grant = Some(Grant { dispatcher, token });
        }
    }

    /// A grant is kept: its dispatcher may use it.
    pub(crate) fn deliver(&mut self, id: MessageId, token: LeaseToken) {
        let Some(lease) = self.lease_of(id).filter(|lease| lease.token == token && !lease.told) else {
            return;
        };
        let Some(connection) = self.dispatchers.connection_of(lease.dispatcher) else { return };
        self.note_told(id, lease);
        let with_body = !self.has_body(id, lease.dispatcher);
        self.send_delivery(connection, id, token, with_body);
    }

    /// The dispatcher is told of its lease now.
    pub(crate) fn note_told(&mut self, id: MessageId, lease: Lease) {
        if let Some(lead) = self.table.get_mut(id).and_then(|entry| entry.lead.as_mut()) {
            lead.stage = Stage::Out(Lease { told: true, ..lease });
            lead.told.add(lease.dispatcher);
        }
        let Some(service) = self.service_of(id) else { return };
        self.not_untold(service, lease);
        let (now, is_late) = (self.now, self.now.since(lease.granted_at) > LATE_GRANT_MS);
        if let Some(ceiling) = self.services.get_mut(service).ceiling.as_mut().filter(|_| is_late) {
            ceiling.spend(now);
        }
    }

    /// The dispatcher accepted the message so lately that it has the body still.
    pub(crate) fn has_body(&self, id: MessageId, dispatcher: DispatcherId) -> bool {
        let lead = self.table.get(id).and_then(|entry| entry.lead.as_ref());
        let acceptor = lead.and_then(|lead| lead.accepted_by);
        let is_recent = |at| self.now.since(at) < self.config.body_kept_ms;
        acceptor.is_some_and(|acceptor| acceptor.dispatcher == dispatcher && is_recent(acceptor.at))
    }

    fn send_delivery(&mut self, connection: ConnectionId, id: MessageId, token: LeaseToken, with_body: bool) {
        let Some(entry) = self.table.get(id) else { return };
        let message: Option<Box<Message>> = entry.message.clone().filter(|_| with_body);
        let (age_ms, failed_attempts) = (self.now.since(entry.received), entry.failed_attempts);
        self.tell(connection, ToDispatcher::Deliver { id, token, age_ms, failed_attempts, message });
    }

    /// A dispatcher lacks the body of what it was granted.
    pub(crate) fn need_body(&mut self, connection: ConnectionId, id: MessageId, token: LeaseToken) {
        let dispatcher = self.dispatchers.of(connection);
        let lease =
            self.lease_of(id).filter(|lease| lease.token == token && Some(lease.dispatcher) == dispatcher);
        if lease.is_some() {
            self.send_delivery(connection, id, token, true);
        } else if self.is_serving(id.shard) && !self.send_callback_again(connection, id, token) {
            self.tell(connection, ToDispatcher::Revoke { id, token });
        }
    }

    pub(crate) fn lease_of(&self, id: MessageId) -> Option<Lease> {
        self.table.get(id)?.lead.as_ref()?.lease()
    }

    /// A lease is over without an outcome that counts: the message waits `wait_ms`, then it is granted again.
    pub(crate) fn grant_again(&mut self, id: MessageId, wait_ms: u64) {
        self.unschedule(id, Stage::Storing);
        let not_before = self.now.plus(wait_ms);
        if let Some(lead) = self.table.get_mut(id).and_then(|entry| entry.lead.as_mut()) {
            lead.not_before = not_before;
        }
        self.schedule(id);
    }

    /// A former primary granted this, and its dispatcher may hold it: it must list it, or it is granted again.
    pub(crate) fn adopt_lease(&mut self, id: MessageId, grant: Grant) {
        let Some(since) = self.reigns.get(&id.shard).map(|reign| reign.since) else { return };
        let until = self.now.plus(self.config.reconnect_wait_ms);
        let life = self.dispatchers.get(grant.dispatcher);
        let listed = life.filter(|life| life.connection.is_some() && life.epoch >= since);
        let is_held = listed.map(|life| life.held.get(&id) == Some(&grant.token));
        let in_doubt = listed.is_some_and(|life| life.in_doubt.contains(&id));
        if is_held == Some(false) && !in_doubt {
            return;
        }
        let key = self.table.get(id).and_then(order_key).map(str::to_owned);
        if let Some(key) = key {
            self.keys.adopt(&key, id);
        }
        let hold = if is_held == Some(true) { Hold::Confirmed } else { Hold::Unconfirmed { until } };
        let lease =
            Lease { dispatcher: grant.dispatcher, token: grant.token, told: true, granted_at: self.now };
        self.take_lease(id, lease, hold);
        self.timers.set(until, Timer::Unconfirmed(grant.dispatcher));
    }
}

/// The key within which a message keeps its order.
pub(crate) fn order_key(entry: &Entry) -> Option<&str> {
    entry.message.as_ref()?.order_key.as_deref()
}
