//! Call-backs that stores granted: sends them to their receivers, as many at a time as each receiver accepts.

use crate::health::jittered;
use crate::interface::{AttemptId, CallBackBody, CallBackResult, CallBackState, CallBackUrl};
use crate::receiver::{Receiver, ResetCause};
use crate::reports::LeaseKey;
use fastrand::Rng;
use millrudder_protocol::callback_url::CallbackUrl;
use millrudder_protocol::message::End;
use millrudder_protocol::store::FromDispatcher;
use millrudder_protocol::{Address, MessageId, StoreId};
use std::collections::BTreeMap;

/// Time-out of one attempt to call back (ms).
pub(crate) const TIMEOUT_MS: u32 = 2000;
/// An attempt counts as failed when the caller has not passed its result in this time (ms) after the time-out.
const OVERDUE_AFTER_MS: u64 = 1000;
/// Maximum number of call-backs that wait here for one receiver; more are given back to their stores.
const MAX_WAITING_PER_RECEIVER: usize = 32;
/// Backoff (ms) of a call-back that its receiver refused by a status below 500 other than 200, or for which there is no
/// more room here.
const REFUSED_RETRY_MS: u64 = 1000;
/// When this many receivers are known, those that have no call-backs here and do not count as down are forgotten.
const MAX_RECEIVERS: usize = 1024;
/// Status by which a receiver accepts a call-back.
const ACCEPTED: u16 = 200;

/// Parses a call-back URL, as the process that accepted it has; `None` if a call-back cannot be sent to it.
pub(crate) fn parse_url(url: &str) -> Option<CallBackUrl> {
    let url: CallbackUrl = url.parse().ok()?;
    Some(CallBackUrl { address: Address(url.address), path: url.path_and_query.to_string() })
}

/// A call-back that a store granted.
pub(crate) struct GrantedCallBack {
    pub store: StoreId,
    pub key: LeaseKey,
    pub url: CallBackUrl,
    pub body: CallBackBody,
}

/// What is to be done in response to an input.
pub(crate) enum CallBackDecision {
    Send { attempt: AttemptId, url: CallBackUrl, body: CallBackBody },
    Report { store: StoreId, key: LeaseKey, message: FromDispatcher },
}

/// Lease of a call-back.
struct Lease {
    granted: GrantedCallBack,
    /// `None` while it waits.
    attempt: Option<AttemptId>,
}

/// An attempt in flight.
struct InFlight {
    id: MessageId,
    /// When it counts as failed.
    overdue_at_ms: u64,
}

/// All call-backs at this dispatcher, and their receivers. Times are milliseconds on the caller's steady clock.
pub(crate) struct CallBacks {
    receivers: BTreeMap<Address, Receiver>,
    leases: BTreeMap<MessageId, Lease>,
    attempts: BTreeMap<AttemptId, InFlight>,
    rng: Rng,
}

/// Body of a call-back for the end of a message; `None` for a withdrawn message, of which no receiver is notified.
pub(crate) fn body(request_id: &str, end: End) -> Option<CallBackBody> {
    let (state, signature) = match end {
        End::Completed { signature } => (CallBackState::Completed, signature),
        End::DeadLetter => (CallBackState::DeadLetter, String::new()),
        End::Withdrawn => return None,
    };
    Some(CallBackBody { instance_id: request_id.to_owned(), state, signature })
}

/// Report to the store: the receiver has accepted the call-back (`done`), or its lease is given back.
pub(crate) fn report(key: LeaseKey, done: bool, retry_after_ms: u32) -> FromDispatcher {
    FromDispatcher::CalledBack { id: key.id, token: key.token, done, retry_after_ms }
}

impl CallBacks {
    pub fn new(seed: u64) -> Self {
        CallBacks {
            receivers: BTreeMap::new(),
            leases: BTreeMap::new(),
            attempts: BTreeMap::new(),
            rng: Rng::with_seed(seed),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    pub fn keys(&self) -> impl Iterator<Item = LeaseKey> + '_ {
        self.leases.values().map(|lease| lease.granted.key)
    }

    /// Handles a granted call-back. One that is here already goes on under the later lease.
    pub fn grant(
        &mut self,
        now: u64,
        granted: GrantedCallBack,
        next_attempt: &mut impl FnMut() -> AttemptId,
        out: &mut Vec<CallBackDecision>,
    ) {
        let id = granted.key.id;
        if let Some(lease) = self.leases.get_mut(&id) {
            if granted.key.token > lease.granted.key.token {
                lease.granted.key = granted.key;
                lease.granted.store = granted.store;
            }
            return;
        }
        let address = granted.url.address;
        self.evict_idle_receivers(now);
        let receiver = self.receivers.entry(address).or_default();
        if receiver.waiting.len() >= MAX_WAITING_PER_RECEIVER {
            let retry_after_ms = jittered(REFUSED_RETRY_MS, &mut self.rng);
            return give_back(&granted, retry_after_ms, out);
        }
        receiver.waiting.push_back(id);
        self.leases.insert(id, Lease { granted, attempt: None });
        self.send_waiting(now, address, next_attempt, out);
    }

    /// Forgets receivers that have no call-backs here and do not count as down, if [`MAX_RECEIVERS`] are known.
    fn evict_idle_receivers(&mut self, now: u64) {
        if self.receivers.len() >= MAX_RECEIVERS {
            self.receivers.retain(|_, receiver| !receiver.is_idle(now));
        }
    }

    /// Sends waiting call-backs to a receiver while it has room; gives them back while it is down.
    fn send_waiting(
        &mut self,
        now: u64,
        address: Address,
        next_attempt: &mut impl FnMut() -> AttemptId,
        out: &mut Vec<CallBackDecision>,
    ) {
        let Some(receiver) = self.receivers.get_mut(&address) else { return };
        if let Some(down_ms) = receiver.down_for_ms(now) {
            return self.give_back_waiting(down_ms, address, out);
        }
        while receiver.has_room(now) {
            let Some(id) = receiver.waiting.pop_front() else { return };
            let Some(lease) = self.leases.get_mut(&id) else { continue };
            let attempt = next_attempt();
            receiver.in_flight += 1;
            lease.attempt = Some(attempt);
            self.attempts.insert(
                attempt,
                InFlight { id, overdue_at_ms: now + u64::from(TIMEOUT_MS) + OVERDUE_AFTER_MS },
            );
            let (url, body) = (lease.granted.url.clone(), lease.granted.body.clone());
            out.push(CallBackDecision::Send { attempt, url, body });
        }
    }

    /// Gives back the waiting call-backs of a receiver that counts as down for another `down_ms`.
    fn give_back_waiting(&mut self, down_ms: u64, address: Address, out: &mut Vec<CallBackDecision>) {
        let Some(receiver) = self.receivers.get_mut(&address) else { return };
        for id in std::mem::take(&mut receiver.waiting) {
            let Some(lease) = self.leases.remove(&id) else { continue };
            give_back(&lease.granted, jittered(down_ms, &mut self.rng), out);
        }
    }

    /// Handles the end of an attempt.
    pub fn end(
        &mut self,
        now: u64,
        attempt: AttemptId,
        result: CallBackResult,
        next_attempt: &mut impl FnMut() -> AttemptId,
        out: &mut Vec<CallBackDecision>,
    ) {
        let Some(InFlight { id, .. }) = self.attempts.remove(&attempt) else { return };
        let Some(lease) = self.leases.remove(&id) else { return };
        let address = lease.granted.url.address;
        let receiver = self.receivers.entry(address).or_default();
        receiver.in_flight = receiver.in_flight.saturating_sub(1);
        match result {
            CallBackResult::Answer { status: ACCEPTED } => {
                receiver.on_accepted();
                let (store, key) = (lease.granted.store, lease.granted.key);
                out.push(CallBackDecision::Report { store, key, message: report(key, true, 0) });
            }
            CallBackResult::Answer { status } if status < 500 => {
                receiver.on_answer();
                give_back(&lease.granted, jittered(REFUSED_RETRY_MS, &mut self.rng), out);
            }
            CallBackResult::Reset
                if receiver.on_reset(now, &mut self.rng) == ResetCause::TooManyConnections =>
            {
                receiver.waiting.push_front(id);
                self.leases.insert(id, Lease { attempt: None, ..lease });
            }
            CallBackResult::Answer { .. } | CallBackResult::Reset | CallBackResult::Failed => {
                let retry_after_ms = receiver.on_failure(now, &mut self.rng);
                give_back(&lease.granted, retry_after_ms, out);
            }
        }
        self.send_waiting(now, address, next_attempt, out);
    }

    /// Drops a call-back whose lease was revoked, unless an attempt is in flight.
    pub fn revoke(&mut self, key: LeaseKey) {
        let is_waiting = |lease: &Lease| lease.granted.key == key && lease.attempt.is_none();
        if self.leases.get(&key.id).is_some_and(is_waiting) {
            self.leases.remove(&key.id);
            self.receivers.values_mut().for_each(|receiver| receiver.waiting.retain(|id| *id != key.id));
        }
    }

    /// Gives back all waiting call-backs, as the process shuts down.
    pub fn shut_down(&mut self, out: &mut Vec<CallBackDecision>) {
        for receiver in self.receivers.values_mut() {
            for id in std::mem::take(&mut receiver.waiting) {
                let Some(lease) = self.leases.remove(&id) else { continue };
                give_back(&lease.granted, 0, out);
            }
        }
    }

    /// Sends call-backs to receivers whose pause after a reset is over.
    pub fn resume(
        &mut self,
        now: u64,
        next_attempt: &mut impl FnMut() -> AttemptId,
        out: &mut Vec<CallBackDecision>,
    ) {
        let mut resumed = Vec::new();
        for (address, receiver) in &mut self.receivers {
            if receiver.resume(now) {
                resumed.push(*address);
            }
        }
        for address in resumed {
            self.send_waiting(now, address, next_attempt, out);
        }
    }

    /// Attempts whose result the caller should have passed in by now.
    pub fn overdue(&self, now: u64) -> Vec<AttemptId> {
        let overdue = self.attempts.iter().filter(|(_, attempt)| now >= attempt.overdue_at_ms);
        overdue.map(|(id, _)| *id).collect()
    }

    pub fn next_deadline_ms(&self) -> Option<u64> {
        let overdue = self.attempts.values().map(|attempt| attempt.overdue_at_ms);
        let resumes = self.receivers.values().filter_map(Receiver::resumes_at_ms);
        overdue.chain(resumes).min()
    }
}

fn give_back(granted: &GrantedCallBack, retry_after_ms: u32, out: &mut Vec<CallBackDecision>) {
    let message = report(granted.key, false, retry_after_ms);
    out.push(CallBackDecision::Report { store: granted.store, key: granted.key, message });
}
