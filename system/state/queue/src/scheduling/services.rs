//! Ready queues by service, in the order in which messages are granted, with each service's rate limit and
//! credits.

use super::credits::Credits;
use super::rate_limit::RateLimit;
use crate::time::Instant;
use millrudder_protocol::store::ServiceRate;
use millrudder_protocol::{MessageId, Sequence};
use std::collections::{BTreeMap, BTreeSet};

/// Index of a service in [`Services`]; valid only within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServiceIndex(pub u32);

/// Sort key of a ready message: by priority, then messages that can still start on time before late ones, then
/// by due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReadyKey {
    pub priority: u32,
    /// The target start time has passed, so that starting the message now earns less than its full value.
    pub is_late: bool,
    pub due: Instant,
    pub sequence: Sequence,
    pub id: MessageId,
    /// Latest time at which a start earns the full value.
    pub start_by: Instant,
    pub service: ServiceIndex,
}

/// The ready queue, rate limit and credits of one service.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    name: String,
    ready: BTreeSet<ReadyKey>,
    rate_limit: Option<RateLimit>,
    credits: Credits,
    /// Number of grants whose records are not durable yet, so that their dispatchers are not notified.
    unnotified: usize,
    /// Time at which the permit timer fires; `None` if it is not set.
    permit_at: Option<Instant>,
}

/// The result of asking a service's rate limit for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    /// A permit was taken, or the service has no rate limit.
    Taken,
    /// No permit is available. Either a timer is already set, or a pending grant will mark the service runnable
    /// once its dispatcher is notified.
    Awaited,
    /// No permit is available before this time. The caller must set a timer for it.
    AvailableAt(Instant),
}

impl Service {
    pub fn credits(&self) -> &Credits {
        &self.credits
    }

    pub fn credits_mut(&mut self) -> &mut Credits {
        &mut self.credits
    }

    pub fn insert_ready(&mut self, key: ReadyKey) {
        self.ready.insert(key);
    }

    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    pub fn has_rate_limit(&self) -> bool {
        self.rate_limit.is_some()
    }

    /// Counts a grant whose record is not durable yet.
    pub fn add_unnotified(&mut self) {
        self.unnotified += 1;
    }

    /// Counts a grant as notified or cancelled.
    pub fn remove_unnotified(&mut self) {
        self.unnotified = self.unnotified.saturating_sub(1);
    }

    /// Time at which the permit timer fires; `None` if it is not set.
    pub fn permit_at(&self) -> Option<Instant> {
        self.permit_at
    }

    /// Called when the permit timer has fired.
    pub fn clear_permit_timer(&mut self) {
        self.permit_at = None;
    }

    /// Takes a permit of the rate limit if one is available.
    pub fn take_permit(&mut self, now: Instant) -> Permit {
        let Some(rate_limit) = self.rate_limit.as_mut() else { return Permit::Taken };
        // The service is marked runnable when the dispatcher of the next pending grant is notified.
        if self.unnotified >= rate_limit.max_unnotified() {
            return Permit::Awaited;
        }
        if rate_limit.take(now) {
            return Permit::Taken;
        }
        let next = rate_limit.next_permit_at();
        // If the rate was raised, the permit is available earlier than the timer that is set.
        if self.permit_at.is_none_or(|permit_at| next < permit_at) {
            self.permit_at = Some(next);
            return Permit::AvailableAt(next);
        }
        Permit::Awaited
    }

    /// Takes a permit even if none is available, see [`RateLimit::borrow`].
    pub fn borrow_permit(&mut self, now: Instant) {
        if let Some(rate_limit) = &mut self.rate_limit {
            rate_limit.borrow(now);
        }
    }

    /// Returns the first ready message, after moving messages whose target start time has passed behind those
    /// on time.
    pub fn first_ready(&mut self, now: Instant) -> Option<ReadyKey> {
        loop {
            let first = *self.ready.first()?;
            if first.is_late || now <= first.start_by {
                return Some(first);
            }
            self.ready.remove(&first);
            self.ready.insert(ReadyKey { is_late: true, ..first });
        }
    }

    /// Removes a message from the ready queue, whether or not it has been moved to the late messages.
    pub fn remove(&mut self, key: ReadyKey) {
        if !self.ready.remove(&key) {
            self.ready.remove(&ReadyKey { is_late: true, ..key });
        }
    }
}

/// All services named by messages or by the configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct Services {
    by_name: BTreeMap<String, ServiceIndex>,
    services: Vec<Service>,
    /// Services that may be able to grant a message because something has changed since they were last tried.
    runnable: BTreeSet<ServiceIndex>,
}

impl Services {
    pub fn find(&self, name: &str) -> Option<ServiceIndex> {
        self.by_name.get(name).copied()
    }

    /// Marks a service for which a grant may be possible.
    pub fn mark_runnable(&mut self, index: ServiceIndex) {
        self.runnable.insert(index);
    }

    /// Removes and returns the first service for which a grant may be possible.
    pub fn next_runnable(&mut self) -> Option<ServiceIndex> {
        self.runnable.pop_first()
    }

    pub fn is_runnable(&self, index: ServiceIndex) -> bool {
        self.runnable.contains(&index)
    }

    /// Adds a service that [`Services::find`] does not know.
    pub fn add(&mut self, name: &str) -> ServiceIndex {
        let number = u32::try_from(self.services.len()).unwrap_or(u32::MAX);
        let index = ServiceIndex(number);
        self.by_name.insert(name.to_owned(), index);
        self.services.push(Service {
            name: name.to_owned(),
            ready: BTreeSet::new(),
            rate_limit: None,
            credits: Credits::default(),
            unnotified: 0,
            permit_at: None,
        });
        index
    }

    pub fn get_mut(&mut self, index: ServiceIndex) -> &mut Service {
        &mut self.services[index.0 as usize]
    }

    pub fn get(&self, index: ServiceIndex) -> &Service {
        &self.services[index.0 as usize]
    }

    pub fn indexes(&self) -> impl Iterator<Item = ServiceIndex> {
        (0..u32::try_from(self.services.len()).unwrap_or(u32::MAX)).map(ServiceIndex)
    }

    /// Empties the token buckets of all services for which `is_affected` returns true.
    pub fn drain_rate_limits(&mut self, is_affected: impl Fn(&str) -> bool, now: Instant) {
        for service in &mut self.services {
            if let Some(rate_limit) = service.rate_limit.as_mut().filter(|_| is_affected(&service.name)) {
                rate_limit.drain(now);
            }
        }
    }

    /// Replaces all rate limits by those of the current configuration.
    pub fn set_rates(&mut self, rates: &BTreeMap<ServiceIndex, f64>, now: Instant) {
        for index in self.indexes() {
            let service = self.get_mut(index);
            match (rates.get(&index), &mut service.rate_limit) {
                (None, _) => service.rate_limit = None,
                (Some(rate), Some(rate_limit)) => rate_limit.set_rate(*rate, now),
                (Some(rate), None) => service.rate_limit = Some(RateLimit::new(*rate, now)),
            }
            self.runnable.insert(index);
        }
    }
}

/// Whether the setting limits the service; a rate of zero means no limit.
pub(crate) fn is_limiting(rate: &ServiceRate) -> bool {
    rate.per_second > 0.0
}
