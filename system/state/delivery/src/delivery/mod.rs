//! The state machine as a whole: leases by message, services by name, reports and call-backs.

mod call_backs;
mod leases;
mod updates;

use crate::attempts::Attempts;
use crate::barriers::StoreBarriers;
use crate::callbacks::CallBacks;
use crate::credit_announcements::{CreditAnnouncements, ServiceLimit};
use crate::interface::*;
use crate::reports::{LeaseKey, OutgoingReport, Reports};
use crate::service::{Decision, DispatcherContext, ServiceState};
use fastrand::Rng;
use leases::Lease;
use millrudder::LearnedState;
use millrudder_protocol::control::WorkerList;
use millrudder_protocol::store::{ActiveLease, ServiceCredit};
use millrudder_protocol::{MessageId, ShardId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A deadline that is overdue by this time (ms) shows that this process was stalled. Grants that arrived meanwhile are
/// still unread in its connections, and their messages may have been granted to other dispatchers since.
const PROCESS_STALL_MS: u64 = 1000;
/// Messages that are granted within this time (ms) after a stall was found are given back, with a backoff of the same
/// length; the store knows whether the lease is still valid.
const STALE_GRANTS_MS: u64 = 100;

/// State machine of the dispatcher's deliveries; see the crate's documentation. Times are milliseconds on the caller's
/// steady clock.
pub struct Delivery {
    configuration: Configuration,
    dispatcher: DispatcherContext,
    /// Numbers of the zones by name, as the balancers know them; the own zone is 0.
    zones: BTreeMap<String, u32>,
    resolver: Option<Arc<dyn Resolve>>,
    services: BTreeMap<Arc<str>, ServiceState>,
    workers: WorkerList,
    /// Messages that wait or are in flight here.
    leases: BTreeMap<MessageId, Lease>,
    attempts: Attempts,
    /// The message of each attempt that waits or is in flight.
    by_attempt: BTreeMap<AttemptId, MessageId>,
    reports: Reports,
    callbacks: CallBacks,
    credits: CreditAnnouncements,
    rng: Rng,
    shutting_down: bool,
    next_deadline_ms: Option<u64>,
    /// Grants that arrive before this may have been sent before or during a stall of the process.
    stale_grants_until_ms: u64,
    /// Stores whose grants may have been sent before or during a stall, however long it takes to read them.
    barriers: StoreBarriers,
}

fn dispatcher_context(configuration: &Configuration, dispatchers: u32, zone: u32) -> DispatcherContext {
    let dispatchers = dispatchers.max(1);
    let index = (configuration.seed % u64::from(dispatchers)) as u32;
    DispatcherContext { index, dispatchers, zone, cross_zone_price: configuration.cross_zone_price }
}

impl Delivery {
    /// Creates an instance without services, routes and workers. Messages that are granted before these are known are
    /// given back.
    pub fn new(configuration: Configuration) -> Self {
        let own_zone = 0;
        Delivery {
            dispatcher: dispatcher_context(&configuration, configuration.dispatchers, own_zone),
            zones: BTreeMap::from([(configuration.zone.clone(), own_zone)]),
            resolver: None,
            services: BTreeMap::new(),
            workers: WorkerList::default(),
            leases: BTreeMap::new(),
            attempts: Attempts::default(),
            by_attempt: BTreeMap::new(),
            reports: Reports::default(),
            callbacks: CallBacks::new(configuration.seed),
            credits: CreditAnnouncements::default(),
            rng: Rng::with_seed(configuration.seed),
            shutting_down: false,
            next_deadline_ms: None,
            stale_grants_until_ms: 0,
            barriers: StoreBarriers::default(),
            configuration,
        }
    }

    /// Handles one input at time `now`, which never decreases, and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: u64, input: Input, out: &mut Vec<Output>) {
        if self.next_deadline_ms.is_some_and(|due| now > due + PROCESS_STALL_MS) {
            self.stale_grants_until_ms = now + STALE_GRANTS_MS;
            self.send_barriers(out);
        }
        self.handle_input(now, input, out);
        self.handle_due_work(now, out);
        self.announce_credits(now, out);
        self.next_deadline_ms = self.earliest_deadline_ms();
    }

    fn handle_input(&mut self, now: u64, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Services(services) => self.on_services(now, services, out),
            Input::Routes(resolver) => self.on_routes(now, resolver, out),
            Input::Workers(list) => self.on_workers(now, list, out),
            Input::Dispatchers { count } => self.on_dispatchers(now, count, out),
            Input::Primary { shard, store } => {
                let due = self.reports.set_primary(now, shard, store);
                send_reports(due, out);
            }
            Input::Connected { store } => {
                let due = self.reports.on_connected(now, store);
                send_reports(due, out);
                let barrier = self.barriers.on_connected(store);
                out.extend(barrier.map(|number| Output::Barrier { store, number }));
            }
            Input::Deliver { store, id, token, age_ms, failed_attempts, message } => {
                let received_at_ms = now as i64 - i64::try_from(age_ms).unwrap_or(i64::MAX);
                let lease = Lease::new(store, token, message, failed_attempts, received_at_ms);
                self.on_deliver(now, LeaseKey { id, token }, lease, out);
            }
            Input::CallBack { store, id, token, end, message } => {
                self.on_call_back(now, store, LeaseKey { id, token }, end, &message, out);
            }
            Input::Revoke { id, token, .. } => self.on_revoke(now, LeaseKey { id, token }, out),
            Input::Recorded { id, token } => self.reports.on_recorded(LeaseKey { id, token }),
            Input::AttemptEnded { attempt, result } => self.on_attempt(now, attempt, result, out),
            Input::CallBackResult { attempt, result } => {
                self.on_call_back_result(now, attempt, result, out);
            }
            Input::ClockStalled => self.on_clock_stall(now, out),
            Input::BarrierReached { store, number } => self.barriers.on_reached(store, number),
            Input::ShuttingDown => self.on_shutting_down(now, out),
            Input::Tick => {}
        }
    }

    fn send_barriers(&mut self, out: &mut Vec<Output>) {
        let barriers = self.barriers.begin_all().into_iter();
        out.extend(barriers.map(|(store, number)| Output::Barrier { store, number }));
    }

    /// Gives back the messages that wait here, as they were granted before the stall. Those that arrive before a store
    /// has answered its barrier may have been as well.
    fn on_clock_stall(&mut self, now: u64, out: &mut Vec<Output>) {
        self.send_barriers(out);
        self.give_back_unsent(now, STALE_GRANTS_MS as u32, out);
    }

    /// When (ms) [`Input::Tick`] is due if no input is handled before.
    pub fn next_deadline(&self) -> Option<u64> {
        self.next_deadline_ms
    }

    fn earliest_deadline_ms(&self) -> Option<u64> {
        let services = self.services.values().filter_map(ServiceState::next_deadline_ms).min();
        let rest = [
            self.reports.next_deadline_ms(),
            self.attempts.next_deadline_ms(),
            self.callbacks.next_deadline_ms(),
            self.credits.next_deadline_ms(),
        ];
        rest.into_iter().flatten().chain(services).min()
    }

    /// Leases, on messages in these shards, whose end has not been recorded yet; for `Hello`.
    pub fn active_leases(&self, shards: impl Fn(ShardId) -> bool) -> Vec<ActiveLease> {
        let leases = self.leases.iter().map(|(id, lease)| LeaseKey { id: *id, token: lease.token });
        let all = leases.chain(self.reports.keys()).chain(self.callbacks.keys());
        let mine = all.filter(|key| shards(key.id.shard));
        mine.map(|key| ActiveLease { id: key.id, token: key.token }).collect()
    }

    /// The limits announced last, for a store that connects.
    pub fn credits(&self) -> Vec<ServiceCredit> {
        self.credits.announced()
    }

    /// Whether no lease is left and stores have recorded all ends, so that the process may stop.
    pub fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.reports.is_empty() && self.callbacks.is_empty()
    }

    /// What the service's balancer has learned about its workers.
    pub fn learned_state(&self, service: &str) -> Option<LearnedState> {
        self.services.get(service).map(ServiceState::learned_state)
    }

    /// Handles everything that is due at `now`: overdue attempts, ended pauses, timers and repeated reports.
    fn handle_due_work(&mut self, now: u64, out: &mut Vec<Output>) {
        for id in self.attempts.overdue(now) {
            self.give_up(now, id, out);
        }
        for id in self.callbacks.overdue(now) {
            out.push(Output::CancelAttempt { attempt: id });
            self.on_call_back_result(now, id, CallBackResult::Failed, out);
        }
        self.resume_call_backs(now, out);
        let mut decisions = Vec::new();
        for state in self.services.values_mut() {
            if state.next_deadline_ms().is_some_and(|due| due <= now) {
                state.tick(now, &mut decisions);
            }
        }
        self.carry_out(now, decisions, out);
        let due = self.reports.repeat_due(now);
        send_reports(due, out);
    }

    fn carry_out(&mut self, now: u64, decisions: Vec<Decision>, out: &mut Vec<Output>) {
        for decision in decisions {
            match decision {
                Decision::Send { attempt, worker } => self.send(now, attempt, worker, out),
                Decision::GiveBack { attempt, retry_after_ms } => {
                    self.give_back(now, attempt, retry_after_ms, out);
                }
                Decision::CloseIdle { address } => out.push(Output::CloseIdle { address }),
            }
        }
    }

    fn announce_credits(&mut self, now: u64, out: &mut Vec<Output>) {
        let shutting_down = self.shutting_down;
        let in_force = self.services.iter().filter(|(_, state)| state.is_in_force());
        let limits = in_force.map(|(service, state)| {
            let limit = if shutting_down { 0 } else { state.credit() };
            ServiceLimit { service, limit }
        });
        if let Some(credits) = self.credits.update(now, limits) {
            out.push(Output::Credits { credits });
        }
    }
}

fn send_reports(due: Vec<OutgoingReport>, out: &mut Vec<Output>) {
    out.extend(due.into_iter().map(|due| Output::Report { store: due.store, message: due.message }));
}
