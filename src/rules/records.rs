//! Creates, finds and removes a dispatcher's records, and adapts them to new settings. Nothing here decides.

use super::constants::{MIN_LOG_PRICE, RETRY_BURST, TENANT_BURST_REQUESTS};
use super::{finite_positive, Balancer};
use crate::interface::{RequestId, Settings, WorkerId};
use crate::state::{DecayingCount, DecayingRatio, Pool, SeededRng, Worker};
use fastrand::Rng;

impl Balancer {
    /// Creates an instance that knows no worker yet. Equal settings, seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Balancer {
            rng: SeededRng(Rng::with_seed(seed)),
            class_running_time: vec![DecayingRatio::default(); settings.classes.len()],
            tenants: vec![(DecayingCount::default(), TENANT_BURST_REQUESTS); settings.tenants.len()],
            refreshed_at: f64::NEG_INFINITY,
            retry_tokens: RETRY_BURST,
            log_price: MIN_LOG_PRICE,
            settings,
            ..Balancer::default()
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Applies new settings. What was learned about a class moves with the class to its new index (`from`
    /// holds the old ones); what was learned about workers stays.
    pub(super) fn on_settings(&mut self, settings: Settings, from: &[Option<usize>]) {
        let learned =
            |f: &Option<usize>| f.and_then(|i| self.class_running_time.get(i)).copied().unwrap_or_default();
        self.class_running_time = from.iter().map(learned).collect();
        for request in self.pending.values_mut().map(|p| &mut p.request) {
            let before = request.class.take();
            request.class = before.and_then(|class| from.iter().position(|f| *f == Some(class)));
        }
        self.tenants.resize(settings.tenants.len(), (DecayingCount::default(), TENANT_BURST_REQUESTS));
        (self.settings, self.refresh_due) = (settings, true);
    }

    pub(super) fn position_of(&self, id: WorkerId) -> Option<usize> {
        self.workers.binary_search_by_key(&id, |w| w.id).ok()
    }

    pub(super) fn worker(&self, id: WorkerId) -> Option<&Worker> {
        self.position_of(id).map(|i| &self.workers[i])
    }

    /// Index of the pool of a kind in a zone, which is created if there is none yet.
    pub(super) fn pool_of(&mut self, kind: Option<u32>, zone: Option<u32>) -> usize {
        let known = self.pools.iter().position(|p| (p.kind, p.zone) == (kind, zone));
        known.unwrap_or_else(|| {
            self.pools.push(Pool::new(kind, zone));
            self.pools.len() - 1
        })
    }

    /// How long after its start the first report on a job comes (ms).
    pub(super) fn start_report_delay(&self) -> f64 {
        if self.settings.reports_starts {
            0.0
        } else {
            self.progress_interval()
        }
    }

    /// Interval of progress reports (ms); infinite if there are none.
    pub(super) fn progress_interval(&self) -> f64 {
        finite_positive(Some(self.settings.progress_interval)).unwrap_or(f64::INFINITY)
    }

    /// Marks a request as ended, and removes it once all its attempts have an outcome.
    pub(super) fn finish(&mut self, id: RequestId) {
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.ended = true;
            pending.parked = false;
            if pending.attempts.iter().all(|a| a.outcome.is_some()) {
                self.pending.remove(&id);
            }
        }
    }
}
