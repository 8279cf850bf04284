//! Runs a service's instance of the decision module, the balancer: passes events to it and carries out its actions.

use super::{Decision, SentAttempt, ServiceState, WaitingMessage};
use crate::interface::AttemptId;
use millrudder::{Action, Event, Outcome, Request, RequestId, WorkerId};

/// Time (ms) that is added to a request's deadline, because the balancer gives up on it up to this long before: it
/// checks held requests periodically, and needs a millisecond on top.
const BALANCER_MARGIN_MS: f64 = 25.0;
/// Minimum time (ms) that the balancer has to place a request.
const MIN_PLACING_MS: f64 = 25.0;
/// Pause (ms) in offering messages to the balancer after it has refused one.
const REFUSED_PAUSE_MS: u64 = 25;
/// The balancer's timers are rounded up to a multiple of this (ms), so that those of several services share a wake-up.
const TIMER_GRID_MS: u64 = 25;

impl ServiceState {
    /// Passes all queued events to the balancer, and offers it waiting messages while some worker has room.
    pub(super) fn run_balancer(&mut self, now: u64, out: &mut Vec<Decision>) {
        loop {
            while let Some(event) = self.pending_events.pop_front() {
                self.handle_event(now, event, out);
            }
            if !self.offer_next(now, out) {
                return;
            }
        }
    }

    /// Offers the oldest waiting message to the balancer; returns false if there is none or none may be sent now.
    fn offer_next(&mut self, now: u64, out: &mut Vec<Decision>) -> bool {
        // This must come before any message is sent: while this process was stalled, their leases may have been granted
        // to other dispatchers.
        self.give_back_expired(now, out);
        let in_flight_or_pending = self.in_flight.len() + self.pending_requests.len();
        if now >= self.offers_paused_until_ms {
            self.offers_paused_until_ms = 0;
        }
        let paused = self.offers_paused_until_ms > 0 || !self.window.has_room(in_flight_or_pending);
        if paused || !self.fleet.has_any_room() || !self.health.may_send(now, in_flight_or_pending) {
            return false;
        }
        let Some(waiting) = self.waiting.pop_front() else { return false };
        let request = self.request(now, &waiting);
        self.pending_requests.insert(request.id, waiting);
        self.pending_events.push_back(Event::Request(request));
        true
    }

    /// Gives back messages that have waited too long.
    fn give_back_expired(&mut self, now: u64, out: &mut Vec<Decision>) {
        while let Some(at) = self.waiting.iter().position(|waiting| waiting.give_back_at_ms <= now) {
            let Some(waiting) = self.waiting.remove(at) else { return };
            self.give_back(now, waiting.attempt, out);
        }
    }

    /// Builds the balancer's request for a waiting message.
    fn request(&mut self, now: u64, waiting: &WaitingMessage) -> Request {
        let id = self.next_request;
        self.next_request += 1;
        let deadline = (waiting.give_back_at_ms as f64).max(now as f64 + MIN_PLACING_MS) + BALANCER_MARGIN_MS;
        Request { id, class: Some(0), slots: 1.0, deadline, ..Request::default() }
    }

    /// Gives a message back because no worker had room in time, and counts the shortage.
    fn give_back(&mut self, now: u64, attempt: AttemptId, out: &mut Vec<Decision>) {
        if !self.health.is_unavailable() {
            self.credit.on_no_room(now);
        }
        self.health.on_no_success(now);
        let retry_after_ms = self.retry_after_ms(now);
        out.push(Decision::GiveBack { attempt, retry_after_ms });
    }

    /// Passes one event to the balancer and carries out the resulting actions.
    fn handle_event(&mut self, now: u64, event: Event, out: &mut Vec<Decision>) {
        let mut actions = Vec::new();
        self.balancer.handle(now as f64, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, worker, .. } => self.on_send(now, id, worker, out),
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    self.on_refused(now, id, out);
                }
                Action::CloseIdleConnections { worker } => self.close_idle(worker, out),
                Action::Timer { token, delay } => {
                    let due = now + delay.max(1.0).ceil() as u64;
                    self.timers.insert((due.next_multiple_of(TIMER_GRID_MS), token));
                }
                // The settings permit neither second copies nor probes, and worker lists arrive without a request.
                Action::Cancel { .. } | Action::Probe { .. } | Action::Watch | Action::Fetch => {}
            }
        }
    }

    /// Handles a message that the balancer refused: it is offered again a little later while it may wait here. If it
    /// were given back at once, the store would grant the next one instead, which would be refused as well.
    fn on_refused(&mut self, now: u64, request: RequestId, out: &mut Vec<Decision>) {
        let Some(waiting) = self.pending_requests.remove(&request) else { return };
        if waiting.give_back_at_ms <= now {
            return self.give_back(now, waiting.attempt, out);
        }
        self.waiting.push_front(waiting);
        self.offers_paused_until_ms = now + REFUSED_PAUSE_MS;
    }

    /// Sends a message to the worker that the balancer chose, if there is still room.
    fn on_send(&mut self, now: u64, request: RequestId, worker: WorkerId, out: &mut Vec<Decision>) {
        let Some(waiting) = self.pending_requests.remove(&request) else { return };
        let in_window = self.window.has_room(self.in_flight.len());
        if !in_window || !self.fleet.has_room(worker) || !self.health.may_send(now, self.in_flight.len()) {
            // The balancer placed several held requests at one time, and there is no room for this one any more.
            let (outcome, latency) = (Outcome::Ignored, 0.0);
            let (id, attempt, closed, load) = (request, 0, true, None);
            self.pending_events.push_back(Event::Outcome {
                id,
                attempt,
                worker,
                outcome,
                latency,
                closed,
                load,
            });
            self.waiting.push_front(waiting);
            return;
        }
        self.in_flight.insert(waiting.attempt, SentAttempt { request, worker });
        self.fleet.on_send(worker);
        self.push_worker_update(worker);
        out.push(Decision::Send { attempt: waiting.attempt, worker });
    }

    fn close_idle(&mut self, number: WorkerId, out: &mut Vec<Decision>) {
        if let Some(address) = self.fleet.take_idle_close(number) {
            out.push(Decision::CloseIdle { address });
        }
    }
}
