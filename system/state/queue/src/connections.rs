//! Dispatchers come, tell what they hold and can take, fall silent and go.

use crate::api::{ConnectionId, Output};
use crate::dispatchers::Hold;
use crate::node::StoreNode;
use crate::timers::Timer;
use millrudder_protocol::store::{ActiveLease, ServiceCredit, ToDispatcher};
use millrudder_protocol::{DispatcherId, Epoch, LeaseToken, MessageId};
use std::collections::BTreeMap;

/// Silent dispatchers are looked for so many times in the time that they may be silent.
const SILENCE_LOOKS: u64 = 4;

impl StoreNode {
    /// A dispatcher says who it is and what it holds.
    pub(crate) fn hello(
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
        let life = self.dispatchers.connect(connection, dispatcher, self.now);
        life.distance = distance;
        life.epoch = epoch;
        life.held = held;
        life.in_doubt = in_doubt.into_iter().collect();
        self.open_credits(dispatcher);
        let welcome = ToDispatcher::Welcome { store: self.me, epoch: self.placement.epoch };
        self.tell(connection, welcome);
        self.settle_held(dispatcher);
        self.revoke_void(dispatcher, connection);
        self.callbacks.want_all();
        self.watch_silence();
    }

    /// Lets a dispatcher be granted messages of every service.
    fn open_credits(&mut self, dispatcher: DispatcherId) {
        let Some(life) = self.dispatchers.get(dispatcher).filter(|life| life.is_open()) else { return };
        for index in self.services.indexes() {
            let limit = life.limits.get(&index).copied().unwrap_or(self.config.default_credit);
            self.services.get_mut(index).credits.open(dispatcher, limit, life.distance);
            self.services.wanted.insert(index);
        }
    }

    fn close_credits(&mut self, dispatcher: DispatcherId) {
        for index in self.services.indexes() {
            self.services.get_mut(index).credits.close(dispatcher);
        }
    }

    /// Confirms the leases that a dispatcher listed, and grants those again that it does not know.
    fn settle_held(&mut self, dispatcher: DispatcherId) {
        let Some(life) = self.dispatchers.get(dispatcher) else { return };
        let is_open = |hold: &Hold| matches!(hold, Hold::Unconfirmed { .. });
        let open: Vec<MessageId> =
            life.leases.iter().filter(|(_, hold)| is_open(hold)).map(|(id, _)| *id).collect();
        for id in open {
            self.settle_lease(dispatcher, id);
        }
    }

    fn settle_lease(&mut self, dispatcher: DispatcherId, id: MessageId) {
        let since = self.reigns.get(&id.shard).map(|reign| reign.since);
        let token = self.lease_of(id).map(|lease| lease.token);
        let Some(life) = self.dispatchers.get_mut(dispatcher) else { return };
        // It did not know that this store is primary: the list says nothing of this shard.
        if since.is_none_or(|since| life.epoch < since) {
            return;
        }
        if token.is_some() && life.held.get(&id).copied() == token {
            life.leases.insert(id, Hold::Confirmed);
            return;
        }
        // It has not heard that the message was kept, and will ask again or withdraw it.
        if life.in_doubt.contains(&id) {
            return;
        }
        self.grant_again(id, 0);
    }

    /// Tells a dispatcher which of the leases that it listed are others' now.
    fn revoke_void(&mut self, dispatcher: DispatcherId, connection: ConnectionId) {
        let Some(life) = self.dispatchers.get(dispatcher) else { return };
        let is_void = |id: MessageId, token: LeaseToken| {
            let entry = self.table.get(id).filter(|entry| entry.lead.is_some());
            entry.and_then(|entry| entry.grant).is_some_and(|grant| grant.token > token)
        };
        let void: Vec<(MessageId, LeaseToken)> = life
            .held
            .iter()
            .map(|(id, token)| (*id, *token))
            .filter(|(id, token)| is_void(*id, *token))
            .collect();
        for (id, token) in void {
            self.tell(connection, ToDispatcher::Revoke { id, token });
        }
    }

    /// Closes a connection that is of no use any more.
    fn close_dispatcher(&mut self, connection: ConnectionId) {
        self.dispatcher_closed(connection);
        self.out.push(Output::CloseDispatcher { connection });
    }

    /// A dispatcher's connection is closed: it may come back and list what it holds.
    pub(crate) fn dispatcher_closed(&mut self, connection: ConnectionId) {
        let Some(dispatcher) = self.dispatchers.disconnect(connection) else { return };
        self.close_credits(dispatcher);
        let until = self.now.plus(self.config.reconnect_wait_ms);
        let Some(life) = self.dispatchers.get_mut(dispatcher) else { return };
        for hold in life.leases.values_mut() {
            *hold = Hold::Unconfirmed { until };
        }
        let leases: Vec<MessageId> = life.leases.keys().copied().collect();
        let callbacks: Vec<MessageId> = std::mem::take(&mut life.callbacks).into_iter().collect();
        for id in callbacks {
            self.callbacks.give_back(id, self.now);
        }
        for id in leases {
            if self.lease_of(id).is_some_and(|lease| !lease.told) {
                self.grant_again(id, 0);
            }
        }
        self.timers.set(until, Timer::Unconfirmed(dispatcher));
        self.dispatchers.forget_if_gone(dispatcher);
    }

    /// A dispatcher did not list these leases in time: they are granted again.
    pub(crate) fn release_unconfirmed(&mut self, dispatcher: DispatcherId) {
        let overdue = self.dispatchers.get(dispatcher).map(|life| life.overdue(self.now)).unwrap_or_default();
        for id in overdue {
            let wait_ms = self.note_unknown_end(id);
            self.grant_again(id, wait_ms);
        }
        self.dispatchers.forget_if_gone(dispatcher);
    }

    /// A dispatcher stops: nothing more is granted to it, and it keeps what it holds.
    pub(crate) fn dispatcher_leaving(&mut self, connection: ConnectionId) {
        let Some(dispatcher) = self.dispatchers.of(connection) else { return };
        if let Some(life) = self.dispatchers.get_mut(dispatcher) {
            life.leaving = true;
        }
        self.close_credits(dispatcher);
    }

    /// How much a dispatcher can take; what it does not name has the limit that holds without.
    pub(crate) fn set_credits(&mut self, connection: ConnectionId, credits: &[ServiceCredit]) {
        let Some(dispatcher) = self.dispatchers.of(connection) else { return };
        for ServiceCredit { service, limit } in credits {
            let index = self.service(service);
            if let Some(life) = self.dispatchers.get_mut(dispatcher) {
                life.limits.insert(index, *limit);
            }
            self.services.get_mut(index).credits.set_limit(dispatcher, *limit);
            self.services.wanted.insert(index);
        }
    }

    fn watch_silence(&mut self) {
        if self.silence_at.is_none() && self.dispatchers.any_connected() {
            let at = self.now.plus((self.config.silence_ms / SILENCE_LOOKS).max(1));
            self.silence_at = Some(at);
            self.timers.set(at, Timer::Silence);
        }
    }

    /// Closes the connections of dispatchers that were silent for too long.
    pub(crate) fn close_silent(&mut self) {
        self.silence_at = None;
        for connection in self.dispatchers.silent(self.now, self.config.silence_ms) {
            self.close_dispatcher(connection);
        }
        self.watch_silence();
    }
}
