//! Call-backs that stores granted: sent to their receivers, as many at a time as each receiver takes.

use crate::health::jittered;
use crate::interface::{AttemptId, CallBackBody, CallBackResult, CallBackState, CallBackUrl};
use crate::receiver::{Receiver, ResetCause};
use crate::reports::LeaseKey;
use fastrand::Rng;
use millrudder_protocol::message::End;
use millrudder_protocol::store::FromDispatcher;
use millrudder_protocol::{Address, MessageId, StoreId};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Of one attempt (ms).
pub(crate) const TIMEOUT_MS: u32 = 2000;
/// So long after that the shell should have told its end (ms).
const OVERDUE_AFTER_MS: u64 = 1000;
/// Call-backs that wait for one receiver here; stores keep the rest.
const MAX_WAITING_PER_RECEIVER: usize = 32;
/// A receiver that refuses one call-back (an answer other than 200) gets that one again after this (ms).
const REFUSED_RETRY_MS: u64 = 1000;
/// Receivers of which something is remembered.
const MAX_RECEIVERS: usize = 1024;
/// Status that accepts a call-back.
const ACCEPTED: u16 = 200;
const URL_SCHEME: &str = "http://";
const DEFAULT_PORT: u16 = 80;

/// The URL, taken apart; `None` where it names no address that a call-back can be sent to.
pub(crate) fn parse_url(url: &str) -> Option<CallBackUrl> {
    let rest = url.strip_prefix(URL_SCHEME)?;
    let (authority, path) = rest.find('/').map_or((rest, "/"), |slash| rest.split_at(slash));
    let with_port = authority.parse::<SocketAddr>().ok();
    let address = with_port.or_else(|| Some(SocketAddr::new(authority.parse().ok()?, DEFAULT_PORT)))?;
    let path = path.split('#').next().unwrap_or("/").to_owned();
    Some(CallBackUrl { address: Address(address), path })
}

/// A call-back that a store granted.
pub(crate) struct GrantedCallBack {
    pub store: StoreId,
    pub key: LeaseKey,
    pub url: CallBackUrl,
    pub body: CallBackBody,
}

/// What comes of an input.
pub(crate) enum CallBackDecision {
    Send { attempt: AttemptId, url: CallBackUrl, body: CallBackBody },
    Report { store: StoreId, key: LeaseKey, message: FromDispatcher },
}

struct Lease {
    granted: GrantedCallBack,
    attempt: Option<AttemptId>,
}

/// An attempt that is out.
struct InFlight {
    id: MessageId,
    overdue_at_ms: u64,
}

/// All call-backs here.
pub(crate) struct CallBacks {
    receivers: BTreeMap<Address, Receiver>,
    leases: BTreeMap<MessageId, Lease>,
    attempts: BTreeMap<AttemptId, InFlight>,
    rng: Rng,
}

/// The body for an end; `None` for one that nobody is told.
pub(crate) fn body(request_id: &str, end: End) -> Option<CallBackBody> {
    let (state, signature) = match end {
        End::Completed { signature } => (CallBackState::Completed, signature),
        End::DeadLetter => (CallBackState::DeadLetter, String::new()),
        End::Withdrawn => return None,
    };
    Some(CallBackBody { instance_id: request_id.to_owned(), state, signature })
}

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

    /// A store granted a call-back. One that is here already goes on under the later lease.
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

    /// Receivers of which nothing is here and whose pause is over are forgotten when there are many.
    fn evict_idle_receivers(&mut self, now: u64) {
        if self.receivers.len() >= MAX_RECEIVERS {
            self.receivers.retain(|_, receiver| !receiver.is_idle(now));
        }
    }

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

    fn give_back_waiting(&mut self, down_ms: u64, address: Address, out: &mut Vec<CallBackDecision>) {
        let Some(receiver) = self.receivers.get_mut(&address) else { return };
        for id in std::mem::take(&mut receiver.waiting) {
            let Some(lease) = self.leases.remove(&id) else { continue };
            give_back(&lease.granted, jittered(down_ms, &mut self.rng), out);
        }
    }

    /// An attempt ended.
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

    /// The lease is over; a call-back that is out goes on.
    pub fn revoke(&mut self, key: LeaseKey) {
        let is_waiting = |lease: &Lease| lease.granted.key == key && lease.attempt.is_none();
        if self.leases.get(&key.id).is_some_and(is_waiting) {
            self.leases.remove(&key.id);
            self.receivers.values_mut().for_each(|receiver| receiver.waiting.retain(|id| *id != key.id));
        }
    }

    /// The process stops: what waits is given back.
    pub fn shut_down(&mut self, out: &mut Vec<CallBackDecision>) {
        for receiver in self.receivers.values_mut() {
            for id in std::mem::take(&mut receiver.waiting) {
                let Some(lease) = self.leases.remove(&id) else { continue };
                give_back(&lease.granted, 0, out);
            }
        }
    }

    /// Sends what waited for the end of a receiver's pause.
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

    /// Attempts of which the shell should have told the end.
    pub fn overdue(&self, now: u64) -> Vec<AttemptId> {
        let overdue = self.attempts.iter().filter(|(_, attempt)| now >= attempt.overdue_at_ms);
        overdue.map(|(id, _)| *id).collect()
    }

    pub fn next_deadline(&self) -> Option<u64> {
        let overdue = self.attempts.values().map(|attempt| attempt.overdue_at_ms);
        let resumes = self.receivers.values().filter_map(Receiver::resumes_at_ms);
        overdue.chain(resumes).min()
    }
}

fn give_back(granted: &GrantedCallBack, retry_after_ms: u32, out: &mut Vec<CallBackDecision>) {
    let message = report(granted.key, false, retry_after_ms);
    out.push(CallBackDecision::Report { store: granted.store, key: granted.key, message });
}
