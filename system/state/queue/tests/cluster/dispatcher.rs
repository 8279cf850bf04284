//! A scripted dispatcher with its clients and workers.

use super::Cluster;
use millrudder_protocol::message::Message;
use millrudder_protocol::placement::Placement;
use millrudder_protocol::store::{
    AcceptRejection, ActiveLease, AttemptOutcome, FromDispatcher, ToDispatcher,
};
use millrudder_protocol::{DispatcherId, LeaseToken, MessageId, RequestNumber, StoreId};
use std::collections::BTreeMap;

/// Time in milliseconds after which an unanswered message is sent again.
pub const RESEND_MS: u64 = 250;
/// Longest time between two repetitions of a report with backoff, in milliseconds.
pub const MAX_REPORT_INTERVAL_MS: u64 = 3_200;
/// Time in milliseconds after which a client's request is withdrawn or given up.
const CLIENT_TIMEOUT_MS: u64 = 2_000;
/// Time for which a dispatcher that stops goes on accepting messages, in milliseconds.
const ACCEPT_WHILE_STOPPING_MS: u64 = 2_300;
/// Time after which a dispatcher that stops ends, whatever it still owes, in milliseconds.
const STOP_DEADLINE_MS: u64 = 5_500;
/// Time after which a dispatcher that has ended starts again, in milliseconds.
const RESTART_MS: u64 = 300;
/// Time for which the bodies of accepted messages are retained, in milliseconds.
const BODY_RETENTION_MS: u64 = 15_000;

pub struct PendingAccept {
    request: RequestNumber,
    first_ms: u64,
    sent_ms: u64,
    pub withdrawing: bool,
    /// The client got no definite answer. A lease that is granted later is returned.
    pub given_up: bool,
}

pub enum Delivery {
    Running { begun_ms: u64 },
    NeedsBody,
    Reported { outcome: AttemptOutcome, sent_ms: u64, repeat_after_ms: u64 },
}

/// One incarnation of a dispatcher.
pub struct Dispatcher {
    pub id: DispatcherId,
    pub zone: String,
    pub incarnation: u32,
    pub up: bool,
    pub frozen_until_ms: u64,
    pub placement: Placement,
    /// The dispatcher's view of its connections, by store.
    pub connections: BTreeMap<usize, u64>,
    pub pending: BTreeMap<MessageId, PendingAccept>,
    pub bodies: BTreeMap<MessageId, (Message, u64)>,
    pub deliveries: BTreeMap<(MessageId, LeaseToken), Delivery>,
    pub callbacks: BTreeMap<(MessageId, LeaseToken), Option<(bool, u64)>>,
    requests: u64,
    /// The workers neither reject messages nor fail at random.
    pub reliable_workers: bool,
    /// When the process was asked to stop.
    pub stop_requested_ms: Option<u64>,
}

impl Dispatcher {
    pub fn new(id: DispatcherId, zone: &str) -> Self {
        Dispatcher {
            id,
            zone: zone.to_owned(),
            incarnation: 0,
            up: true,
            frozen_until_ms: 0,
            placement: Placement::default(),
            connections: BTreeMap::new(),
            pending: BTreeMap::new(),
            bodies: BTreeMap::new(),
            deliveries: BTreeMap::new(),
            callbacks: BTreeMap::new(),
            requests: 0,
            reliable_workers: false,
            stop_requested_ms: None,
        }
    }

    pub fn restart_as(&mut self, next: DispatcherId) {
        let zone = self.zone.clone();
        let (incarnation, reliable_workers) = (self.incarnation + 1, self.reliable_workers);
        *self = Dispatcher::new(next, &zone);
        self.incarnation = incarnation;
        self.reliable_workers = reliable_workers;
        self.up = false;
    }

    pub fn primary(&self, id: MessageId) -> Option<StoreId> {
        self.placement.shard(id.shard).map(|shard| shard.primary)
    }

    pub fn leased_messages(&self) -> Vec<MessageId> {
        self.deliveries.keys().map(|(id, _)| *id).collect()
    }

    pub fn is_idle(&self) -> bool {
        self.pending.values().all(|pending| pending.given_up)
            && self.deliveries.is_empty()
            && self.callbacks.is_empty()
    }
}

impl Cluster {
    pub fn send_to_primary(&mut self, at: usize, id: MessageId, message: FromDispatcher) {
        let Some(primary) = self.dispatchers[at].primary(id) else { return };
        let Some(store) = self.store_index(primary) else { return };
        self.send_to_store(at, store, message);
    }

    pub fn hello(&mut self, at: usize, store: usize) {
        let dispatcher = &self.dispatchers[at];
        let is_primary = |id: &MessageId| dispatcher.primary(*id) == Some(self.stores[store].id);
        let keys = dispatcher.deliveries.keys().filter(|(id, _)| is_primary(id));
        let held = keys.map(|(id, token)| ActiveLease { id: *id, token: *token }).collect();
        let in_doubt = dispatcher.pending.keys().copied().collect();
        let hello = FromDispatcher::Hello {
            dispatcher: dispatcher.id,
            name: format!("dispatcher-{at}"),
            zone: dispatcher.zone.clone(),
            epoch: dispatcher.placement.epoch,
            active_leases: held,
            in_doubt,
        };
        self.send_to_store(at, store, hello);
        if self.dispatchers[at].stop_requested_ms.is_some() {
            self.send_to_store(at, store, FromDispatcher::ShuttingDown);
        }
        self.report_at_once(at, store);
    }

    pub fn apply_dispatcher_placement(&mut self, at: usize, placement: Placement) {
        if placement.epoch <= self.dispatchers[at].placement.epoch {
            return;
        }
        self.dispatchers[at].placement = placement;
        let stores: Vec<usize> = self.dispatchers[at].connections.keys().copied().collect();
        for store in stores {
            self.hello(at, store);
        }
        let pending: Vec<MessageId> = self.dispatchers[at].pending.keys().copied().collect();
        for id in pending {
            self.send_accept(at, id);
        }
    }

    /// A client sends a message to this dispatcher.
    pub fn client_sends(&mut self, at: usize, id: MessageId, message: Message) {
        self.request_log.sent(id, message.clone(), self.now_ms);
        let now_ms = self.now_ms;
        let dispatcher = &mut self.dispatchers[at];
        let has_stopped_accepting =
            dispatcher.stop_requested_ms.is_some_and(|since_ms| now_ms - since_ms > ACCEPT_WHILE_STOPPING_MS);
        if !dispatcher.up || dispatcher.frozen_until_ms > now_ms || has_stopped_accepting {
            return;
        }
        dispatcher.requests += 1;
        let request = RequestNumber(dispatcher.requests);
        let pending =
            PendingAccept { request, first_ms: now_ms, sent_ms: now_ms, withdrawing: false, given_up: false };
        dispatcher.pending.insert(id, pending);
        dispatcher.bodies.insert(id, (message, now_ms));
        self.send_accept(at, id);
    }

    fn send_accept(&mut self, at: usize, id: MessageId) {
        let now_ms = self.now_ms;
        let lease = self.random.u8(0..4) != 0;
        let dispatcher = &mut self.dispatchers[at];
        let Some(pending) = dispatcher.pending.get_mut(&id).filter(|pending| !pending.given_up) else {
            return;
        };
        pending.sent_ms = now_ms;
        let message = if pending.withdrawing {
            FromDispatcher::Withdraw { id }
        } else {
            let message = Box::new(dispatcher.bodies[&id].0.clone());
            FromDispatcher::Accept { request: pending.request, id, message, wants_lease: lease }
        };
        self.send_to_primary(at, id, message);
    }

    pub fn dispatcher_receives(&mut self, at: usize, from: usize, message: ToDispatcher) {
        match message {
            ToDispatcher::Welcome { .. }
            | ToDispatcher::Pong
            | ToDispatcher::BarrierReached { .. }
            | ToDispatcher::State { .. } => {}
            ToDispatcher::Revoke { id, token } => self.revoked(at, id, token),
            ToDispatcher::Accepted { request, token } => self.acknowledged(at, request, token),
            ToDispatcher::Rejected { request, reason } => self.refused(at, request, reason),
            ToDispatcher::Withdrawn { id } => {
                let pending = self.dispatchers[at].pending.get(&id);
                if pending.is_some_and(|pending| pending.withdrawing) {
                    self.dispatchers[at].pending.remove(&id);
                    self.request_log.withdrawn(id);
                }
            }
            ToDispatcher::Deliver { id, token, message, age_ms, .. } => {
                let true_age_ms = self.now_ms - self.request_log.messages[&id].sent_ms;
                assert!(
                    age_ms <= true_age_ms + 1,
                    "{id} is reported to be {age_ms} ms old but is {true_age_ms} ms old"
                );
                self.delivered(at, id, token, message.map(|message| *message));
            }
            ToDispatcher::CallBack { id, token, end, .. } => self.call_back(at, id, token, end),
            ToDispatcher::Recorded { id, token } => {
                // Only an answer of the current primary counts: it may not know what a former primary recorded.
                if self.dispatchers[at].primary(id) == Some(self.stores[from].id) {
                    self.recorded(at, id, token);
                }
            }
        }
    }

    fn acknowledged(&mut self, at: usize, request: RequestNumber, token: Option<LeaseToken>) {
        let dispatcher = &mut self.dispatchers[at];
        let found = dispatcher.pending.iter().find(|(_, pending)| pending.request == request);
        let Some(id) = found.map(|(id, _)| *id) else { return };
        let is_withdrawing = dispatcher.pending[&id].withdrawing;
        if dispatcher.pending[&id].given_up {
            dispatcher.pending.remove(&id);
            if let Some(token) = token {
                self.report(at, id, token, AttemptOutcome::NotRun { retry_after_ms: 0 });
            }
            return;
        }
        if !is_withdrawing {
            dispatcher.pending.remove(&id);
            self.request_log.accepted(id, self.now_ms);
        }
        if let Some(token) = token.filter(|_| !is_withdrawing) {
            self.delivered(at, id, token, None);
        }
    }

    fn refused(&mut self, at: usize, request: RequestNumber, reason: AcceptRejection) {
        let dispatcher = &mut self.dispatchers[at];
        let found = dispatcher.pending.iter().find(|(_, pending)| pending.request == request);
        let Some(id) = found.map(|(id, _)| *id) else { return };
        if matches!(reason, AcceptRejection::Full { .. }) {
            dispatcher.pending.remove(&id);
            self.refusals += 1;
        }
    }

    /// Repeats unanswered messages, and gives up the requests of clients that have waited too long.
    pub fn dispatcher_tick(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let stores: Vec<usize> = self.dispatchers[at].connections.keys().copied().collect();
        for store in stores {
            self.send_to_store(at, store, FromDispatcher::Ping);
        }
        self.dispatchers[at].bodies.retain(|_, (_, accepted_ms)| now_ms - *accepted_ms < BODY_RETENTION_MS);
        self.repeat_accepts(at);
        self.repeat_reports(at);
        self.end_if_stopped(at);
        let callbacks = self.dispatchers[at].callbacks.clone();
        for ((id, token), state) in callbacks {
            if let Some((done, _)) = state.filter(|(_, sent_ms)| now_ms - sent_ms >= RESEND_MS) {
                self.dispatchers[at].callbacks.insert((id, token), Some((done, now_ms)));
                self.send_to_primary(
                    at,
                    id,
                    FromDispatcher::CalledBack { id, token, done, retry_after_ms: 20 },
                );
            }
        }
    }

    /// Asks a dispatcher to stop, as planned work does: it accepts messages for a while, and ends once it is idle or at its
    /// deadline.
    pub fn stop_dispatcher(&mut self, at: usize) {
        self.dispatchers[at].stop_requested_ms = Some(self.now_ms);
        let stores: Vec<usize> = self.dispatchers[at].connections.keys().copied().collect();
        for store in stores {
            self.send_to_store(at, store, FromDispatcher::ShuttingDown);
        }
    }

    fn end_if_stopped(&mut self, at: usize) {
        let Some(since_ms) = self.dispatchers[at].stop_requested_ms else { return };
        let (elapsed_ms, is_idle) = (self.now_ms - since_ms, self.dispatchers[at].is_idle());
        let ends = is_idle && elapsed_ms > ACCEPT_WHILE_STOPPING_MS || elapsed_ms > STOP_DEADLINE_MS;
        if ends {
            self.restart_dispatcher(at, 2, RESTART_MS);
        }
    }

    fn repeat_accepts(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let is_due = |pending: &PendingAccept| !pending.given_up && now_ms - pending.sent_ms >= RESEND_MS;
        let pending = &self.dispatchers[at].pending;
        let due: Vec<MessageId> = pending.iter().filter(|(_, p)| is_due(p)).map(|(id, _)| *id).collect();
        for id in due {
            let withdraw = self.random.bool();
            let Some(pending) = self.dispatchers[at].pending.get_mut(&id) else { continue };
            if now_ms - pending.first_ms > 2 * CLIENT_TIMEOUT_MS {
                pending.given_up = true;
                pending.withdrawing = false;
                continue;
            }
            if now_ms - pending.first_ms > CLIENT_TIMEOUT_MS {
                if !pending.withdrawing && !withdraw {
                    pending.given_up = true;
                    continue;
                }
                pending.withdrawing = true;
            }
            self.send_accept(at, id);
        }
    }
}
