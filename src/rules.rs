//! Every decision of the library, by concern in the modules below: all of them decide but `learned_state` and
//! `records`. Types, events and actions are in `src/interface.rs`, the records it keeps in `src/state.rs`.
//!
//! Ordinary path: `handle(Request)` -> `place` -> `select_worker`, the able, ready worker whose Whittle
//! index at its present count of our jobs is highest. The rest keeps the four rules and handles failures.

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

/// One dispatcher's decisions.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    rng: SeededRng,
    now: f64,
    workers: Vec<Worker>,
    kinds: BTreeMap<Option<u32>, KindStats>,
    pools: Vec<Pool>,
    pending: BTreeMap<RequestId, Pending>,
    parked: Vec<RequestId>,
    parked_timer_armed: bool,
    /// Mean running time by class, for jobs without a hint.
    class_running_time: Vec<DecayingRatio>,
    fleet_speed: DecayingRatio,
    mean_work: DecayingRatio,
    /// How long jobs wait for their start.
    start_waits: DecayingRatio,
    mean_value: DecayingRatio,
    arrivals: DecayingCount,
    /// By tenant: arrivals lately, and what was left of our part of its quota at the latest.
    tenants: Vec<(DecayingCount, f64)>,
    started_at: Option<f64>,
    refreshed_at: f64,
    refresh_due: bool,
    /// Arrivals a millisecond, and the length of a step, as the index uses them.
    arrival_rate: f64,
    step_ms: f64,
    /// How far indices are ties: none where we hold a job at each worker, `INDEX_TIE_TOLERANCE` where one of
    /// hundreds.
    tie_tolerance: f64,
    /// A timer is armed at which attempts are judged lost.
    lost_timer_armed: bool,
    retry_tokens: f64,
    /// What a unit of work must earn to be taken on (log, in means).
    log_price: f64,
    list_failures: u32,
    /// Workers out by hand, and since when: apart from lists, restarts and what we keep of a worker.
    banned: BTreeMap<WorkerId, f64>,
}

const TIMER_LIST: u64 = 0;
const TIMER_PARKED: u64 = 1;
const TIMER_LOST_ATTEMPTS: u64 = 2;
/// From here on one a request, for its second copy.
const TIMER_HEDGE_BASE: u64 = 3;

fn finite_positive(x: Option<f64>) -> Option<f64> {
    x.filter(|x| x.is_finite() && *x > 0.0)
}

impl Balancer {
    /// Handles one event and appends what is to be done to `out`, in order.
    ///
    /// `now` is the caller's clock (ms); a reading before the last one counts as that one.
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
            Event::First { .. } => {}
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
