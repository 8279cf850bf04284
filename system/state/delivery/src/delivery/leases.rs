//! Leases on messages, from the grant to the report of the end.

use super::{send_reports, Delivery, STALE_GRANTS_MS};
use crate::attempts::{Attempt, GivenUp};
use crate::health::jittered;
use crate::interface::*;
use crate::outcome::{self, Verdict};
use crate::reports::LeaseKey;
use millrudder::WorkerId;
use millrudder_protocol::message::Message;
use millrudder_protocol::store::{AttemptOutcome, FromDispatcher};
use millrudder_protocol::{LeaseToken, MessageId, StoreId};
use std::sync::Arc;

/// Time-out (ms) of a connection to a worker: several round trips between zones, and some scheduling delay on a busy
/// machine.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// How long (ms) an answer is still awaited after the worker's time-out: the worker may have finished just in time, and
/// a message whose success was answered in full 50 ms before the time-out must never run again.
const ANSWER_SLACK_MS: u64 = 100;
/// Age (ms) from which a message without a known route is reported as [`AttemptOutcome::RouteGone`]. Until then this
/// dispatcher's configuration may be older than the route (by `configApplyMs` and `maxSkewMs`, with a margin).
const ROUTE_PROPAGATION_MS: u64 = 20_000;
/// Backoff (ms) of a message whose route is not known yet.
const UNKNOWN_ROUTE_RETRY_MS: u64 = 1000;
/// Minimum backoff (ms) of a message that may still be running: most workers abort it once its connection is closed.
const UNKNOWN_OUTCOME_RETRY_MS: u32 = 100;

/// Lease on a message that was granted to this dispatcher.
pub(super) struct Lease {
    pub store: StoreId,
    pub token: LeaseToken,
    pub message: Arc<Message>,
    failed_attempts: u32,
    /// When its store received the message, in ms on this dispatcher's clock; negative if that was before its start.
    received_at_ms: i64,
    pub route: ResolvedRoute,
    attempt: AttemptId,
    /// Whether the attempt is in flight; it waits at its service otherwise.
    pub sent: bool,
}

impl Lease {
    /// Creates a lease without a route and an attempt. `received_at_ms`: when the message was received, on this clock.
    pub fn new(
        store: StoreId,
        token: LeaseToken,
        message: Arc<Message>,
        failed_attempts: u32,
        received_at_ms: i64,
    ) -> Self {
        let route = ResolvedRoute { service: Arc::from(""), timeout_ms: 0 };
        let attempt = AttemptId(0);
        Lease { store, token, message, failed_attempts, received_at_ms, route, attempt, sent: false }
    }
}

impl Delivery {
    /// Removes a message that waits for a worker, from its service as well.
    pub(super) fn remove_unsent(&mut self, now: u64, id: MessageId, out: &mut Vec<Output>) -> Option<Lease> {
        let lease = self.leases.remove(&id)?;
        self.by_attempt.remove(&lease.attempt);
        let mut decisions = Vec::new();
        if let Some(state) = self.services.get_mut(&lease.route.service) {
            state.withdraw(now, lease.attempt, &mut decisions);
        }
        self.carry_out(now, decisions, out);
        Some(lease)
    }

    /// Handles a granted lease. A message that is here already, or whose end is known, is not sent again.
    pub(super) fn on_deliver(&mut self, now: u64, key: LeaseKey, granted: Lease, out: &mut Vec<Output>) {
        if self.reports.has_ended(key) {
            return;
        }
        if let Some(lease) = self.leases.get_mut(&key.id) {
            // The store does not know that the message is here already: the attempt goes on under the later lease.
            if key.token > lease.token {
                lease.store = granted.store;
                lease.token = granted.token;
                lease.failed_attempts = granted.failed_attempts;
                self.attempts.set_lease(lease.attempt, key);
            }
            return;
        }
        if let Some(outcome) = self.reports.final_outcome(key.id) {
            return self.report(now, granted.store, key, outcome, out);
        }
        if self.shutting_down || now < self.stale_grants_until_ms || self.barriers.is_pending(granted.store) {
            // On shutdown another dispatcher can have the message at once. After a stall the store is to wait until
            // this dispatcher has read the grants that lay unread in its connections.
            let retry_after_ms = if self.shutting_down { 0 } else { STALE_GRANTS_MS as u32 };
            let outcome = AttemptOutcome::NotRun { retry_after_ms };
            return self.report(now, granted.store, key, outcome, out);
        }
        self.offer(now, key, granted, out);
    }

    /// Offers a message that is not in flight to the service that its route leads to.
    pub(super) fn offer(&mut self, now: u64, key: LeaseKey, mut lease: Lease, out: &mut Vec<Output>) {
        let message = &lease.message;
        let route = self.resolver.as_ref().and_then(|r| r.resolve(&message.host, &message.path));
        let Some(route) = route else {
            let outcome = self.outcome_without_route(now, &lease);
            return self.report(now, lease.store, key, outcome, out);
        };
        let Some(state) = self.services.get_mut(&route.service) else {
            let outcome = AttemptOutcome::NotRun { retry_after_ms: self.unknown_route_retry_ms() };
            return self.report(now, lease.store, key, outcome, out);
        };
        let attempt = self.attempts.next_id();
        (lease.route, lease.attempt) = (route, attempt);
        self.leases.insert(key.id, lease);
        self.by_attempt.insert(attempt, key.id);
        let mut decisions = Vec::new();
        state.offer(now, attempt, &mut decisions);
        self.carry_out(now, decisions, out);
    }

    fn unknown_route_retry_ms(&mut self) -> u32 {
        jittered(UNKNOWN_ROUTE_RETRY_MS, &mut self.rng)
    }

    /// Outcome of a message without a route: gone if the message is old enough, otherwise not run.
    fn outcome_without_route(&mut self, now: u64, lease: &Lease) -> AttemptOutcome {
        let age_ms = now as i64 - lease.received_at_ms;
        if self.resolver.is_some() && age_ms >= ROUTE_PROPAGATION_MS as i64 {
            return AttemptOutcome::RouteGone;
        }
        AttemptOutcome::NotRun { retry_after_ms: self.unknown_route_retry_ms() }
    }

    /// Drops a message whose lease was revoked, unless its attempt is in flight.
    pub(super) fn on_revoke(&mut self, now: u64, key: LeaseKey, out: &mut Vec<Output>) {
        let unsent = |lease: &Lease| lease.token <= key.token && !lease.sent;
        if self.leases.get(&key.id).is_some_and(unsent) {
            self.remove_unsent(now, key.id, out);
        }
        self.callbacks.revoke(key);
    }

    /// Handles the result of an attempt: updates its service and reports the outcome to the store.
    pub(super) fn on_attempt(
        &mut self,
        now: u64,
        id: AttemptId,
        result: AttemptResult,
        out: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.attempts.end(id) else {
            return self.on_late_result(now, id, result, out);
        };
        self.by_attempt.remove(&id);
        let Some(lease) = self.leases.remove(&attempt.key.id) else { return };
        let latency_ms = match &result {
            AttemptResult::Answer(answer) => answer.elapsed_ms as f64,
            _ => (now - attempt.sent_at_ms) as f64,
        };
        let interpretation = outcome::interpret(result, lease.failed_attempts);
        let mut decisions = Vec::new();
        let mut retry_after_ms = 0;
        if let Some(state) = self.services.get_mut(&attempt.service) {
            state.on_attempt_end(now, id, &interpretation, latency_ms, &mut decisions);
            retry_after_ms = state.retry_after_ms(now).max(interpretation.min_retry_after_ms);
            if interpretation.verdict == Verdict::Unknown && !state.is_idempotent() {
                retry_after_ms = retry_after_ms.max(UNKNOWN_OUTCOME_RETRY_MS);
            }
        }
        let outcome = outcome(interpretation.verdict, retry_after_ms);
        self.report(now, lease.store, attempt.key, outcome, out);
        self.carry_out(now, decisions, out);
    }

    /// Handles the result of an attempt that was given up before: a success counts however late it is.
    fn on_late_result(&mut self, now: u64, id: AttemptId, result: AttemptResult, out: &mut Vec<Output>) {
        let Some(GivenUp { store, key }) = self.attempts.take_given_up(id) else { return };
        let Verdict::Succeeded { signature } = outcome::interpret(result, 0).verdict else { return };
        let unsent = self.leases.get(&key.id).is_some_and(|lease| !lease.sent);
        if unsent {
            let Some(lease) = self.remove_unsent(now, key.id, out) else { return };
            let later = LeaseKey { id: key.id, token: lease.token };
            let outcome = AttemptOutcome::Succeeded { signature };
            return self.report(now, lease.store, later, outcome, out);
        }
        self.report(now, store, key, AttemptOutcome::Succeeded { signature }, out);
    }

    /// Ends an attempt as timed out whose result the caller should have passed in by now.
    pub(super) fn give_up(&mut self, now: u64, id: AttemptId, out: &mut Vec<Output>) {
        let Some(Attempt { key, .. }) = self.attempts.get(id) else { return };
        if let Some(lease) = self.leases.get(&key.id) {
            self.attempts.give_up(id, GivenUp { store: lease.store, key });
        }
        out.push(Output::CancelAttempt { attempt: id });
        self.on_attempt(now, id, AttemptResult::TimedOut { connected: true }, out);
    }

    /// Sends a message to the worker that its service chose.
    pub(super) fn send(&mut self, now: u64, attempt: AttemptId, worker: WorkerId, out: &mut Vec<Output>) {
        let Some(id) = self.by_attempt.get(&attempt).copied() else { return };
        let Some(lease) = self.leases.get_mut(&id) else { return };
        let service = lease.route.service.clone();
        let Some(target) = self.services.get(&service).and_then(|state| state.target(worker)) else { return };
        lease.sent = true;
        let timeout_ms = lease.route.timeout_ms;
        let answer_timeout_ms = timeout_ms.saturating_add(ANSWER_SLACK_MS);
        let key = LeaseKey { id, token: lease.token };
        self.attempts.send(now, attempt, key, service, answer_timeout_ms);
        let message = lease.message.clone();
        let connect_timeout_ms = CONNECT_TIMEOUT_MS.min(timeout_ms);
        out.push(Output::Send {
            attempt,
            message,
            worker: target,
            connect_timeout_ms,
            timeout_ms,
            answer_timeout_ms,
        });
    }

    /// Reports the outcome of a lease to the store, repeated until recorded.
    pub(super) fn report(
        &mut self,
        now: u64,
        store: StoreId,
        key: LeaseKey,
        outcome: AttemptOutcome,
        out: &mut Vec<Output>,
    ) {
        let message = FromDispatcher::Attempted { id: key.id, token: key.token, outcome };
        let due = self.reports.add(now, store, key, message);
        send_reports(vec![due], out);
    }

    /// Gives back a message for which its service found no worker.
    pub(super) fn give_back(
        &mut self,
        now: u64,
        attempt: AttemptId,
        retry_after_ms: u32,
        out: &mut Vec<Output>,
    ) {
        let Some(id) = self.by_attempt.remove(&attempt) else { return };
        let Some(lease) = self.leases.remove(&id) else { return };
        let key = LeaseKey { id, token: lease.token };
        self.report(now, lease.store, key, AttemptOutcome::NotRun { retry_after_ms }, out);
    }
}

/// Outcome to report for a verdict. `retry_after_ms` applies if the message was not run or its result is unknown.
fn outcome(verdict: Verdict, retry_after_ms: u32) -> AttemptOutcome {
    match verdict {
        Verdict::Succeeded { signature } => AttemptOutcome::Succeeded { signature },
        Verdict::Refused => AttemptOutcome::Refused,
        Verdict::Failed => AttemptOutcome::Failed,
        Verdict::NotRun => AttemptOutcome::NotRun { retry_after_ms },
        Verdict::Unknown => AttemptOutcome::Unknown { retry_after_ms },
    }
}
