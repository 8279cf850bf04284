//! Pending call-backs by receiver. The number in flight to each receiver is limited, and a slow receiver does
//! not delay the call-backs to others.

use crate::config::Config;
use crate::time::Instant;
use millrudder_protocol::{DispatcherId, LeaseToken, MessageId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of consecutive failures after which the receiver backs off, and not only the call-back that failed.
const FAILURES_BEFORE_BACKOFF: u32 = 2;

/// The exclusive right of a dispatcher to make a call-back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallbackLease {
    pub dispatcher: DispatcherId,
    pub token: LeaseToken,
    pub granted_at: Instant,
}

#[derive(Clone, Debug)]
struct Callback {
    receiver: u32,
    /// Time before which it must not be retried.
    not_before: Instant,
    failures: u32,
    lease: Option<CallbackLease>,
}

#[derive(Clone, Debug)]
struct Receiver {
    waiting: BTreeSet<(Instant, MessageId)>,
    in_flight: u32,
    limit: u32,
    failures: u32,
    backing_off_until: Instant,
}

/// All pending call-backs of the shards of which this store is the primary.
#[derive(Clone, Debug, Default)]
pub(crate) struct Callbacks {
    pending: BTreeMap<MessageId, Callback>,
    by_name: BTreeMap<String, u32>,
    receivers: Vec<Receiver>,
    /// Receivers to which a call-back may be possible because something has changed since they were last tried.
    runnable: BTreeSet<u32>,
}

/// The part of a URL that identifies its receiver: host and port.
pub(crate) fn receiver_of(url: &str) -> &str {
    let after_scheme = url.split_once("://").map_or(url, |(_, rest)| rest);
    after_scheme.split(['/', '?', '#']).next().unwrap_or(after_scheme)
}

impl Callbacks {
    /// Adds a pending call-back. Does nothing if it is already known.
    pub fn add(&mut self, id: MessageId, url: &str, now: Instant, config: &Config) {
        if self.pending.contains_key(&id) {
            return;
        }
        let receiver = self.find_or_add_receiver(receiver_of(url), now, config);
        self.pending.insert(id, Callback { receiver, not_before: now, failures: 0, lease: None });
        self.receivers[receiver as usize].waiting.insert((now, id));
        self.runnable.insert(receiver);
    }

    fn find_or_add_receiver(&mut self, name: &str, now: Instant, config: &Config) -> u32 {
        if let Some(receiver) = self.by_name.get(name) {
            return *receiver;
        }
        let number = u32::try_from(self.receivers.len()).unwrap_or(u32::MAX);
        self.by_name.insert(name.to_owned(), number);
        self.receivers.push(Receiver {
            waiting: BTreeSet::new(),
            in_flight: 0,
            limit: config.callbacks_per_receiver,
            failures: 0,
            backing_off_until: now,
        });
        number
    }

    /// The next call-back that may be made to this receiver now.
    pub fn next_due(&self, receiver: u32, now: Instant) -> Option<MessageId> {
        let receiver = &self.receivers[receiver as usize];
        if receiver.in_flight >= receiver.limit || receiver.backing_off_until > now {
            return None;
        }
        let (not_before, id) = receiver.waiting.first()?;
        (*not_before <= now).then_some(*id)
    }

    /// Time at which the next call-back to a receiver may be made; `None` while the receiver is at its limit.
    pub fn next_due_at(&self, receiver: u32) -> Option<Instant> {
        let receiver = &self.receivers[receiver as usize];
        if receiver.in_flight >= receiver.limit {
            return None;
        }
        receiver.waiting.first().map(|(not_before, _)| (*not_before).max(receiver.backing_off_until))
    }

    pub fn start(&mut self, id: MessageId, lease: CallbackLease) {
        let Some(callback) = self.pending.get_mut(&id) else { return };
        let receiver = &mut self.receivers[callback.receiver as usize];
        receiver.waiting.remove(&(callback.not_before, id));
        receiver.in_flight += 1;
        callback.lease = Some(lease);
    }

    pub fn lease(&self, id: MessageId) -> Option<CallbackLease> {
        self.pending.get(&id)?.lease
    }

    /// Whether the message has a pending call-back.
    pub fn is_pending(&self, id: MessageId) -> bool {
        self.pending.contains_key(&id)
    }

    /// Call-backs in flight that were granted at `before` or earlier.
    pub fn granted_before(&self, before: Instant) -> Vec<MessageId> {
        let is_old = |lease: &CallbackLease| lease.granted_at <= before;
        let old = self.pending.iter().filter(|(_, callback)| callback.lease.as_ref().is_some_and(is_old));
        old.map(|(id, _)| *id).collect()
    }

    /// Handles a failed call-back: it is retried after a back-off.
    pub fn handle_failure(&mut self, id: MessageId, retry_after: Duration, now: Instant, config: &Config) {
        let Some(callback) = self.pending.get_mut(&id) else { return };
        if callback.lease.is_none() {
            return;
        }
        callback.failures += 1;
        let own_wait = config.backoff(callback.failures).max(retry_after);
        let receiver = &mut self.receivers[callback.receiver as usize];
        receiver.failures += 1;
        receiver.limit = 1;
        if receiver.failures >= FAILURES_BEFORE_BACKOFF {
            receiver.backing_off_until = now + config.backoff(receiver.failures - 1);
        }
        self.requeue(id, now + own_wait);
    }

    /// Returns a call-back whose dispatcher is gone to the queue; another dispatcher may make it.
    pub fn release(&mut self, id: MessageId, now: Instant) {
        if self.lease(id).is_some() {
            self.requeue(id, now);
        }
    }

    fn requeue(&mut self, id: MessageId, not_before: Instant) {
        let Some(callback) = self.pending.get_mut(&id) else { return };
        let receiver = &mut self.receivers[callback.receiver as usize];
        callback.lease = None;
        callback.not_before = not_before;
        receiver.in_flight = receiver.in_flight.saturating_sub(1);
        receiver.waiting.insert((not_before, id));
        self.runnable.insert(callback.receiver);
    }

    /// Handles a successful call-back.
    pub fn handle_success(&mut self, id: MessageId, config: &Config) {
        let Some(callback) = self.remove(id) else { return };
        let receiver = &mut self.receivers[callback.receiver as usize];
        receiver.failures = 0;
        let grown = if receiver.waiting.is_empty() { receiver.limit } else { receiver.limit + 1 };
        receiver.limit = grown.clamp(config.callbacks_per_receiver, config.max_callbacks_per_receiver);
    }

    /// Removes a call-back that is not pending any more, or not at this store.
    fn remove(&mut self, id: MessageId) -> Option<Callback> {
        let callback = self.pending.remove(&id)?;
        let receiver = &mut self.receivers[callback.receiver as usize];
        match callback.lease {
            Some(_) => receiver.in_flight = receiver.in_flight.saturating_sub(1),
            None => {
                receiver.waiting.remove(&(callback.not_before, id));
            }
        }
        self.runnable.insert(callback.receiver);
        Some(callback)
    }

    /// Removes a call-back and returns its lease.
    pub fn cancel(&mut self, id: MessageId) -> Option<CallbackLease> {
        self.remove(id)?.lease
    }

    /// Marks a receiver to which a call-back may be possible.
    pub fn mark_runnable(&mut self, receiver: u32) {
        self.runnable.insert(receiver);
    }

    /// Removes and returns the first receiver to which a call-back may be possible.
    pub fn next_runnable(&mut self) -> Option<u32> {
        self.runnable.pop_first()
    }

    /// Marks all receivers, because a new dispatcher may make call-backs to any of them possible.
    pub fn mark_all_runnable(&mut self) {
        let count = u32::try_from(self.receivers.len()).unwrap_or(u32::MAX);
        self.runnable.extend(0..count);
    }
}
