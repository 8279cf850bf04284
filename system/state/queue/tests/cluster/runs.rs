//! Deliveries at a scripted dispatcher: workers run the messages, and the outcomes are reported until they are
//! recorded.

use super::dispatcher::{Delivery, MAX_REPORT_INTERVAL_MS, RESEND_MS};
use super::{Cluster, Event};
use millrudder_protocol::message::{End, Message};
use millrudder_protocol::store::{AttemptOutcome, FromDispatcher};
use millrudder_protocol::{LeaseToken, MessageId};

impl Cluster {
    pub fn delivered(&mut self, at: usize, id: MessageId, token: LeaseToken, message: Option<Message>) {
        let now_ms = self.now_ms;
        let shard = self.dispatchers[at].placement.shard(id.shard);
        if shard.is_none_or(|shard| token.term() < shard.term) {
            return;
        }
        let dispatcher = &mut self.dispatchers[at];
        if dispatcher.pending.get(&id).is_some_and(|pending| pending.withdrawing) {
            self.report(at, id, token, AttemptOutcome::NotRun { retry_after_ms: 0 });
            return;
        }
        if dispatcher.pending.remove(&id).is_some_and(|pending| !pending.given_up) {
            self.request_log.accepted(id, now_ms);
        }
        let known = dispatcher.deliveries.get(&(id, token));
        if known.is_some_and(|known| !matches!(known, Delivery::NeedsBody)) {
            return;
        }
        if dispatcher.stop_requested_ms.is_some() {
            self.report(at, id, token, AttemptOutcome::NotRun { retry_after_ms: 0 });
            return;
        }
        if let Some(message) = message {
            assert_eq!(
                message, self.request_log.messages[&id].message,
                "{id} was delivered with changed content"
            );
            dispatcher.bodies.insert(id, (message, now_ms));
        }
        if !dispatcher.bodies.contains_key(&id) {
            dispatcher.deliveries.insert((id, token), Delivery::NeedsBody);
            self.send_to_primary(at, id, FromDispatcher::NeedBody { id, token });
            return;
        }
        self.run(at, id, token);
    }

    pub fn run(&mut self, at: usize, id: MessageId, token: LeaseToken) {
        let now_ms = self.now_ms;
        let (reliable_workers, drawn) = (self.dispatchers[at].reliable_workers, self.random.u32(0..100));
        if drawn < 6 && !reliable_workers {
            let retry_after_ms = self.random.u32(0..200);
            self.report(at, id, token, AttemptOutcome::NotRun { retry_after_ms });
            return;
        }
        self.request_log.begin(id, now_ms);
        self.dispatchers[at].deliveries.insert((id, token), Delivery::Running { begun_ms: now_ms });
        let took_ms = if drawn > 95 { self.random.u64(200..600) } else { self.random.u64(5..80) };
        let incarnation = self.dispatchers[at].incarnation;
        let event = Event::WorkerDone { dispatcher: at, incarnation, id, token, begun_ms: now_ms, drawn };
        self.schedule(now_ms + took_ms, event);
    }

    /// Handles the end of a worker's run, whether or not its dispatcher is still running.
    pub fn worker_done(
        &mut self,
        at: usize,
        incarnation: u32,
        id: MessageId,
        token: LeaseToken,
        begun_ms: u64,
        drawn: u32,
    ) {
        let now_ms = self.now_ms;
        let body_kind =
            self.request_log.messages[&id].message.headers.first().map(|header| header.name.clone());
        let outcome = match body_kind.as_deref() {
            Some("poison") => {
                self.request_log.fail(id, begun_ms, now_ms);
                AttemptOutcome::Failed
            }
            Some("refused") => {
                self.request_log.refuse(id, begun_ms, now_ms);
                AttemptOutcome::Refused
            }
            _ if (6..14).contains(&drawn) && !self.dispatchers[at].reliable_workers => {
                self.request_log.fail(id, begun_ms, now_ms);
                AttemptOutcome::Failed
            }
            _ => {
                let signature = format!("{id}-{begun_ms}-{}", token.0);
                self.request_log.succeed(id, begun_ms, now_ms, signature.clone());
                if (14..17).contains(&drawn) {
                    self.request_log.messages.get_mut(&id).expect("known").answer_lost = true;
                    AttemptOutcome::Unknown { retry_after_ms: 50 }
                } else {
                    AttemptOutcome::Succeeded { signature }
                }
            }
        };
        let dispatcher = &self.dispatchers[at];
        if dispatcher.incarnation == incarnation && dispatcher.up {
            self.report(at, id, token, outcome);
        } else {
            // The dispatcher that was waiting for this answer is gone.
            self.request_log.messages.get_mut(&id).expect("known").answer_lost = true;
        }
    }

    pub fn report(&mut self, at: usize, id: MessageId, token: LeaseToken, outcome: AttemptOutcome) {
        let reported =
            Delivery::Reported { outcome: outcome.clone(), sent_ms: self.now_ms, repeat_after_ms: RESEND_MS };
        self.dispatchers[at].deliveries.insert((id, token), reported);
        self.send_to_primary(at, id, FromDispatcher::Attempted { id, token, outcome });
    }

    pub fn revoked(&mut self, at: usize, id: MessageId, token: LeaseToken) {
        let deliveries = &mut self.dispatchers[at].deliveries;
        if matches!(deliveries.get(&(id, token)), Some(Delivery::NeedsBody)) {
            deliveries.remove(&(id, token));
        }
    }

    pub fn call_back(&mut self, at: usize, id: MessageId, token: LeaseToken, end: End) {
        self.request_log.check_end(id, &end, self.now_ms);
        let done = self.dispatchers[at].reliable_workers || self.random.u8(0..10) < 7;
        if done {
            self.request_log.messages.get_mut(&id).expect("known").called_back.push(end);
        }
        self.dispatchers[at].callbacks.insert((id, token), Some((done, self.now_ms)));
        self.send_to_primary(at, id, FromDispatcher::CalledBack { id, token, done, retry_after_ms: 20 });
    }

    pub fn recorded(&mut self, at: usize, id: MessageId, token: LeaseToken) {
        let dispatcher = &mut self.dispatchers[at];
        dispatcher.callbacks.remove(&(id, token));
        let is_reported = matches!(dispatcher.deliveries.get(&(id, token)), Some(Delivery::Reported { .. }));
        if !is_reported {
            return;
        }
        if let Some(Delivery::Reported { outcome, .. }) = dispatcher.deliveries.remove(&(id, token)) {
            if matches!(outcome, AttemptOutcome::Succeeded { .. }) {
                self.request_log.messages.get_mut(&id).expect("known").success_recorded = true;
            }
        }
    }

    /// Repeats the reports of the shards of which a store is the primary, which has just been connected or named as such.
    pub fn report_at_once(&mut self, at: usize, store: usize) {
        if !self.options.report_backoff {
            return;
        }
        let (now_ms, id_of_store) = (self.now_ms, self.stores[store].id);
        let placement = self.dispatchers[at].placement.clone();
        let is_primary =
            |id: &MessageId| placement.shard(id.shard).is_some_and(|shard| shard.primary == id_of_store);
        let mut again = Vec::new();
        for ((id, token), delivery) in &mut self.dispatchers[at].deliveries {
            if let Delivery::Reported { outcome, sent_ms, repeat_after_ms } = delivery {
                if is_primary(id) {
                    (*sent_ms, *repeat_after_ms) = (now_ms, RESEND_MS);
                    again.push(FromDispatcher::Attempted {
                        id: *id,
                        token: *token,
                        outcome: outcome.clone(),
                    });
                }
            }
        }
        for message in again {
            self.send_to_store(at, store, message);
        }
    }

    pub fn repeat_reports(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let max_interval_ms = if self.options.report_backoff { MAX_REPORT_INTERVAL_MS } else { RESEND_MS };
        let mut again = Vec::new();
        for ((id, token), delivery) in &mut self.dispatchers[at].deliveries {
            match delivery {
                Delivery::Reported { outcome, sent_ms, repeat_after_ms }
                    if now_ms - *sent_ms >= *repeat_after_ms =>
                {
                    *sent_ms = now_ms;
                    *repeat_after_ms = (*repeat_after_ms * 2).min(max_interval_ms);
                    let outcome = outcome.clone();
                    again.push((*id, FromDispatcher::Attempted { id: *id, token: *token, outcome }));
                }
                Delivery::NeedsBody => again.push((*id, FromDispatcher::NeedBody { id: *id, token: *token })),
                _ => {}
            }
        }
        for (id, message) in again {
            self.send_to_primary(at, id, message);
        }
    }
}
