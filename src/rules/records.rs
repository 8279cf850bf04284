//! How a dispatcher's records begin, are found, and go over to new settings. Nothing here decides.

use super::constants::{MIN_PRICE, RETRY_BURST, TENANT_BURST};
use super::{positive, Balancer};
use crate::interface::{RequestId, Settings, WorkerId};
use crate::state::{DecayingCount, DecayingMean, Pool, Random, Worker};
use fastrand::Rng;

impl Balancer {
    /// An instance that knows no worker yet. Equal settings, seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Balancer {
            rng: Random(Rng::with_seed(seed)),
            class_time: vec![DecayingMean::default(); settings.classes.len()],
            tenants: vec![(DecayingCount::default(), TENANT_BURST); settings.tenants.len()],
            renewed_at: f64::NEG_INFINITY,
            retry_tokens: RETRY_BURST,
            price: MIN_PRICE,
            settings,
            ..Balancer::default()
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// What was learnt of a class goes with it, not with its place; what was learnt of workers stays.
    pub(super) fn on_settings(&mut self, settings: Settings, from: &[Option<usize>]) {
        let known = |f: &Option<usize>| f.and_then(|i| self.class_time.get(i)).copied().unwrap_or_default();
        self.class_time = from.iter().map(known).collect();
        for request in self.pending.values_mut().map(|p| &mut p.request) {
            let before = request.class.take();
            request.class = before.and_then(|class| from.iter().position(|f| *f == Some(class)));
        }
        self.tenants.resize(settings.tenants.len(), (DecayingCount::default(), TENANT_BURST));
        (self.settings, self.renew_now) = (settings, true);
    }

    pub(super) fn find(&self, id: WorkerId) -> Option<usize> {
        self.workers.binary_search_by_key(&id, |w| w.id).ok()
    }

    pub(super) fn worker(&self, id: WorkerId) -> Option<&Worker> {
        self.find(id).map(|i| &self.workers[i])
    }

    /// The pool of a kind in a zone, which begins here if there is none yet.
    pub(super) fn pool_of(&mut self, kind: Option<u32>, zone: Option<u32>) -> usize {
        let known = self.pools.iter().position(|p| (p.kind, p.zone) == (kind, zone));
        known.unwrap_or_else(|| {
            self.pools.push(Pool::new(kind, zone));
            self.pools.len() - 1
        })
    }

    /// How long after its start a job is reported.
    pub(super) fn progress_delay(&self) -> f64 {
        if self.settings.reports_starts {
            0.0
        } else {
            self.progress()
        }
    }

    pub(super) fn progress(&self) -> f64 {
        positive(Some(self.settings.progress)).unwrap_or(f64::INFINITY)
    }

    pub(super) fn end(&mut self, id: RequestId) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.ended = true;
            pending.parked = false;
            if pending.attempts.iter().all(|a| a.outcome.is_some()) {
                self.pending.remove(&id);
            }
        }
    }
}
