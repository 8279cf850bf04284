//! Ready messages by service, in the order in which they are granted, with each service's rate limit and credits.

use super::credits::Credits;
use super::rate_limit::RateLimit;
use crate::time::Instant;
use millrudder_protocol::store::ServiceRate;
use millrudder_protocol::{MessageId, Sequence};
use std::collections::{BTreeMap, BTreeSet};

/// A service's number in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServiceIndex(pub u32);

/// Position of a ready message: by priority, then those in time, then by due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReadyKey {
    pub priority: u32,
    /// A start now earns less than its full value.
    pub late: bool,
    pub due: Instant,
    pub sequence: Sequence,
    pub id: MessageId,
    /// Until when a start earns its full value.
    pub start_by: Instant,
    pub service: ServiceIndex,
}

/// One service.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    name: String,
    ready: BTreeSet<ReadyKey>,
    rate_limit: Option<RateLimit>,
    credits: Credits,
    /// Grants that wait for their disks.
    unnotified: usize,
    /// When its permit timer goes off.
    permit_at: Option<Instant>,
}

/// Whether a service's rate limit allows a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    /// It does.
    Taken,
    /// It does not yet; what changes that makes the service runnable, or a timer is set for it already.
    Awaited,
    /// It does not before this time, for which a timer is to be set.
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

    /// A grant waits for its disks.
    pub fn add_unnotified(&mut self) {
        self.unnotified += 1;
    }

    /// A grant does not wait for its disks any more.
    pub fn remove_unnotified(&mut self) {
        self.unnotified = self.unnotified.saturating_sub(1);
    }

    /// When its permit timer goes off.
    pub fn permit_at(&self) -> Option<Instant> {
        self.permit_at
    }

    /// Its permit timer has gone off.
    pub fn clear_permit_timer(&mut self) {
        self.permit_at = None;
    }

    /// Takes a permit of the rate limit, if there is one.
    pub fn take_permit(&mut self, now: Instant) -> Permit {
        let Some(rate_limit) = self.rate_limit.as_mut() else { return Permit::Taken };
        // The next grant that its dispatcher is notified of makes the service runnable.
        if self.unnotified >= rate_limit.max_unnotified() {
            return Permit::Awaited;
        }
        if rate_limit.take(now) {
            return Permit::Taken;
        }
        let next = rate_limit.next();
        // A rate that has risen brings the permit forward.
        if self.permit_at.is_none_or(|permit_at| next < permit_at) {
            self.permit_at = Some(next);
            return Permit::AvailableAt(next);
        }
        Permit::Awaited
    }

    /// Takes a permit that the rate limit need not have yet.
    pub fn borrow_permit(&mut self, now: Instant) {
        if let Some(rate_limit) = &mut self.rate_limit {
            rate_limit.borrow(now);
        }
    }

    /// First of the ready messages, after those whose time is over have moved behind.
    pub fn first_ready(&mut self, now: Instant) -> Option<ReadyKey> {
        loop {
            let first = *self.ready.first()?;
            if first.late || now <= first.start_by {
                return Some(first);
            }
            self.ready.remove(&first);
            self.ready.insert(ReadyKey { late: true, ..first });
        }
    }

    /// Takes a message out, whether it was found to be late meanwhile or not.
    pub fn remove(&mut self, key: ReadyKey) {
        if !self.ready.remove(&key) {
            self.ready.remove(&ReadyKey { late: true, ..key });
        }
    }
}

/// All services that messages or settings named.
#[derive(Clone, Debug, Default)]
pub(crate) struct Services {
    by_name: BTreeMap<String, ServiceIndex>,
    services: Vec<Service>,
    /// Those for which a grant may be possible since the last look.
    runnable: BTreeSet<ServiceIndex>,
}

impl Services {
    pub fn find(&self, name: &str) -> Option<ServiceIndex> {
        self.by_name.get(name).copied()
    }

    /// A grant of the service may be possible.
    pub fn mark_runnable(&mut self, index: ServiceIndex) {
        self.runnable.insert(index);
    }

    /// Takes the first service for which a grant may be possible.
    pub fn next_runnable(&mut self) -> Option<ServiceIndex> {
        self.runnable.pop_first()
    }

    pub fn is_runnable(&self, index: ServiceIndex) -> bool {
        self.runnable.contains(&index)
    }

    /// Adds a service that is not known yet.
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

    /// Takes all permits of the services that `is_affected` names.
    pub fn drain_rate_limits(&mut self, is_affected: impl Fn(&str) -> bool, now: Instant) {
        for service in &mut self.services {
            if let Some(rate_limit) = service.rate_limit.as_mut().filter(|_| is_affected(&service.name)) {
                rate_limit.drain(now);
            }
        }
    }

    /// Replaces all rate limits by those of the configuration in force.
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

/// The rate limits anything: no rate is written as zero.
pub(crate) fn is_limiting(rate: &ServiceRate) -> bool {
    rate.per_second > 0.0
}
