//! Call-backs for ended messages: a limited number at a time is granted to dispatchers, and failed ones are
//! retried until the receiver accepts them.

use super::StoreNode;
use crate::api::ConnectionId;
use crate::callbacks::{receiver_of, CallbackLease};
use crate::deferred_reports::{DeferredReport, ReportedOutcome};
use crate::primary_entry::Effect;
use crate::timers::Timer;
use millrudder_protocol::message::Message;
use millrudder_protocol::store::{Record, ToDispatcher};
use millrudder_protocol::{DispatcherId, LeaseToken, MessageId};
use std::time::Duration;

impl StoreNode {
    /// Queues the call-back of a message whose end is durable, if the message names a receiver.
    pub(super) fn enqueue_callback(&mut self, id: MessageId) {
        let Some(entry) =
            self.table.get(id).filter(|entry| entry.has_pending_callback() && entry.primary.is_some())
        else {
            return;
        };
        let url = entry.message.as_ref().and_then(|message| message.callback_url.clone());
        if let Some(url) = url {
            self.callbacks.add(id, &url, self.context.now, &self.context.config);
        }
    }

    /// Grants all call-backs that may be made now.
    pub(super) fn grant_callbacks(&mut self) {
        while let Some(receiver) = self.callbacks.next_runnable() {
            while let Some(id) = self.callbacks.next_due(receiver, self.context.now) {
                if !self.grant_callback(id) {
                    return;
                }
            }
            if let Some(at) = self.callbacks.next_due_at(receiver).filter(|at| *at > self.context.now) {
                self.context.timers.set(at, Timer::ReceiverReady(receiver));
            }
        }
    }

    fn grant_callback(&mut self, id: MessageId) -> bool {
        let Some(dispatcher) = self.callback_dispatcher(id) else { return false };
        let Some(connection) = self.dispatchers.connection_of(dispatcher) else { return false };
        let Some(token) = self.next_token(id) else { return false };
        self.callbacks.start(id, CallbackLease { dispatcher, token, granted_at: self.context.now });
        if let Some(incarnation) = self.dispatchers.get_mut(dispatcher) {
            incarnation.add_callback(id);
        }
        let with_message = !self.has_body(id, dispatcher);
        self.send_callback(connection, id, token, with_message);
        true
    }

    /// Chooses one of the receiver's home dispatchers: the one that reported the message's end if it is one of
    /// them, otherwise the one with the fewest call-backs in flight.
    fn callback_dispatcher(&self, id: MessageId) -> Option<DispatcherId> {
        let entry = self.table.get(id)?;
        let url = entry.message.as_ref()?.callback_url.as_deref()?;
        let reporter = entry.primary.as_ref()?.last_reporter();
        let homes = self
            .dispatchers
            .home_dispatchers(receiver_of(url), self.context.config.home_dispatchers_per_receiver);
        if let Some(reporter) = reporter.filter(|reporter| homes.contains(reporter)) {
            return Some(reporter);
        }
        let callbacks =
            |home: &DispatcherId| self.dispatchers.get(*home).map(|incarnation| incarnation.callback_count());
        homes.into_iter().min_by_key(callbacks)
    }

    fn send_callback(
        &mut self,
        connection: ConnectionId,
        id: MessageId,
        token: LeaseToken,
        with_message: bool,
    ) {
        let Some(entry) = self.table.get(id) else { return };
        let Some(end) = entry.end.clone() else { return };
        let without_body = |message: &Message| Box::new(Message { body: Vec::new(), ..message.clone() });
        let message = entry.message.as_deref().filter(|_| with_message).map(without_body);
        self.send_to_dispatcher(connection, ToDispatcher::CallBack { id, token, end, message });
    }

    /// Sends a call-back again with its message, which the dispatcher lacks. Returns `false` if this call-back
    /// is not granted under the token.
    pub(super) fn send_callback_again(
        &mut self,
        connection: ConnectionId,
        id: MessageId,
        token: LeaseToken,
    ) -> bool {
        let is_leased = self.callbacks.lease(id).is_some_and(|lease| lease.token == token);
        if is_leased {
            self.send_callback(connection, id, token, true);
        }
        is_leased
    }

    /// Handles a dispatcher's report on a call-back.
    pub(super) fn handle_called_back(
        &mut self,
        connection: ConnectionId,
        id: MessageId,
        token: LeaseToken,
        done: bool,
        retry_after_ms: u32,
    ) {
        if !self.may_answer_for(id.shard, token) {
            let outcome = ReportedOutcome::CallBack { done, retry_after_ms };
            self.deferred_reports.add(DeferredReport { connection, id, token, outcome });
            return;
        }
        let lease = self.callbacks.lease(id).filter(|lease| lease.token == token);
        if let Some(incarnation) = lease.and_then(|lease| self.dispatchers.get_mut(lease.dispatcher)) {
            incarnation.remove_callback(id);
        }
        if !done {
            if lease.is_some() {
                let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                self.callbacks.handle_failure(id, retry_after, self.context.now, &self.context.config);
            }
            self.send_to_dispatcher(connection, ToDispatcher::Recorded { id, token });
            return;
        }
        self.complete_callback(id);
        if self.table.get(id).is_none() {
            self.send_to_dispatcher(connection, ToDispatcher::Recorded { id, token });
            return;
        }
        self.when_durable(id, Effect::AcknowledgeOutcome { connection, token });
    }

    fn complete_callback(&mut self, id: MessageId) {
        self.remove_callback_lease(id);
        self.callbacks.handle_success(id, &self.context.config);
        if self.table.get(id).is_some_and(|entry| !entry.callback_done) {
            self.apply_record(id, Record::CallbackDone { id });
            self.set_expiry(id);
        }
    }

    pub(super) fn remove_callback_lease(&mut self, id: MessageId) {
        let lease = self.callbacks.lease(id);
        if let Some(incarnation) = lease.and_then(|lease| self.dispatchers.get_mut(lease.dispatcher)) {
            incarnation.remove_callback(id);
        }
    }

    /// Removes a call-back that is not due any more, or not at this store.
    pub(super) fn remove_callback(&mut self, id: MessageId) {
        self.remove_callback_lease(id);
        if let Some(lease) = self.callbacks.cancel(id) {
            self.dispatchers.remove_if_unused(lease.dispatcher);
        }
    }
}
