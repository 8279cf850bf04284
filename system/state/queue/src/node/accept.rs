//! Dispatchers' requests to accept, withdraw or query a message.

use super::StoreNode;
use crate::api::ConnectionId;
use crate::entry::message_bytes;
use crate::primary_entry::{Acceptor, Effect, PrimaryEntry, Stage};
use crate::primary_term::Withdrawal;
use crate::time::millis_u32;
use millrudder_protocol::message::{End, Message};
use millrudder_protocol::store::{AcceptRejection, QueryAnswer, ToDispatcher};
use millrudder_protocol::{DispatcherId, MessageId, RequestNumber};
use std::time::Duration;

/// Maximum number of withdrawals that wait for the takeover of one shard. Further ones are not answered.
const MAX_PENDING_WITHDRAWALS: usize = 10_000;

impl StoreNode {
    /// Handles a dispatcher's request to accept a message.
    pub(super) fn handle_accept(
        &mut self,
        connection: ConnectionId,
        request: RequestNumber,
        id: MessageId,
        message: Box<Message>,
        lease: bool,
    ) {
        let Some(dispatcher) = self.dispatchers.dispatcher_of(connection) else { return };
        if !self.primary_terms.is_serving(id.shard) {
            let reason = AcceptRejection::NotPrimary { epoch: self.context.placement.epoch };
            self.send_to_dispatcher(connection, ToDispatcher::Rejected { request, reason });
            return;
        }
        if let Some(entry) = self.table.get(id) {
            let is_different = entry.message.as_deref().is_some_and(|known| *known != *message);
            match is_different {
                // Two clients' messages were given the same random identifier. The first one keeps it.
                true => self.reject_full(connection, request),
                false => self.handle_repeated_accept(connection, request, id, dispatcher),
            }
            return;
        }
        if self.is_full(&message) {
            self.reject_full(connection, request);
            return;
        }
        self.insert_message(id, message, dispatcher);
        if lease {
            self.grant_at_accept(id, dispatcher);
        }
        self.mark_full_state_changed(id);
        self.when_durable(id, Effect::AcknowledgeAccept { connection, request });
        match self.lease_of(id) {
            None => self.when_durable(id, Effect::Schedule),
            Some(lease) if lease.dispatcher != dispatcher => {
                self.when_durable(id, Effect::Deliver { token: lease.token });
            }
            Some(_) => {}
        }
        self.set_expiry(id);
    }

    fn reject_full(&mut self, connection: ConnectionId, request: RequestNumber) {
        let reason =
            AcceptRejection::Full { retry_after_ms: millis_u32(self.context.config.full_retry_after) };
        self.send_to_dispatcher(connection, ToDispatcher::Rejected { request, reason });
    }

    fn is_full(&self, message: &Message) -> bool {
        let bytes = self.table.bytes() + message_bytes(message) as u64;
        let exceeds_byte_limit =
            bytes > self.context.config.memory_bytes || bytes > self.context.config.disk_bytes;
        exceeds_byte_limit || self.table.live() >= self.context.config.max_live_messages
    }

    /// Adds a new message to the table.
    fn insert_message(&mut self, id: MessageId, message: Box<Message>, dispatcher: DispatcherId) {
        let now = self.context.now;
        let sequence = self
            .primary_terms
            .get_mut(id.shard)
            .map(|primary_term| primary_term.next_sequence())
            .unwrap_or_default();
        if let Some(key) = &message.order_key {
            self.keys.add(key, sequence, id);
        }
        let mut primary = PrimaryEntry::new(Stage::Persisting, now);
        primary.set_accepted_by(Acceptor { dispatcher, at: now });
        self.table.change(id, now, |entry| {
            entry.sequence = sequence;
            entry.retention = Duration::from_millis(message.retention_ms);
            entry.message = Some(message);
            entry.primary = Some(Box::new(primary));
        });
    }

    /// Handles a repeated request for a message that is already known: it is acknowledged once the message is
    /// durable.
    fn handle_repeated_accept(
        &mut self,
        connection: ConnectionId,
        request: RequestNumber,
        id: MessageId,
        dispatcher: DispatcherId,
    ) {
        let now = self.context.now;
        let Some(entry) = self.table.get_mut(id) else { return };
        if entry.end == Some(End::Withdrawn) {
            self.reject_full(connection, request);
            return;
        }
        if let Some(primary) = entry.primary.as_mut() {
            primary.set_accepted_by(Acceptor { dispatcher, at: now });
        }
        self.when_durable(id, Effect::AcknowledgeAccept { connection, request });
    }

    /// Acknowledges the acceptance of a durable message to its dispatcher, together with the lease if it was
    /// granted one.
    pub(super) fn acknowledge_accept(
        &mut self,
        connection: ConnectionId,
        request: RequestNumber,
        id: MessageId,
    ) {
        let dispatcher = self.dispatchers.dispatcher_of(connection);
        let lease =
            self.lease_of(id).filter(|lease| Some(lease.dispatcher) == dispatcher && !lease.is_notified);
        if let Some(lease) = lease {
            self.mark_notified(id, lease);
        }
        let token = lease.map(|lease| lease.token);
        self.send_to_dispatcher(connection, ToDispatcher::Accepted { request, token });
    }

    /// Handles a withdrawal: the client got no acknowledgement, and its message must not run any more.
    ///
    /// The withdrawal is confirmed only if no other dispatcher can have run the message. Otherwise it may have
    /// run, and there is no answer.
    pub(super) fn handle_withdraw(&mut self, connection: ConnectionId, id: MessageId) {
        if let Some(takeover) = self.primary_terms.takeover_mut(id.shard) {
            if takeover.withdrawals.len() < MAX_PENDING_WITHDRAWALS {
                takeover.withdrawals.push(Withdrawal { connection, id });
            }
            return;
        }
        if !self.primary_terms.is_serving(id.shard) {
            return;
        }
        let dispatcher = self.dispatchers.dispatcher_of(connection);
        match self.table.get(id) {
            None => self.insert_tombstone(id),
            Some(entry) => {
                let ran_nowhere_else =
                    entry.primary.as_ref().is_some_and(|primary| primary.can_only_have_run_at(dispatcher));
                let may_answer = ran_nowhere_else && entry.failed_attempts == 0;
                match &entry.end {
                    None => self.withdraw_message(id),
                    Some(End::Withdrawn) => {}
                    Some(End::Completed { .. } | End::DeadLetter) => return,
                }
                if !may_answer {
                    return;
                }
            }
        }
        self.when_durable(id, Effect::AcknowledgeWithdrawal { connection });
    }

    /// Ends a message as withdrawn, whatever stage it is in.
    fn withdraw_message(&mut self, id: MessageId) {
        if let Some(lease) = self.lease_of(id) {
            self.revoke(id, lease.token);
        }
        self.end_message(id, End::Withdrawn);
    }

    fn insert_tombstone(&mut self, id: MessageId) {
        let now = self.context.now;
        self.table.change(id, now, |entry| {
            entry.end = Some(End::Withdrawn);
            entry.ended_at = now;
            entry.primary = Some(Box::new(PrimaryEntry::new(Stage::Ended, now)));
        });
        self.mark_full_state_changed(id);
        self.set_expiry(id);
    }

    /// Whether this store is a replica of the message's shard in the current placement.
    fn is_replica(&self, id: MessageId) -> bool {
        self.context
            .placement
            .shard(id.shard)
            .is_some_and(|shard| shard.replicas.contains(&self.context.local_id))
    }

    /// Answers a query from the local copy, whether or not this store is the primary.
    pub(super) fn handle_query(
        &mut self,
        connection: ConnectionId,
        request: RequestNumber,
        id: MessageId,
        body: bool,
    ) {
        let answer = match self.table.get(id) {
            None if self.is_replica(id) => QueryAnswer::Unknown,
            None => QueryAnswer::NotReplica,
            Some(entry) => match (&entry.end, &entry.message) {
                (None | Some(End::DeadLetter), Some(message)) if body => {
                    QueryAnswer::Body { body: message.body.clone() }
                }
                (None, _) => QueryAnswer::Queued,
                (Some(end), _) => QueryAnswer::Ended { end: end.clone() },
            },
        };
        self.send_to_dispatcher(connection, ToDispatcher::State { request, answer });
    }
}
