//! Every decision of the library, by concern in the modules below: all of them decide but `learned_state` and
//! `records`. Types, events and actions are in `src/interface.rs`, the records it keeps in `src/state.rs`.
//!
//! Ordinary path: `handle(Request)` -> `place` -> `pick`, which takes the able, ready worker whose Whittle
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
    rng: Dice,
    now: f64,
    workers: Vec<Worker>,
    kinds: BTreeMap<Option<u32>, Kind>,
    pools: Vec<Pool>,
    pending: BTreeMap<RequestId, Pending>,
    held: Vec<RequestId>,
    held_timer: bool,
    /// Mean running time by class, for jobs without a hint.
    class_time: Vec<Speed>,
    all_speed: Speed,
    mean_work: Speed,
    /// How long jobs wait for their start.
    waits: Speed,
    mean_worth: Speed,
    arrivals: Fading,
    /// By tenant: arrivals lately, and what was left of our part of its quota at the latest.
    tenants: Vec<(Fading, f64)>,
    began: Option<f64>,
    renewed_at: f64,
    renew_now: bool,
    /// Arrivals a millisecond, and the length of a step, as the index uses them.
    rate: f64,
    step: f64,
    /// How far indices are ties: none where we hold a job at each worker, `SPREAD` where one of hundreds.
    spread: f64,
    /// A timer is armed at which attempts are judged lost.
    watching: bool,
    retry_tokens: f64,
    /// What a unit of work must earn to be taken on (log, in means).
    price: f64,
    list_failures: u32,
    /// Workers out by hand, and since when: apart from lists, restarts and what we keep of a worker.
    banned: BTreeMap<WorkerId, f64>,
}

const TIMER_LIST: u64 = 0;
const TIMER_HELD: u64 = 1;
const TIMER_WATCH: u64 = 2;
/// From here on one a request, for its second copy.
const TIMER_REQUEST: u64 = 3;

fn positive(x: Option<f64>) -> Option<f64> {
    x.filter(|x| x.is_finite() && *x > 0.0)
}

impl Balancer {
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.now = if now.is_finite() { self.now.max(now) } else { self.now };
        if self.began.is_none() {
            self.began = Some(self.now);
            self.arrivals.at = self.now;
            if self.settings.list_by_call {
                self.ask(out);
            }
        }
        match event {
            Event::List { kind, entries } => self.on_list(kind, entries, out),
            Event::Request(request) => self.on_request(request, out),
            Event::First { .. } => {}
            Event::Progress { id, attempt, .. } => self.on_note(id, attempt),
            Event::Probed { worker, load, .. } => self.on_load(worker, load),
            Event::Lapsed { id } => self.end(id),
            Event::Ban { worker, on } => self.on_ban(worker, on, out),
            Event::Settings { settings, from } => self.on_settings(*settings, &from),
            Event::Timer { token } => self.on_timer(token, out),
            Event::Started { id, attempt } => {
                self.on_note(id, attempt);
                self.cancel_others(id, attempt, out);
                self.try_held(false, out);
            }
            Event::Outcome { .. } => self.on_outcome(event, out),
        }
    }

    fn on_timer(&mut self, token: u64, out: &mut Vec<Action>) {
        match token {
            TIMER_LIST => out.push(Action::Watch),
            TIMER_WATCH => self.watch(out),
            TIMER_HELD => {
                self.held_timer = false;
                self.try_held(true, out);
                self.arm_held(out);
            }
            _ => self.hedge(token - TIMER_REQUEST, out),
        }
    }
}
