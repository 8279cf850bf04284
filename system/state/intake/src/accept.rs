//! Has messages kept: one submission, one or more tries at stores, one final answer.
//!
//! A message that may go into any shard is tried elsewhere, under another name, as soon as a store is slow; the first
//! try is then withdrawn. A message whose shard is given (by its order key, or by its service's ceiling) is tried
//! again under the same name at the shard's present primary, which joins repeats; where that one has just been lost, it
//! waits for the next one while enough replicas are left to keep a message.

use crate::stores::Stores;
use crate::withdrawals::Withdrawals;
use crate::{CallNumber, Output};
use millrudder_protocol::message::Message;
use millrudder_protocol::store::{AcceptRejection, FromDispatcher};
use millrudder_protocol::{LeaseToken, MessageId, RequestNumber, ShardId, StoreId};
use std::collections::{BTreeMap, BTreeSet};

/// A store that has not answered after this many times its usual time is not waited for ...
const PATIENCE: u64 = 6;
/// ... and after this long (ms) at the least and the most.
const SHORTEST_PATIENCE_MS: u64 = 60;
const LONGEST_PATIENCE_MS: u64 = 150;
/// Pause before the shard's primary is asked once more, where it was not ready (ms).
const AGAIN_MS: u64 = 15;
/// What a client is told to wait where no store can take its message (ms).
const RETRY_AFTER_MS: u32 = 300;
/// Share of a new measurement in the mean answer time.
const MEAN_SHARE: f64 = 0.1;

/// Which shard a message must be in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// Any: the nearest store takes it.
    Any,
    /// The one that this name (an order key, a service with a ceiling) falls into.
    Named(String),
}

/// A message to be kept.
#[derive(Clone, Debug)]
pub struct Submission {
    pub message: Message,
    pub place: Place,
    /// Steady time (ms) at which the client must have its answer.
    pub deadline: u64,
}

/// Final answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptAnswer {
    /// Durable: the client may be told so.
    Kept { id: MessageId },
    /// No store has it or will have it: it never runs.
    Refused { retry_after_ms: u32 },
    /// A store may have it; it is being withdrawn, but may have run.
    InDoubt,
}

struct Try {
    id: MessageId,
    store: StoreId,
    /// The connection it was sent on is still open, so that an answer may come.
    open: bool,
    sent: u64,
}

impl Try {
    fn is_awaited(&self, now: u64, patience: u64) -> bool {
        self.open && now < self.sent + patience
    }
}

/// A store that has not answered in time what was sent to it.
pub struct Overdue {
    pub store: StoreId,
    pub sent: u64,
}

struct Call {
    submission: Submission,
    /// Tries that may have left the message at a store.
    tries: BTreeMap<RequestNumber, Try>,
    tried: Vec<StoreId>,
    /// The name it keeps, where its shard is given.
    fixed: Option<MessageId>,
    /// When to look again.
    due: u64,
}

/// All submissions that have no final answer yet.
pub struct Accepts {
    random: fastrand::Rng,
    turn: usize,
    next_request: u64,
    calls: BTreeMap<CallNumber, Call>,
    by_request: BTreeMap<RequestNumber, CallNumber>,
    due: BTreeSet<(u64, CallNumber)>,
    withdrawals: Withdrawals,
    mean_ms: f64,
}

impl Accepts {
    pub fn new(seed: u64) -> Self {
        Accepts {
            random: fastrand::Rng::with_seed(seed),
            turn: 0,
            next_request: 0,
            calls: BTreeMap::new(),
            by_request: BTreeMap::new(),
            due: BTreeSet::new(),
            withdrawals: Withdrawals::default(),
            mean_ms: 0.0,
        }
    }

    pub fn submit(
        &mut self,
        now: u64,
        number: CallNumber,
        submission: Submission,
        stores: &Stores,
        out: &mut Vec<Output>,
    ) {
        let call = Call { submission, tries: BTreeMap::new(), tried: Vec::new(), fixed: None, due: now };
        self.due.insert((call.due, number));
        self.calls.insert(number, call);
        self.advance(now, number, stores, out);
    }

    pub fn next_deadline(&self) -> Option<u64> {
        self.due.first().map(|(due, _)| *due)
    }

    pub fn on_tick(&mut self, now: u64, stores: &Stores, out: &mut Vec<Output>) {
        while let Some((due, number)) = self.due.first().copied() {
            if due > now {
                break;
            }
            self.advance(now, number, stores, out);
        }
    }

    /// Messages of a shard that a store may keep, without a word of it yet, or that are still to be withdrawn.
    pub fn in_doubt(&self, of: impl Fn(ShardId) -> bool) -> Vec<MessageId> {
        let asked = self.calls.values().flat_map(|call| call.tries.values().map(|attempt| attempt.id));
        asked.chain(self.withdrawals.owed()).filter(|id| of(id.shard)).collect()
    }

    /// Stores that have let a call wait for longer than they should, and since when.
    pub fn overdue(&self, now: u64) -> Vec<Overdue> {
        let patience = self.patience();
        let due = self.due.iter().take_while(|(due, _)| *due <= now);
        let calls = due.filter_map(|(_, number)| self.calls.get(number));
        let tries = calls.flat_map(|call| call.tries.values());
        let late = tries.filter(|attempt| attempt.open && now >= attempt.sent + patience);
        late.map(|attempt| Overdue { store: attempt.store, sent: attempt.sent }).collect()
    }

    /// Another placement, or a connection came or went: all calls and withdrawals are looked at again.
    pub fn on_stores_changed(&mut self, now: u64, stores: &Stores, out: &mut Vec<Output>) {
        self.withdrawals.tell_again(stores, out);
        self.advance_all(now, stores, out);
    }

    /// Looks at every call again.
    pub fn advance_all(&mut self, now: u64, stores: &Stores, out: &mut Vec<Output>) {
        let numbers: Vec<CallNumber> = self.calls.keys().copied().collect();
        for number in numbers {
            self.advance(now, number, stores, out);
        }
    }

    pub fn on_closed(&mut self, now: u64, store: StoreId, stores: &Stores, out: &mut Vec<Output>) {
        for call in self.calls.values_mut() {
            let lost = call.tries.values_mut().filter(|attempt| attempt.store == store);
            lost.for_each(|attempt| attempt.open = false);
        }
        self.on_stores_changed(now, stores, out);
    }

    pub fn on_accepted(
        &mut self,
        now: u64,
        store: StoreId,
        request: RequestNumber,
        token: Option<LeaseToken>,
        stores: &Stores,
        out: &mut Vec<Output>,
    ) {
        let Some(number) = self.by_request.get(&request).copied() else { return };
        let Some(mut call) = self.end(number) else { return };
        let Some(kept) = call.tries.remove(&request) else { return };
        self.mean_ms += MEAN_SHARE * (now.saturating_sub(kept.sent) as f64 - self.mean_ms);
        out.push(Output::Answered { call: number, answer: AcceptAnswer::Kept { id: kept.id } });
        if let Some(token) = token {
            out.push(Output::Deliver { store, id: kept.id, token, call: number });
        }
        for attempt in call.tries.into_values().filter(|attempt| attempt.id != kept.id) {
            self.withdrawals.add(attempt.id, stores, out);
        }
    }

    pub fn on_not_accepted(
        &mut self,
        now: u64,
        request: RequestNumber,
        reason: AcceptRejection,
        stores: &Stores,
        out: &mut Vec<Output>,
    ) {
        let Some(number) = self.by_request.remove(&request) else { return };
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.tries.remove(&request);
        match reason {
            AcceptRejection::Full { retry_after_ms } if call.fixed.is_some() => {
                self.finish(number, retry_after_ms, stores, out);
            }
            // The same primary may be ready a moment later.
            AcceptRejection::NotPrimary { .. } if call.fixed.is_some() => {
                self.look_again(number, now + AGAIN_MS)
            }
            _ => self.advance(now, number, stores, out),
        }
    }

    pub fn on_withdrawn(&mut self, id: MessageId) {
        self.withdrawals.done(id);
    }

    /// Does for a call what can be done now: waits for a try, makes another, or ends the call.
    fn advance(&mut self, now: u64, number: CallNumber, stores: &Stores, out: &mut Vec<Output>) {
        let patience = self.patience();
        let Some(call) = self.calls.get(&number) else { return };
        let deadline = call.submission.deadline;
        if now >= deadline {
            self.finish(number, RETRY_AFTER_MS, stores, out);
            return;
        }
        let awaited = call.tries.values().filter(|attempt| attempt.is_awaited(now, patience));
        if let Some(sent) = awaited.map(|attempt| attempt.sent).max() {
            self.look_again(number, (sent + patience).min(deadline));
            return;
        }
        if self.try_next(now, number, stores, out) {
            self.look_again(number, (now + patience).min(deadline));
            return;
        }
        let Some(call) = self.calls.get(&number) else { return };
        if call.may_still_be_kept() {
            self.look_again(number, (now + AGAIN_MS).min(deadline));
            return;
        }
        // A new placement or an opened connection wakes it up before.
        match call.fixed.and_then(|id| stores.next_primary_by(now, id.shard, deadline)) {
            Some(by) => self.look_again(number, by),
            None => self.finish(number, RETRY_AFTER_MS, stores, out),
        }
    }

    /// Sends the message to a store that was not tried yet, or to the primary of the shard that it must be in.
    fn try_next(&mut self, now: u64, number: CallNumber, stores: &Stores, out: &mut Vec<Output>) -> bool {
        let Some(id) = self.choose(number, stores) else { return false };
        let Some(store) = stores.usable_primary(id.shard) else { return false };
        let Some(call) = self.calls.get_mut(&number) else { return false };
        let asked = call.tries.values().any(|attempt| attempt.open && attempt.store == store);
        if asked {
            return false;
        }
        self.next_request += 1;
        let request = RequestNumber(self.next_request);
        call.tried.push(store);
        call.tries.insert(request, Try { id, store, open: true, sent: now });
        self.by_request.insert(request, number);
        let message = Box::new(call.submission.message.clone());
        let accept = FromDispatcher::Accept { request, id, message, wants_lease: true };
        out.push(Output::ToStore { store, message: accept });
        true
    }

    /// The name for the next try.
    fn choose(&mut self, number: CallNumber, stores: &Stores) -> Option<MessageId> {
        let call = self.calls.get_mut(&number)?;
        if call.fixed.is_some() {
            return call.fixed;
        }
        let unique = self.random.u64(..);
        if let Place::Named(name) = &call.submission.place {
            call.fixed = stores.shard_of(name).map(|shard| MessageId { shard, unique });
            return call.fixed;
        }
        self.turn = self.turn.wrapping_add(1);
        let shard = stores.any_shard(self.turn, &call.tried)?;
        Some(MessageId { shard, unique })
    }

    /// Ends a call without a 202: refused where no store can have the message, in doubt otherwise.
    fn finish(&mut self, number: CallNumber, retry_after_ms: u32, stores: &Stores, out: &mut Vec<Output>) {
        let Some(call) = self.end(number) else { return };
        let answer = if call.tries.is_empty() {
            AcceptAnswer::Refused { retry_after_ms }
        } else {
            AcceptAnswer::InDoubt
        };
        out.push(Output::Answered { call: number, answer });
        for attempt in call.tries.into_values() {
            self.withdrawals.add(attempt.id, stores, out);
        }
    }

    fn end(&mut self, number: CallNumber) -> Option<Call> {
        let call = self.calls.remove(&number)?;
        self.due.remove(&(call.due, number));
        for request in call.tries.keys() {
            self.by_request.remove(request);
        }
        Some(call)
    }

    fn look_again(&mut self, number: CallNumber, due: u64) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        self.due.remove(&(call.due, number));
        call.due = due;
        self.due.insert((due, number));
    }

    fn patience(&self) -> u64 {
        let usual = self.mean_ms.ceil() as u64;
        (PATIENCE * usual).clamp(SHORTEST_PATIENCE_MS, LONGEST_PATIENCE_MS)
    }
}

impl Call {
    /// An answer may still come, or its shard may get another primary before the client leaves.
    fn may_still_be_kept(&self) -> bool {
        self.tries.values().any(|attempt| attempt.open) || !self.tries.is_empty() && self.fixed.is_some()
    }
}
