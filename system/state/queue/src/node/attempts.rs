//! Outcomes of delivery attempts, and the effects that follow once a change is durable.

use super::StoreNode;
use crate::api::ConnectionId;
use crate::deferred_reports::{DeferredReport, ReportedOutcome};
use crate::entry::Entry;
use crate::primary_entry::{Effect, Stage};
use crate::time::millis;
use millrudder_protocol::message::End;
use millrudder_protocol::store::{AttemptOutcome, Record, ToDispatcher};
use millrudder_protocol::{DispatcherId, LeaseToken, MessageId, ShardId};
use std::time::Duration;

/// Shortest back-off after a failed attempt, even if the message's target start time is closer.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Shortest delay before a returned message is granted again, so that it does not cycle in a tight loop.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(10);
/// Number of unknown outcomes of one message that are retried without a back-off. The back-off doubles with
/// each further one.
const UNKNOWN_OUTCOMES_WITHOUT_BACKOFF: u32 = 2;
/// Percentage of a back-off that is randomized, so that attempts that failed together are not retried together.
const JITTER_PERCENT: u64 = 50;
/// A back-off takes at most one part in this many of the time that is left until the target start time.
const TIME_LEFT_DIVISOR: u32 = 3;

impl StoreNode {
    /// Handles a dispatcher's report on how an attempt ended.
    pub(super) fn handle_attempted(
        &mut self,
        connection: ConnectionId,
        id: MessageId,
        token: LeaseToken,
        outcome: AttemptOutcome,
    ) {
        if !self.may_answer_for(id.shard, token) {
            let outcome = ReportedOutcome::Attempt(outcome);
            self.deferred_reports.add(DeferredReport { connection, id, token, outcome });
            return;
        }
        if self.table.get(id).is_none() {
            self.send_to_dispatcher(connection, ToDispatcher::Recorded { id, token });
            return;
        }
        let is_current = self.lease_of(id).is_some_and(|lease| lease.token == token);
        let reporter = self.dispatchers.dispatcher_of(connection);
        if let Some(primary) = self.table.primary_mut(id) {
            primary.set_last_reporter(reporter);
        }
        match outcome {
            AttemptOutcome::Succeeded { signature } => self.handle_success(id, token, signature),
            // A worker gave this answer, so it counts even if the message has been granted to another
            // dispatcher since.
            AttemptOutcome::Refused => self.end_as_dead_letter(id),
            AttemptOutcome::Failed if is_current => self.handle_failure(id, token),
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
                let wait = self.count_unknown_outcome(id).max(retry_after);
                self.return_lease(id, reporter, wait);
                self.send_to_dispatcher(connection, ToDispatcher::Recorded { id, token });
                return;
            }
        }
        self.when_durable(id, Effect::AcknowledgeOutcome { connection, token });
    }

    /// Handles the reports on a shard's leases that arrived before it was served.
    pub(super) fn handle_deferred_reports(&mut self, shard: ShardId) {
        for DeferredReport { connection, id, token, outcome } in self.deferred_reports.take(shard) {
            match outcome {
                ReportedOutcome::Attempt(outcome) => self.handle_attempted(connection, id, token, outcome),
                ReportedOutcome::CallBack { done, retry_after_ms } => {
                    self.handle_called_back(connection, id, token, done, retry_after_ms);
                }
            }
        }
    }

    /// Returns a message whose lease ended without an outcome that counts, and schedules it again after at
    /// least `wait`.
    fn return_lease(&mut self, id: MessageId, by: Option<DispatcherId>, wait: Duration) {
        if let Some(primary) = self.table.primary_mut(id) {
            primary.set_returned_by(by);
        }
        self.reschedule(id, wait.max(MIN_RETURN_DELAY));
    }

    /// Counts a run whose outcome is unknown. Returns the back-off before the message may be granted again.
    ///
    /// The run may have failed and its answer been lost. Such attempts do not count towards the maximum number
    /// of attempts, so the back-off keeps a message that repeatedly ends this way from cycling in a tight loop.
    pub(super) fn count_unknown_outcome(&mut self, id: MessageId) -> Duration {
        let Some(primary) = self.table.primary_mut(id) else {
            return Duration::ZERO;
        };
        let counted = primary.count_unknown_outcome().saturating_sub(UNKNOWN_OUTCOMES_WITHOUT_BACKOFF);
        if counted == 0 {
            return Duration::ZERO;
        }
        self.context.config.backoff(counted)
    }

    /// Whether this store serves the shard and no later primary issued the token.
    pub(super) fn may_answer_for(&self, shard: ShardId, token: LeaseToken) -> bool {
        let primary_term = self.primary_terms.get(shard);
        primary_term
            .is_some_and(|primary_term| primary_term.is_serving() && token.term() <= primary_term.number())
    }

    /// Ends a message as completed. A success counts whichever dispatcher reports it and under whatever lease
    /// it ran.
    fn handle_success(&mut self, id: MessageId, token: LeaseToken, signature: String) {
        let is_completed = |entry: &Entry| matches!(entry.end, Some(End::Completed { .. }));
        if self.table.get(id).is_some_and(is_completed) {
            return;
        }
        if let Some(lease) = self.lease_of(id).filter(|lease| lease.token != token) {
            self.revoke(id, lease.token);
        }
        self.end_message(id, End::Completed { signature });
    }

    /// Revokes a lease, if its dispatcher has been notified of it.
    pub(super) fn revoke(&mut self, id: MessageId, token: LeaseToken) {
        let Some(lease) = self.lease_of(id).filter(|lease| lease.token == token && lease.is_notified) else {
            return;
        };
        if let Some(connection) = self.dispatchers.connection_of(lease.dispatcher) {
            self.send_to_dispatcher(connection, ToDispatcher::Revoke { id, token });
        }
    }

    /// Handles the failure of an attempt under the current lease: the message backs off until its next attempt.
    fn handle_failure(&mut self, id: MessageId, token: LeaseToken) {
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

    /// Counts a failed attempt once. The failure counts even if its lease has ended, because a worker answered.
    /// Tokens only increase, so an attempt with a token at or below the highest counted one may already have
    /// been counted.
    fn count_failure(&mut self, id: MessageId, token: LeaseToken) {
        let Some(entry) = self.table.get(id) else { return };
        if entry.end.is_none() && entry.resolved_through < token {
            let failed_attempts = entry.failed_attempts + 1;
            self.apply_record(id, Record::Failed { id, token, failed_attempts });
        }
        self.end_if_exhausted(id);
    }

    /// Ends a message as a dead letter and revokes its lease.
    fn end_as_dead_letter(&mut self, id: MessageId) {
        if self.table.get(id).is_none_or(|entry| entry.end.is_some()) {
            return;
        }
        if let Some(lease) = self.lease_of(id) {
            self.revoke(id, lease.token);
        }
        self.end_message(id, End::DeadLetter);
    }

    /// Ends a message that has reached its maximum number of attempts. Returns whether it did.
    pub(super) fn end_if_exhausted(&mut self, id: MessageId) -> bool {
        let Some(entry) = self.table.get(id) else { return false };
        let max_attempts = entry.message.as_ref().map_or(0, |message| message.max_attempts);
        let is_exhausted =
            entry.end.is_none() && entry.failed_attempts > 0 && entry.failed_attempts >= max_attempts;
        if is_exhausted {
            self.end_as_dead_letter(id);
        }
        is_exhausted
    }

    /// Back-off before the next attempt: exponential with jitter, and short enough to still allow a start on
    /// time.
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

    /// Applies an effect that was waiting for a version to become durable.
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

    /// Ends a message. What follows from its end happens once the end is durable.
    pub(super) fn end_message(&mut self, id: MessageId, end: End) {
        self.unschedule(id, Stage::Ended);
        self.save_order_key(id);
        self.apply_record(id, Record::Ended { id, end });
        self.when_durable(id, Effect::ContinueAfterEnd);
        self.set_expiry(id);
    }

    /// Saves the order key of the message, which is needed when the end is durable, before the message itself
    /// may be freed.
    fn save_order_key(&mut self, id: MessageId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        let key = entry.order_key().map(str::to_owned);
        if let (Some(primary), Some(key)) = (entry.primary.as_mut(), key) {
            primary.set_ended_key(key);
        }
    }

    /// Continues after a durable end: the next message of the order key may be delivered, and the call-back is
    /// due.
    fn handle_end_durable(&mut self, id: MessageId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        let sequence = entry.sequence;
        let key = entry.primary.as_mut().and_then(|primary| primary.take_ended_key());
        let next = key.and_then(|key| self.keys.remove_ended(&key, sequence, id));
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

/// Randomizes [`JITTER_PERCENT`] of a span, keeping its mean.
fn with_jitter(span: Duration, random: &mut fastrand::Rng) -> Duration {
    let span_ms = millis(span);
    let jitter_ms = span_ms * JITTER_PERCENT / 100;
    Duration::from_millis(span_ms - jitter_ms / 2 + random.u64(0..=jitter_ms))
}
