//! The decision rules, split by concern into the modules below; `learned_state` and `records` decide nothing.
//! Types, events and actions are in `src/interface.rs`, the state that the rules keep in `src/state.rs`.
//!
//! Normal path of a request: `handle` -> `on_request` -> `dispatch` -> `select_worker`, which picks the
//! eligible worker with the highest Whittle index at the present number of this dispatcher's jobs there. The
//! remaining code enforces the site's rules and handles failures:
//!
//! 1. Every request gets one final answer by the client's deadline plus `answer_slack`.
//! 2. A request is sent again only where its class allows that, given what earlier attempts may have done.
//! 3. Nothing is sent to a draining worker once `drain_grace` has passed.
//! 4. A worker that is warming up is sent no more than its overload budget.
//! 5. Idle connections to a draining worker are closed within `drain_close`.

mod constants;
pub(crate) mod index;
pub(crate) mod learned_state;
mod lost_attempts;
mod outcomes;
mod records;
mod scheduling;
mod selection;
mod worker_list;

use crate::interface::*;
use crate::state::*;
use std::collections::BTreeMap;

/// The decision module of one dispatcher instance: takes events, returns actions.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    rng: SeededRng,
    now: f64,
    workers: Vec<Worker>,
    kinds: BTreeMap<Option<u32>, KindStats>,
    pools: Vec<Pool>,
    pending: BTreeMap<RequestId, Pending>,
    /// Requests that wait in this dispatcher until a worker can take them.
    parked: Vec<RequestId>,
    /// The timer that checks parked requests is armed.
    parked_timer_armed: bool,
    /// Mean running time (ms) by class: the expected work of requests without a hint.
    class_running_time: Vec<DecayingRatio>,
    /// Mean speed of all workers: work (ms on a standard core) per ms.
    fleet_speed: DecayingRatio,
    /// Mean work of a request (ms on a standard core, times its slots).
    mean_work: DecayingRatio,
    /// Mean time from the send of a job to its start (ms).
    start_waits: DecayingRatio,
    /// Mean value of a request.
    mean_value: DecayingRatio,
    /// Recent arrivals at this dispatcher.
    arrivals: DecayingCount,
    /// For each tenant: its recent arrivals, and the unused requests of this dispatcher's part of its quota.
    tenants: Vec<(DecayingCount, f64)>,
    /// Time of the first event.
    started_at: Option<f64>,
    /// Time of the last refresh of the estimates.
    refreshed_at: f64,
    /// The next request refreshes the estimates, however recent they are.
    refresh_due: bool,
    /// Requests per ms at this dispatcher, as of the last refresh.
    arrival_rate: f64,
    /// Time step of the Markov chain behind the index (ms).
    step_ms: f64,
    /// Indices that differ by less than this (relative) are ties: 0 where this dispatcher has a job at every
    /// worker, up to `INDEX_TIE_TOLERANCE` where it has one at few among hundreds.
    tie_tolerance: f64,
    /// The timer that checks for lost attempts is armed.
    lost_timer_armed: bool,
    /// Retries that the retry budget allows now.
    retry_tokens: f64,
    /// Admission price: logarithm of the value that a unit of work must earn to be accepted, relative to the
    /// mean value of a unit of work.
    log_price: f64,
    /// Failed calls for the worker list since the last list.
    list_failures: u32,
    /// Workers that operators have ejected, and since when. Kept apart from the worker records, so that it
    /// outlives lists, restarts of workers and the removal of their records.
    banned: BTreeMap<WorkerId, f64>,
}

/// Token of the timer that calls for the worker list.
const TIMER_LIST: u64 = 0;
/// Token of the timer that checks parked requests.
const TIMER_PARKED: u64 = 1;
/// Token of the timer that checks for lost attempts.
const TIMER_LOST_ATTEMPTS: u64 = 2;
/// Added to a request's number: token of the timer after which the request may be hedged.
const TIMER_HEDGE_BASE: u64 = 3;

fn finite_positive(x: Option<f64>) -> Option<f64> {
    x.filter(|x| x.is_finite() && *x > 0.0)
}

impl Balancer {
    /// Handles one event and appends the resulting actions to `out`, in the order to carry them out.
    ///
    /// `now` is the time on the caller's clock (ms). If it is earlier than that of the last event, or not
    /// finite, the last time is used.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.now = if now.is_finite() { self.now.max(now) } else { self.now };
        if self.started_at.is_none() {
            self.started_at = Some(self.now);
            self.arrivals.at = self.now;
            if self.settings.list_by_call {
                self.request_list(out);
            }
        }
        match event {
            Event::List { kind, entries } => self.on_list(kind, entries, out),
            Event::Request(request) => self.on_request(request, out),
            Event::AnswerStarted { .. } => {}
            Event::Progress { id, attempt, .. } => self.on_progress(id, attempt),
            Event::Probed { worker, load, .. } => self.on_load_report(worker, load),
            Event::Lapsed { id } => self.finish(id),
            Event::Ban { worker, on } => self.on_ban(worker, on, out),
            Event::Settings { settings, from } => self.on_settings(*settings, &from),
            Event::Timer { token } => self.on_timer(token, out),
            Event::Started { id, attempt } => {
                self.on_progress(id, attempt);
                self.cancel_others(id, attempt, out);
                self.dispatch_parked(false, out);
            }
            Event::Outcome { .. } => self.on_outcome(event, out),
        }
    }

    fn on_timer(&mut self, token: u64, out: &mut Vec<Action>) {
        match token {
            TIMER_LIST => out.push(Action::Watch),
            TIMER_LOST_ATTEMPTS => self.detect_lost_attempts(out),
            TIMER_PARKED => {
                self.parked_timer_armed = false;
                self.dispatch_parked(true, out);
                self.arm_parked_timer(out);
            }
            _ => self.hedge(token - TIMER_HEDGE_BASE, out),
        }
    }
}
