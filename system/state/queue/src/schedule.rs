//! Ready messages by service, in the order in which they are granted, with the service's ceiling and credits.

use crate::credits::Credits;
use crate::rate_limit::RateLimit;
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
    /// A start now earns less than its full worth.
    pub late: bool,
    pub due: Instant,
    pub sequence: Sequence,
    pub id: MessageId,
    /// Until when a start earns its full worth.
    pub start_by: Instant,
    pub service: ServiceIndex,
}

/// One service.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub name: String,
    pub ready: BTreeSet<ReadyKey>,
    pub rate_limit: Option<RateLimit>,
    pub credits: Credits,
    /// Grants that wait for their disks.
    pub unnotified: usize,
    /// When its permit timer goes off.
    pub permit_at: Option<Instant>,
}

impl Service {
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
    pub runnable: BTreeSet<ServiceIndex>,
}

impl Services {
    pub fn find(&self, name: &str) -> Option<ServiceIndex> {
        self.by_name.get(name).copied()
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

    /// Puts the ceilings of the configuration in force in the place of those before.
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

/// A rate that holds something back.
pub(crate) fn is_limiting(rate: &ServiceRate) -> bool {
    rate.per_second > 0.0
}
