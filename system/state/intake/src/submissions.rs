//! Submissions: each has one message, one or more attempts to store it, and one final result.
//!
//! If a message may be in any shard and the store is slow, the message is also sent to another store under another
//! identifier. Once one store has accepted it, the other attempts are withdrawn. If the shard is fixed, by the
//! message's order key or its service's rate limit, the message is retried under the same identifier at the shard's
//! current primary, which deduplicates it. If that primary was lost recently, the message waits for the next primary as
//! long as enough replicas remain to accept a message. If no store serves a shard yet, any message waits for a takeover.

use crate::deadlines::Deadlines;
use crate::interface::{CallNumber, Output, Submission, SubmissionResult, TargetShard};
use crate::response_time::ResponseTime;
use crate::store_directory::StoreDirectory;
use crate::withdrawals::Withdrawals;
use millrudder_clock::Instant;
use millrudder_protocol::store::{AcceptRejection, FromDispatcher};
use millrudder_protocol::{LeaseToken, MessageId, RequestNumber, ShardId, StoreId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Delay before a submission is retried if the shard's primary was not ready or no attempt can be made at present.
const RETRY_DELAY: Duration = Duration::from_millis(15);
/// Longest delay between two rounds over stores that do not serve their shards yet.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(240);
/// How long a message waits for stores that do not serve their shards yet. Takeovers usually take some tenths of a second.
const MAX_TAKEOVER_WAIT: Duration = Duration::from_millis(900);
/// `Retry-After` for clients whose message no store can accept.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// An attempt to store a message, which the store may have accepted.
struct Attempt {
    id: MessageId,
    store: StoreId,
    /// Whether the connection on which it was sent is still open, so that an answer may arrive.
    is_connected: bool,
    sent_at: Instant,
}

impl Attempt {
    fn is_in_time(&self, now: Instant, timeout: Duration) -> bool {
        self.is_connected && now < self.sent_at + timeout
    }

    fn has_timed_out(&self, now: Instant, timeout: Duration) -> bool {
        self.is_connected && now >= self.sent_at + timeout
    }
}

/// An attempt that a store has not answered within the timeout.
pub struct TimedOutAttempt {
    /// The store.
    pub store: StoreId,
    /// When the attempt was sent.
    pub sent_at: Instant,
}

/// The wait of a submission for stores that rejected it because they did not serve their shards yet.
struct TakeoverWait {
    /// The stores that have done so in this round.
    rejected_by: Vec<StoreId>,
    /// Delay before the next round.
    delay: Duration,
    /// When no further round is made.
    until: Instant,
}

impl TakeoverWait {
    fn new(now: Instant) -> Self {
        TakeoverWait { rejected_by: Vec::new(), delay: RETRY_DELAY, until: now + MAX_TAKEOVER_WAIT }
    }
}

/// A submission without a final result.
struct PendingSubmission {
    submission: Submission,
    attempts: BTreeMap<RequestNumber, Attempt>,
    attempted_stores: Vec<StoreId>,
    /// The message's identifier, if its shard is fixed.
    fixed_id: Option<MessageId>,
    /// Present once a store has rejected the message because it did not serve the shard.
    takeover_wait: Option<TakeoverWait>,
}

impl PendingSubmission {
    fn new(submission: Submission) -> Self {
        PendingSubmission {
            submission,
            attempts: BTreeMap::new(),
            attempted_stores: Vec::new(),
            fixed_id: None,
            takeover_wait: None,
        }
    }

    /// Records that a store does not serve the shard of an attempt yet, so that it does not have the message.
    fn record_not_primary(&mut self, now: Instant, store: StoreId) {
        let wait = self.takeover_wait.get_or_insert_with(|| TakeoverWait::new(now));
        wait.rejected_by.push(store);
    }

    /// Allows another attempt at the stores that did not serve their shards. Returns when to make it; `None` if there is no
    /// such store, or if it has been waited for long enough.
    fn next_round(&mut self, now: Instant) -> Option<Instant> {
        let wait = self.takeover_wait.as_mut().filter(|wait| now < wait.until)?;
        if wait.rejected_by.is_empty() {
            return None;
        }
        let rejected_by = std::mem::take(&mut wait.rejected_by);
        self.attempted_stores.retain(|store| !rejected_by.contains(store));
        let delay = wait.delay;
        wait.delay = (delay * 2).min(MAX_RETRY_DELAY);
        Some(now + delay)
    }

    /// Whether an answer may still arrive, or a later primary of the fixed shard may still accept the message.
    fn may_be_accepted(&self) -> bool {
        let has_connected_attempt = self.attempts.values().any(|attempt| attempt.is_connected);
        has_connected_attempt || !self.attempts.is_empty() && self.fixed_id.is_some()
    }

    fn has_connected_attempt_at(&self, store: StoreId) -> bool {
        self.attempts.values().any(|attempt| attempt.is_connected && attempt.store == store)
    }

    /// When the last attempt that has not timed out was sent.
    fn last_in_time(&self, now: Instant, timeout: Duration) -> Option<Instant> {
        let in_time = self.attempts.values().filter(|attempt| attempt.is_in_time(now, timeout));
        in_time.map(|attempt| attempt.sent_at).max()
    }
}

/// All submissions without a final result.
pub struct Submissions {
    rng: fastrand::Rng,
    /// Counter that spreads submissions over the shards.
    round_robin: usize,
    last_request: u64,
    pending: BTreeMap<CallNumber, PendingSubmission>,
    by_request: BTreeMap<RequestNumber, CallNumber>,
    deadlines: Deadlines<CallNumber>,
    withdrawals: Withdrawals,
    response_time: ResponseTime,
}

impl Submissions {
    /// Creates an empty set of submissions. `seed` determines the message identifiers.
    pub fn new(seed: u64) -> Self {
        Submissions {
            rng: fastrand::Rng::with_seed(seed),
            round_robin: 0,
            last_request: 0,
            pending: BTreeMap::new(),
            by_request: BTreeMap::new(),
            deadlines: Deadlines::default(),
            withdrawals: Withdrawals::default(),
            response_time: ResponseTime::default(),
        }
    }

    /// Starts a submission.
    pub fn submit(
        &mut self,
        now: Instant,
        call: CallNumber,
        submission: Submission,
        stores: &StoreDirectory,
        outputs: &mut Vec<Output>,
    ) {
        self.pending.insert(call, PendingSubmission::new(submission));
        self.deadlines.set(call, now);
        self.advance(now, call, stores, outputs);
    }

    /// When [`Submissions::handle_tick`] is due.
    pub fn next_deadline(&self) -> Option<Instant> {
        let deadlines = [self.deadlines.next(), self.withdrawals.next_deadline()];
        deadlines.into_iter().flatten().min()
    }

    /// Advances all submissions whose deadline has passed, and resends the withdrawals that are due.
    pub fn handle_tick(&mut self, now: Instant, stores: &StoreDirectory, outputs: &mut Vec<Output>) {
        self.withdrawals.handle_tick(now, stores, outputs);
        while let Some(call) = self.deadlines.first_due(now) {
            self.advance(now, call, stores, outputs);
        }
    }

    /// Messages in the selected shards that a store may have accepted without having answered yet, or whose withdrawal
    /// is not confirmed.
    pub fn in_doubt(&self, is_of_shard: impl Fn(ShardId) -> bool) -> Vec<MessageId> {
        let attempts = self.pending.values().flat_map(|pending| pending.attempts.values());
        let attempted = attempts.map(|attempt| attempt.id);
        attempted.chain(self.withdrawals.pending()).filter(|id| is_of_shard(id.shard)).collect()
    }

    /// Whether a store has yet to confirm a withdrawal.
    pub fn has_pending_withdrawals(&self) -> bool {
        !self.withdrawals.is_empty()
    }

    /// Timed-out attempts of submissions whose deadline has passed.
    pub fn timed_out_attempts(&self, now: Instant) -> Vec<TimedOutAttempt> {
        let timeout = self.response_time.attempt_timeout();
        let due = self.deadlines.due(now).filter_map(|call| self.pending.get(&call));
        let attempts = due.flat_map(|pending| pending.attempts.values());
        let timed_out = attempts.filter(|attempt| attempt.has_timed_out(now, timeout));
        timed_out.map(|attempt| TimedOutAttempt { store: attempt.store, sent_at: attempt.sent_at }).collect()
    }

    /// Handles a new placement, or the opening or closing of a connection.
    pub fn handle_stores_changed(
        &mut self,
        now: Instant,
        stores: &StoreDirectory,
        outputs: &mut Vec<Output>,
    ) {
        self.withdrawals.resend(stores, outputs);
        self.advance_all(now, stores, outputs);
    }

    /// Advances all submissions.
    pub fn advance_all(&mut self, now: Instant, stores: &StoreDirectory, outputs: &mut Vec<Output>) {
        let calls: Vec<CallNumber> = self.pending.keys().copied().collect();
        for call in calls {
            self.advance(now, call, stores, outputs);
        }
    }

    /// Handles the closing of a connection, on which no more answers will arrive.
    pub fn handle_closed(
        &mut self,
        now: Instant,
        store: StoreId,
        stores: &StoreDirectory,
        outputs: &mut Vec<Output>,
    ) {
        for pending in self.pending.values_mut() {
            let lost = pending.attempts.values_mut().filter(|attempt| attempt.store == store);
            lost.for_each(|attempt| attempt.is_connected = false);
        }
        self.handle_stores_changed(now, stores, outputs);
    }

    /// Handles the acceptance of a message by a store: ends the submission and withdraws its other attempts.
    pub fn handle_accepted(
        &mut self,
        now: Instant,
        store: StoreId,
        request: RequestNumber,
        token: Option<LeaseToken>,
        stores: &StoreDirectory,
        outputs: &mut Vec<Output>,
    ) {
        let Some(call) = self.by_request.get(&request).copied() else { return };
        let Some(mut ended) = self.remove(call) else { return };
        let Some(accepted) = ended.attempts.remove(&request) else { return };
        self.response_time.record(now - accepted.sent_at);
        let result = SubmissionResult::Accepted { id: accepted.id };
        outputs.push(Output::SubmissionEnded { call, result });
        if let Some(token) = token {
            outputs.push(Output::Deliver { store, id: accepted.id, token, call });
        }
        for attempt in ended.attempts.into_values().filter(|attempt| attempt.id != accepted.id) {
            self.withdrawals.add(now, attempt.id, stores, outputs);
        }
    }

    /// Handles the rejection of a message by a store.
    pub fn handle_rejected(
        &mut self,
        now: Instant,
        request: RequestNumber,
        reason: AcceptRejection,
        stores: &StoreDirectory,
        outputs: &mut Vec<Output>,
    ) {
        let Some(call) = self.by_request.remove(&request) else { return };
        let Some(pending) = self.pending.get_mut(&call) else { return };
        let rejected = pending.attempts.remove(&request);
        match reason {
            AcceptRejection::Full { retry_after_ms } if pending.fixed_id.is_some() => {
                let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                self.end_unaccepted(now, call, retry_after, stores, outputs);
            }
            // The same store may become ready as the primary shortly afterwards.
            AcceptRejection::NotPrimary { .. } if pending.fixed_id.is_some() => {
                self.deadlines.set(call, now + RETRY_DELAY);
            }
            AcceptRejection::NotPrimary { .. } => {
                if let Some(rejected) = rejected {
                    pending.record_not_primary(now, rejected.store);
                }
                self.advance(now, call, stores, outputs);
            }
            AcceptRejection::Full { .. } => self.advance(now, call, stores, outputs),
        }
    }

    /// Handles the confirmation that the withdrawal of a message is durable.
    pub fn handle_withdrawn(&mut self, id: MessageId) {
        self.withdrawals.handle_confirmed(id);
    }

    /// Advances a submission: waits for an attempt in flight, makes another attempt, or ends the submission.
    fn advance(
        &mut self,
        now: Instant,
        call: CallNumber,
        stores: &StoreDirectory,
        outputs: &mut Vec<Output>,
    ) {
        let timeout = self.response_time.attempt_timeout();
        let Some(pending) = self.pending.get(&call) else { return };
        let deadline = pending.submission.deadline;
        if now >= deadline {
            self.end_unaccepted(now, call, RETRY_AFTER, stores, outputs);
            return;
        }
        if let Some(sent_at) = pending.last_in_time(now, timeout) {
            self.deadlines.set(call, (sent_at + timeout).min(deadline));
            return;
        }
        if self.make_attempt(now, call, stores, outputs) {
            self.deadlines.set(call, (now + timeout).min(deadline));
            return;
        }
        let Some(pending) = self.pending.get_mut(&call) else { return };
        if let Some(next_round) = pending.next_round(now) {
            self.deadlines.set(call, next_round.min(deadline));
            return;
        }
        if pending.may_be_accepted() {
            self.deadlines.set(call, (now + RETRY_DELAY).min(deadline));
            return;
        }
        // A new placement or an opened connection advances the submission before this deadline.
        match pending.fixed_id.and_then(|id| stores.await_next_primary(now, id.shard, deadline)) {
            Some(until) => self.deadlines.set(call, until),
            None => self.end_unaccepted(now, call, RETRY_AFTER, stores, outputs),
        }
    }

    /// Sends the message to a store that has not been attempted yet or, if its shard is fixed, to the primary of that
    /// shard. Returns whether an attempt was made.
    fn make_attempt(
        &mut self,
        now: Instant,
        call: CallNumber,
        stores: &StoreDirectory,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let Some(id) = self.choose_id(call, stores) else { return false };
        let Some(store) = stores.usable_primary(id.shard) else { return false };
        let Some(pending) = self.pending.get_mut(&call) else { return false };
        if pending.has_connected_attempt_at(store) {
            return false;
        }
        self.last_request += 1;
        let request = RequestNumber(self.last_request);
        pending.attempted_stores.push(store);
        pending.attempts.insert(request, Attempt { id, store, is_connected: true, sent_at: now });
        self.by_request.insert(request, call);
        let message = Box::new(pending.submission.message.clone());
        let accept = FromDispatcher::Accept { request, id, message, wants_lease: true };
        outputs.push(Output::ToStore { store, message: accept });
        true
    }

    /// Chooses the identifier, and thereby the shard, for the next attempt.
    fn choose_id(&mut self, call: CallNumber, stores: &StoreDirectory) -> Option<MessageId> {
        let pending = self.pending.get_mut(&call)?;
        if pending.fixed_id.is_some() {
            return pending.fixed_id;
        }
        let unique = self.rng.u64(..);
        if let TargetShard::ByName(name) = &pending.submission.target {
            pending.fixed_id = stores.shard_of(name).map(|shard| MessageId { shard, unique });
            return pending.fixed_id;
        }
        self.round_robin = self.round_robin.wrapping_add(1);
        let shard = stores.any_shard(self.round_robin, &pending.attempted_stores)?;
        Some(MessageId { shard, unique })
    }

    /// Ends a submission whose client gets no 202: as rejected if no store can have the message, otherwise as in doubt.
    fn end_unaccepted(
        &mut self,
        now: Instant,
        call: CallNumber,
        retry_after: Duration,
        stores: &StoreDirectory,
        outputs: &mut Vec<Output>,
    ) {
        let Some(ended) = self.remove(call) else { return };
        let result = if ended.attempts.is_empty() {
            SubmissionResult::Rejected { retry_after }
        } else {
            SubmissionResult::InDoubt
        };
        outputs.push(Output::SubmissionEnded { call, result });
        for attempt in ended.attempts.into_values() {
            self.withdrawals.add(now, attempt.id, stores, outputs);
        }
    }

    fn remove(&mut self, call: CallNumber) -> Option<PendingSubmission> {
        let pending = self.pending.remove(&call)?;
        self.deadlines.remove(call);
        for request in pending.attempts.keys() {
            self.by_request.remove(request);
        }
        Some(pending)
    }
}
