//! Updates that concern all messages: changed services, routes, workers and dispatchers, and the shutdown.

use super::{dispatcher_context, Delivery};
use crate::fleet::ListedWorker;
use crate::interface::*;
use crate::reports::LeaseKey;
use crate::service::{Decision, ServiceState};
use millrudder_protocol::control::WorkerList;
use millrudder_protocol::store::AttemptOutcome;
use millrudder_protocol::MessageId;
use std::collections::BTreeMap;
use std::sync::Arc;

impl Delivery {
    pub(super) fn on_services(&mut self, now: u64, services: Vec<Service>, out: &mut Vec<Output>) {
        let mut decisions = Vec::new();
        let in_force: Vec<Arc<str>> =
            services.iter().map(|service| Arc::from(service.name.as_str())).collect();
        for (name, service) in in_force.iter().zip(services) {
            let (seed, dispatcher) = (self.rng.u64(..), self.dispatcher);
            let state = self
                .services
                .entry(name.clone())
                .or_insert_with(|| ServiceState::new(service.clone(), dispatcher, seed));
            state.set_service(now, service, dispatcher, &mut decisions);
        }
        for (name, state) in &mut self.services {
            state.set_in_force(now, in_force.contains(name), &mut decisions);
        }
        self.apply_worker_list(now, &mut decisions);
        self.carry_out(now, decisions, out);
    }

    pub(super) fn on_dispatchers(&mut self, now: u64, count: u32, out: &mut Vec<Output>) {
        let mut decisions = Vec::new();
        self.dispatcher = dispatcher_context(&self.configuration, count, self.dispatcher.zone);
        for state in self.services.values_mut() {
            state.set_dispatcher(now, self.dispatcher, &mut decisions);
        }
        self.carry_out(now, decisions, out);
    }

    pub(super) fn on_workers(&mut self, now: u64, list: WorkerList, out: &mut Vec<Output>) {
        if !list.is_newer_than(&self.workers) {
            return;
        }
        self.workers = list;
        let mut decisions = Vec::new();
        self.apply_worker_list(now, &mut decisions);
        self.carry_out(now, decisions, out);
    }

    /// Passes each service its workers from the latest list.
    fn apply_worker_list(&mut self, now: u64, decisions: &mut Vec<Decision>) {
        let mut by_service = BTreeMap::<&str, Vec<ListedWorker<'_>>>::new();
        for entry in &self.workers.workers {
            let next_zone = self.zones.len() as u32;
            let zone = match self.zones.get(&entry.zone) {
                Some(zone) => *zone,
                None => *self.zones.entry(entry.zone.clone()).or_insert(next_zone),
            };
            by_service.entry(&entry.service).or_default().push(ListedWorker { entry, zone });
        }
        for (name, state) in &mut self.services {
            let listed = by_service.remove(name.as_ref()).unwrap_or_default();
            state.set_workers(now, &listed, decisions);
        }
    }

    pub(super) fn on_routes(&mut self, now: u64, resolver: Arc<dyn Resolve>, out: &mut Vec<Output>) {
        self.resolver = Some(resolver);
        let waiting = self.leases.iter().filter(|(_, lease)| !lease.sent);
        let waiting: Vec<MessageId> = waiting.map(|(id, _)| *id).collect();
        for id in waiting {
            self.update_route(now, id, out);
        }
        self.services.retain(|_, state| state.is_in_force() || !state.is_unused());
    }

    /// Applies the current route to a message that has not been sent; it moves to another service if the route does.
    fn update_route(&mut self, now: u64, id: MessageId, out: &mut Vec<Output>) {
        let Some(lease) = self.leases.get_mut(&id).filter(|lease| !lease.sent) else { return };
        let route = self.resolver.as_ref().and_then(|r| r.resolve(&lease.message.host, &lease.message.path));
        if let Some(route) = route.as_ref().filter(|route| route.service == lease.route.service) {
            lease.route = route.clone();
            return;
        }
        let Some(lease) = self.remove_unsent(now, id, out) else { return };
        let key = LeaseKey { id, token: lease.token };
        self.offer(now, key, lease, out);
    }

    /// Gives back all messages that have not been sent; stores grant them again after `retry_after_ms` at the earliest.
    pub(super) fn give_back_unsent(&mut self, now: u64, retry_after_ms: u32, out: &mut Vec<Output>) {
        let waiting = self.leases.iter().filter(|(_, lease)| !lease.sent);
        let waiting: Vec<MessageId> = waiting.map(|(id, _)| *id).collect();
        for id in waiting {
            let Some(lease) = self.remove_unsent(now, id, out) else { continue };
            let key = LeaseKey { id, token: lease.token };
            self.report(now, lease.store, key, AttemptOutcome::NotRun { retry_after_ms }, out);
        }
    }

    pub(super) fn on_shutting_down(&mut self, now: u64, out: &mut Vec<Output>) {
        self.shutting_down = true;
        self.give_back_unsent(now, 0, out);
        let mut decisions = Vec::new();
        self.callbacks.shut_down(&mut decisions);
        self.carry_out_call_backs(now, decisions, out);
    }
}
