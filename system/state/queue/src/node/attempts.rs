//! Outcomes of attempts, and the effects of durable changes.

use super::StoreNode;
use crate::api::ConnectionId;
use crate::entry::Entry;
use crate::primary_entry::{Effect, Stage};
use crate::time::millis;
use millrudder_protocol::message::End;
use millrudder_protocol::store::{AttemptOutcome, Record, ToDispatcher};
use millrudder_protocol::{DispatcherId, LeaseToken, MessageId, ShardId};
use std::time::Duration;

/// Shortest wait before another attempt, however little time its latency target leaves.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Shortest wait before a message that was returned is granted again, so that it does not go round in a tight loop.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(10);
/// Unknown outcomes of one message's runs that are retried without a back-off; it doubles with each further one.
const UNKNOWN_ENDS_WITHOUT_BACKOFF: u32 = 2;
/// Part of a back-off that is drawn, so that attempts that failed together are not retried together.
const JITTER_PERCENT: u64 = 50;
/// One back-off may take this fraction (one in so many) of the time left for a start in time.
const TIME_LEFT_DIVISOR: u32 = 3;

impl StoreNode {
    /// A dispatcher reports how an attempt ended.
    pub(super) fn handle_attempted(
        &mut self,
        connection: ConnectionId,
        id: MessageId,
        token: LeaseToken,
        outcome: AttemptOutcome,
    ) {
        if !self.may_answer_for(id.shard, token) {
            return;
        }
        if self.table.get(id).is_none() {
            self.send_to_dispatcher(connection, ToDispatcher::Recorded { id, token });
            return;
        }
        let is_current = self.lease_of(id).is_some_and(|lease| lease.token == token);
        let reporter = self.dispatchers.of(connection);
        if let Some(primary) = self.table.primary_mut(id) {
            primary.set_reporter(reporter);
        }
        match outcome {
            AttemptOutcome::Succeeded { signature } => self.succeeded(id, token, signature),
            // It is a worker's answer, whoever may run the message now.
            AttemptOutcome::Refused => self.end_as_dead_letter(id),
            AttemptOutcome::Failed if is_current => self.attempt_failed(id, token),
            AttemptOutcome::Failed => self.count_failure(id, token),
            _ if !is_current => {}
            AttemptOutcome::RouteGone => self.end_as_dead_letter(id),
            AttemptOutcome::NotRun { retry_after_ms } => {
                self.return_lease(id, reporter, Duration::from_millis(u64::from(retry_after_ms)));
                self.send_to_dispatcher(connection, ToDispatcher::Recorded { id, token });
                return;
            }
            AttemptOutcome::Unknown { retry_after_ms } => {
                let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                let wait = self.count_unknown_end(id).max(retry_after);
                self.return_lease(id, reporter, wait);
                self.send_to_dispatcher(connection, ToDispatcher::Recorded { id, token });
                return;
            }
        }
        self.when_durable(id, Effect::AcknowledgeOutcome { connection, token });
    }

    /// A lease is over without an outcome that counts; the message waits so long at least.
    fn return_lease(&mut self, id: MessageId, by: Option<DispatcherId>, wait: Duration) {
        if let Some(primary) = self.table.primary_mut(id) {
            primary.set_returned_by(by);
        }
        self.reschedule(id, wait.max(MIN_RETURN_DELAY));
    }

    /// A run ended with an unknown outcome. Gives the time that the message waits for it.
    ///
    /// The run may have failed, and the answer been lost: such attempts are not counted, so a message that meets them
    /// again and again must not go round in a tight loop.
    pub(super) fn count_unknown_end(&mut self, id: MessageId) -> Duration {
        let Some(primary) = self.table.primary_mut(id) else {
            return Duration::ZERO;
        };
        let counted = primary.count_unknown_end().saturating_sub(UNKNOWN_ENDS_WITHOUT_BACKOFF);
        if counted == 0 {
            return Duration::ZERO;
        }
        self.context.config.backoff(counted)
    }

    /// This store is primary of the shard, and no later one gave the token.
    pub(super) fn may_answer_for(&self, shard: ShardId, token: LeaseToken) -> bool {
        let primary_term = self.primary_terms.get(shard);
        primary_term
            .is_some_and(|primary_term| primary_term.is_serving() && token.term() <= primary_term.number())
    }

    /// A run that succeeded ends the message, whoever ran it and under whatever lease.
    fn succeeded(&mut self, id: MessageId, token: LeaseToken, signature: String) {
        let is_completed = |entry: &Entry| matches!(entry.end, Some(End::Completed { .. }));
        if self.table.get(id).is_some_and(is_completed) {
            return;
        }
        if let Some(lease) = self.lease_of(id).filter(|lease| lease.token != token) {
            self.revoke(id, lease.token);
        }
        self.end_message(id, End::Completed { signature });
    }

    /// Tells the dispatcher that has a lease that it is over.
    pub(super) fn revoke(&mut self, id: MessageId, token: LeaseToken) {
        let Some(lease) = self.lease_of(id).filter(|lease| lease.token == token && lease.is_notified) else {
            return;
        };
        if let Some(connection) = self.dispatchers.connection_of(lease.dispatcher) {
            self.send_to_dispatcher(connection, ToDispatcher::Revoke { id, token });
        }
    }

    /// The attempt under the present lease failed: the message waits for its next one.
    fn attempt_failed(&mut self, id: MessageId, token: LeaseToken) {
        self.unschedule(id, Stage::Persisting);
        self.count_failure(id, token);
        let is_over = self.table.get(id).is_none_or(|entry| entry.end.is_some());
        if is_over {
            return;
        }
        let not_before = self.context.now + self.backoff_of(id);
        if let Some(primary) = self.table.primary_mut(id) {
            primary.set_not_before(not_before);
        }
        self.when_durable(id, Effect::Retry);
    }

    /// Counts a failed attempt once, under whatever lease it was made: a worker's answer counts though its lease is
    /// over. Tokens only rise, so one at or below the highest that was counted may have been counted itself.
    fn count_failure(&mut self, id: MessageId, token: LeaseToken) {
        let Some(entry) = self.table.get(id) else { return };
        if entry.end.is_none() && entry.resolved_through < token {
            let failed_attempts = entry.failed_attempts + 1;
            self.apply_record(id, Record::Failed { id, token, failed_attempts });
        }
        self.end_if_exhausted(id);
    }

    /// Ends a message as dead letter, and revokes the lease on it.
    fn end_as_dead_letter(&mut self, id: MessageId) {
        if self.table.get(id).is_none_or(|entry| entry.end.is_some()) {
            return;
        }
        if let Some(lease) = self.lease_of(id) {
            self.revoke(id, lease.token);
        }
        self.end_message(id, End::DeadLetter);
    }

    /// Ends a message whose attempts are used up; `true` if it did.
    pub(super) fn end_if_exhausted(&mut self, id: MessageId) -> bool {
        let Some(entry) = self.table.get(id) else { return false };
        let max_attempts = entry.message.as_ref().map_or(0, |message| message.max_attempts);
        let is_spent =
            entry.end.is_none() && entry.failed_attempts > 0 && entry.failed_attempts >= max_attempts;
        if is_spent {
            self.end_as_dead_letter(id);
        }
        is_spent
    }

    /// Wait before the next attempt: doubling, with jitter, and such that a start in time stays possible.
    fn backoff_of(&mut self, id: MessageId) -> Duration {
        let Some(entry) = self.table.get(id) else { return Duration::ZERO };
        let time_left = entry.start_by().saturating_duration_since(self.context.now);
        let full_backoff = self.context.config.backoff(entry.failed_attempts);
        let wait = with_jitter(full_backoff, &mut self.context.random);
        if time_left.is_zero() {
            return wait;
        }
        wait.min(time_left / TIME_LEFT_DIVISOR).max(MIN_BACKOFF)
    }

    /// A version is durable: applies an effect that waited for it.
    pub(super) fn apply_effect(&mut self, id: MessageId, effect: Effect) {
        match effect {
            Effect::AcknowledgeAccept { connection, request } => {
                self.acknowledge_accept(connection, request, id)
            }
            Effect::Schedule | Effect::Retry => self.schedule_persisted(id),
            Effect::Deliver { token } => self.deliver(id, token),
            Effect::AcknowledgeOutcome { connection, token } => {
                self.send_to_dispatcher(connection, ToDispatcher::Recorded { id, token })
            }
            Effect::ContinueAfterEnd => self.handle_end_durable(id),
            Effect::AcknowledgeWithdrawal { connection } => {
                self.send_to_dispatcher(connection, ToDispatcher::Withdrawn { id })
            }
        }
    }

    fn schedule_persisted(&mut self, id: MessageId) {
        let primary = self.table.primary(id);
        if primary.is_some_and(|primary| primary.stage() == Stage::Persisting) {
            self.schedule(id);
        }
    }

    /// Ends a message; what waits for that follows once it is durable.
    pub(super) fn end_message(&mut self, id: MessageId, end: End) {
        self.unschedule(id, Stage::Ended);
        self.remember_order_key(id);
        self.apply_record(id, Record::Ended { id, end });
        self.when_durable(id, Effect::ContinueAfterEnd);
        self.set_expiry(id);
    }

    /// Notes in whose key's queue the message is, before the message itself may be freed.
    fn remember_order_key(&mut self, id: MessageId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        let key = entry.order_key().map(str::to_owned);
        if let (Some(primary), Some(key)) = (entry.primary.as_mut(), key) {
            primary.set_ended_key(key);
        }
    }

    /// The message's end is durable: the next one of its key may be delivered, and its call-back is due.
    fn handle_end_durable(&mut self, id: MessageId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        let sequence = entry.sequence;
        let key = entry.primary.as_mut().and_then(|primary| primary.take_ended_key());
        let next = key.and_then(|key| self.keys.end(&key, sequence, id));
        if let Some(next) = next {
            self.schedule_next_of_key(next);
        }
        self.enqueue_callback(id);
    }

    fn schedule_next_of_key(&mut self, id: MessageId) {
        let primary = self.table.primary(id);
        if primary.is_some_and(|primary| primary.stage() == Stage::WaitingForKey) {
            self.schedule(id);
        }
    }
}

/// A span of which [`JITTER_PERCENT`] is drawn, around the same mean.
fn with_jitter(span: Duration, random: &mut fastrand::Rng) -> Duration {
    let span_ms = millis(span);
    let drawn_ms = span_ms * JITTER_PERCENT / 100;
    Duration::from_millis(span_ms - drawn_ms / 2 + random.u64(0..=drawn_ms))
}
