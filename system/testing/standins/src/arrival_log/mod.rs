//! What the workers saw: every delivery, what became of it, and when.

mod arrival;
mod order;
mod record;
mod window;

pub use arrival::{Arrival, ArrivalNumber, BodyHash, Difference, Disposition, Moment, RunState};
pub use order::OrderViolation;
pub(crate) use record::{DeliveryRecord, RunRecord};

use crate::identity::{InstanceId, OrderKey, RequestId, ServiceName};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What the workers saw. Clones are the same log, so all workers of a test share one.
#[derive(Clone, Debug)]
pub struct ArrivalLog {
    began: Instant,
    entries: Arc<Mutex<Entries>>,
}

#[derive(Debug, Default)]
struct Entries {
    arrivals: Vec<Arrival>,
    moments: u64,
}

impl Default for ArrivalLog {
    fn default() -> Self {
        Self::new()
    }
}

impl ArrivalLog {
    /// An empty log; its time begins now.
    pub fn new() -> Self {
        Self { began: Instant::now(), entries: Arc::default() }
    }

    /// Time since the log's beginning.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Every delivery, in the order of arrival.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Every delivery of one request, in the order of arrival.
    pub fn arrivals_of(&self, request: &RequestId) -> Vec<Arrival> {
        self.select(|arrival| arrival.request_id.as_ref() == Some(request))
    }

    /// Every delivery to one worker, in the order of arrival.
    pub fn arrivals_at(&self, instance: &InstanceId) -> Vec<Arrival> {
        self.select(|arrival| arrival.instance == *instance)
    }

    /// Every run, in the order of their starts.
    pub fn runs(&self) -> Vec<Arrival> {
        self.runs_where(|_| true)
    }

    /// Every run of one request, in the order of their starts.
    pub fn runs_of(&self, request: &RequestId) -> Vec<Arrival> {
        self.runs_where(|arrival| arrival.request_id.as_ref() == Some(request))
    }

    /// Every run of one request that succeeded, in the order of their starts.
    pub fn successes_of(&self, request: &RequestId) -> Vec<Arrival> {
        self.runs_where(|arrival| arrival.request_id.as_ref() == Some(request) && arrival.succeeded())
    }

    /// The signatures of the runs of one request that succeeded, in the order of their starts.
    pub fn signatures_of(&self, request: &RequestId) -> Vec<String> {
        let signature = |arrival: &Arrival| arrival.signature().map(str::to_owned);
        self.successes_of(request).iter().filter_map(signature).collect()
    }

    /// The requests that ran with one order key, in the order of their starts; a repeat stands once more.
    pub fn starts_on_key(&self, key: &OrderKey) -> Vec<RequestId> {
        let runs = self.runs_where(|arrival| arrival.order_key.as_ref() == Some(key));
        runs.into_iter().filter_map(|run| run.request_id).collect()
    }

    /// Starts on any order key before another message of that key had ended, where a message ends with a success,
    /// a 422 or the `max_retries`th 500.
    pub fn order_violations(&self, max_retries: u32) -> Vec<OrderViolation> {
        order::violations(&self.runs(), max_retries)
    }

    /// The requests that began to run again after a run of theirs had succeeded, once for each such run.
    pub fn repeats_of_successes(&self) -> Vec<RequestId> {
        let runs = self.runs();
        let repeats = runs.iter().filter(|run| follows_success(run, &runs));
        repeats.filter_map(|run| run.request_id.clone()).collect()
    }

    /// The most deliveries that the workers of a service received within any span of that length, those they turned
    /// away included.
    pub fn busiest_window(&self, service: &ServiceName, span: Duration) -> usize {
        let arrivals = self.select(|arrival| arrival.service == *service);
        let times: Vec<Duration> = arrivals.iter().map(|arrival| arrival.arrived.at).collect();
        window::busiest(times, span)
    }

    fn runs_where(&self, wanted: impl Fn(&Arrival) -> bool) -> Vec<Arrival> {
        let mut runs = self.select(|arrival| arrival.started.is_some() && wanted(arrival));
        runs.sort_by_key(|run| run.started);
        runs
    }

    fn select(&self, wanted: impl Fn(&Arrival) -> bool) -> Vec<Arrival> {
        self.lock().arrivals.iter().filter(|arrival| wanted(arrival)).cloned().collect()
    }

    /// Records a delivery that is not run.
    pub(crate) fn note(&self, record: DeliveryRecord, disposition: Disposition) {
        self.enter(record, disposition);
    }

    /// Records a delivery that waits for a slot.
    pub(crate) fn admit(&self, record: DeliveryRecord) -> RunRecord {
        let number = self.enter(record, Disposition::Waiting);
        RunRecord::new(self.clone(), number)
    }

    fn enter(&self, record: DeliveryRecord, disposition: Disposition) -> ArrivalNumber {
        let at = self.now();
        let mut entries = self.lock();
        let number = ArrivalNumber::new(entries.arrivals.len());
        let arrived = entries.moment(at);
        entries.arrivals.push(record.arrival(number, arrived, disposition));
        number
    }

    pub(self) fn change(&self, number: ArrivalNumber, change: impl FnOnce(&mut Arrival, Moment)) {
        let at = self.now();
        let mut entries = self.lock();
        let moment = entries.moment(at);
        if let Some(arrival) = entries.arrivals.get_mut(number.index()) {
            change(arrival, moment);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn follows_success(run: &Arrival, runs: &[Arrival]) -> bool {
    let earlier = |other: &&Arrival| other.request_id == run.request_id && other.succeeded();
    runs.iter().filter(earlier).any(|other| other.ended.is_some() && other.ended < run.started)
}

impl Entries {
    fn moment(&mut self, at: Duration) -> Moment {
        self.moments += 1;
        Moment { order: self.moments, at }
    }
}
