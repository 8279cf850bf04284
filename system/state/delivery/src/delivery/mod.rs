//! The whole: leases by message, services by name, reports and call-backs.

mod calls;
mod leases;
mod updates;

use crate::attempts::Attempts;
use crate::barriers::Doubts;
use crate::callbacks::CallBacks;
use crate::credits::{Credits, Limit};
use crate::interface::*;
use crate::reports::{Due, LeaseKey, Reports};
use crate::service::{Decision, ServiceState, Site};
use fastrand::Rng;
use leases::Lease;
use millrudder::LearnedState;
use millrudder_protocol::control::WorkerList;
use millrudder_protocol::store::{ActiveLease, ServiceCredit};
use millrudder_protocol::{MessageId, ShardId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A deadline that is over by so long (ms) shows that this process was halted: what was granted to it meanwhile lies
/// unread at its connections, and may have been granted to others since.
const HALTED_MS: u64 = 1000;
/// What comes within this time after that (ms) is given back; its store knows whether the lease still holds.
const STALE_MS: u64 = 100;

/// The dispatcher's delivery; see the crate's documentation.
pub struct Delivery {
    configuration: Configuration,
    site: Site,
    zones: BTreeMap<String, u32>,
    resolver: Option<Arc<dyn Resolve>>,
    services: BTreeMap<Arc<str>, ServiceState>,
    workers: WorkerList,
    leases: BTreeMap<MessageId, Lease>,
    attempts: Attempts,
    by_attempt: BTreeMap<AttemptId, MessageId>,
    reports: Reports,
    callbacks: CallBacks,
    credits: Credits,
    dice: Rng,
    leaving: bool,
    next_deadline: Option<u64>,
    /// Grants that come before this are from before a halt of the process.
    stale_until: u64,
    /// Stores whose grants may be from before a halt, however long they take to be read.
    doubts: Doubts,
}

fn site(configuration: &Configuration, dispatchers: u32, zone: u32) -> Site {
    let dispatchers = dispatchers.max(1);
    let me = (configuration.seed % u64::from(dispatchers)) as u32;
    Site { me, dispatchers, zone, cross_zone_price: configuration.cross_zone_price }
}

impl Delivery {
    /// Knows no service, route or worker yet: what is granted meanwhile is given back.
    pub fn new(configuration: Configuration) -> Self {
        let own_zone = 0;
        Delivery {
            site: site(&configuration, configuration.dispatchers, own_zone),
            zones: BTreeMap::from([(configuration.zone.clone(), own_zone)]),
            resolver: None,
            services: BTreeMap::new(),
            workers: WorkerList::default(),
            leases: BTreeMap::new(),
            attempts: Attempts::default(),
            by_attempt: BTreeMap::new(),
            reports: Reports::default(),
            callbacks: CallBacks::new(configuration.seed),
            credits: Credits::default(),
            dice: Rng::with_seed(configuration.seed),
            leaving: false,
            next_deadline: None,
            stale_until: 0,
            doubts: Doubts::default(),
            configuration,
        }
    }

    /// Takes one input in; `now` never falls. What is to be done is appended to `out`.
    pub fn handle(&mut self, now: u64, input: Input, out: &mut Vec<Output>) {
        if self.next_deadline.is_some_and(|due| now > due + HALTED_MS) {
            self.stale_until = now + STALE_MS;
            self.send_barriers(out);
        }
        self.take_in(now, input, out);
        self.on_time(now, out);
        self.tell_credits(now, out);
        self.next_deadline = self.earliest_deadline();
    }

    fn take_in(&mut self, now: u64, input: Input, out: &mut Vec<Output>) {
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
                let barrier = self.doubts.connected(store);
                out.extend(barrier.map(|number| Output::Barrier { store, number }));
            }
            Input::Deliver { store, id, token, age_ms, failed_attempts, message } => {
                let received = now as i64 - i64::try_from(age_ms).unwrap_or(i64::MAX);
                let lease = Lease::new(store, token, message, failed_attempts, received);
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
            Input::ClockStalled => self.on_stood_still(now, out),
            Input::BarrierReached { store, number } => self.doubts.reached(store, number),
            Input::ShuttingDown => self.on_leaving(now, out),
            Input::Tick => {}
        }
    }

    fn send_barriers(&mut self, out: &mut Vec<Output>) {
        let barriers = self.doubts.stood_still().into_iter();
        out.extend(barriers.map(|(store, number)| Output::Barrier { store, number }));
    }

    /// What waits here was granted before, and what comes before the barriers are reached may have been.
    fn on_stood_still(&mut self, now: u64, out: &mut Vec<Output>) {
        self.send_barriers(out);
        self.give_back_unsent(now, STALE_MS as u32, out);
    }

    /// When [`Input::Tick`] is due, if no input comes before.
    pub fn next_deadline(&self) -> Option<u64> {
        self.next_deadline
    }

    fn earliest_deadline(&self) -> Option<u64> {
        let services = self.services.values().filter_map(ServiceState::next_deadline).min();
        let rest = [
            self.reports.next_deadline(),
            self.attempts.next_deadline(),
            self.callbacks.next_deadline(),
            self.credits.next_deadline(),
        ];
        rest.into_iter().flatten().chain(services).min()
    }

    /// Leases whose end is not recorded, of messages in these shards; for `Hello`.
    pub fn active_leases(&self, shards: impl Fn(ShardId) -> bool) -> Vec<ActiveLease> {
        let leases = self.leases.iter().map(|(id, lease)| LeaseKey { id: *id, token: lease.token });
        let all = leases.chain(self.reports.keys()).chain(self.callbacks.keys());
        let mine = all.filter(|key| shards(key.id.shard));
        mine.map(|key| ActiveLease { id: key.id, token: key.token }).collect()
    }

    /// What stores were told last; for a store that connects.
    pub fn credits(&self) -> Vec<ServiceCredit> {
        self.credits.told()
    }

    /// Nothing is out, and stores have recorded all ends: the process may stop.
    pub fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.reports.is_empty() && self.callbacks.is_empty()
    }

    /// What the decision module has learnt of a service's workers.
    pub fn learned_state(&self, service: &str) -> Option<LearnedState> {
        self.services.get(service).map(ServiceState::memory)
    }

    fn on_time(&mut self, now: u64, out: &mut Vec<Output>) {
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
            if state.next_deadline().is_some_and(|due| due <= now) {
                state.tick(now, &mut decisions);
            }
        }
        self.carry_out(now, decisions, out);
        let due = self.reports.due(now);
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

    fn tell_credits(&mut self, now: u64, out: &mut Vec<Output>) {
        let leaving = self.leaving;
        let in_force = self.services.iter().filter(|(_, state)| state.is_in_force());
        let limits = in_force.map(|(service, state)| {
            let limit = if leaving { 0 } else { state.credit() };
            Limit { service, limit }
        });
        if let Some(credits) = self.credits.update(now, limits) {
            out.push(Output::Credits { credits });
        }
    }
}

fn send_reports(due: Vec<Due>, out: &mut Vec<Output>) {
    out.extend(due.into_iter().map(|due| Output::Report { store: due.store, message: due.message }));
}
