//! When stores are told what they may grant here.

use millrudder_protocol::store::ServiceCredit;
use std::collections::{BTreeMap, BTreeSet};

/// Pause between two tellings, unless a limit falls to a few or rises from there (ms).
const ANNOUNCEMENT_INTERVAL_MS: u64 = 100;
/// A limit that changes by less than this share is not worth a message ...
const MIN_CHANGE_SHARE: f64 = 0.2;
/// ... if it is above this.
const SMALL_LIMIT: u32 = 2;

/// The present limit of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceLimit<'a> {
    pub service: &'a str,
    pub limit: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Change {
    None,
    Deferrable,
    Urgent,
}

/// What was told, and when.
#[derive(Debug, Default)]
pub(crate) struct CreditAnnouncements {
    /// By service.
    announced: BTreeMap<String, u32>,
    announced_at_ms: u64,
    /// A change waits for the pause's end.
    change_deferred: bool,
}

fn change(announced: u32, limit: u32) -> Change {
    let difference = f64::from(announced.abs_diff(limit));
    if difference == 0.0 {
        Change::None
    } else if announced.min(limit) <= SMALL_LIMIT {
        Change::Urgent
    } else if difference >= MIN_CHANGE_SHARE * f64::from(announced) {
        Change::Deferrable
    } else {
        Change::None
    }
}

fn credit(limit: ServiceLimit<'_>) -> ServiceCredit {
    ServiceCredit { service: limit.service.to_owned(), limit: limit.limit }
}

impl CreditAnnouncements {
    /// What stores must be told now, if anything: the limits that are news.
    pub fn update<'a>(
        &mut self,
        now: u64,
        limits: impl Iterator<Item = ServiceLimit<'a>> + Clone,
    ) -> Option<Vec<ServiceCredit>> {
        let change = limits.clone().map(|limit| self.change(limit)).max().unwrap_or(Change::None);
        self.change_deferred =
            change == Change::Deferrable && now < self.announced_at_ms + ANNOUNCEMENT_INTERVAL_MS;
        if change == Change::None || self.change_deferred {
            return None;
        }
        self.announced_at_ms = now;
        let changed: Vec<ServiceLimit<'a>> =
            limits.clone().filter(|limit| self.change(*limit) != Change::None).collect();
        for limit in &changed {
            self.announced.insert(limit.service.to_owned(), limit.limit);
        }
        self.remove_other_services(limits);
        Some(changed.into_iter().map(credit).collect())
    }

    fn change(&self, limit: ServiceLimit<'_>) -> Change {
        self.announced.get(limit.service).map_or(Change::Urgent, |announced| change(*announced, limit.limit))
    }

    /// Services that there are no more are told anew when they come back.
    fn remove_other_services<'a>(&mut self, limits: impl Iterator<Item = ServiceLimit<'a>>) {
        let services: BTreeSet<&str> = limits.map(|limit| limit.service).collect();
        self.announced.retain(|service, _| services.contains(service.as_str()));
    }

    /// What stores were told last, of all services.
    pub fn announced(&self) -> Vec<ServiceCredit> {
        let credit =
            |(service, limit): (&String, &u32)| ServiceCredit { service: service.clone(), limit: *limit };
        self.announced.iter().map(credit).collect()
    }

    pub fn next_deadline_ms(&self) -> Option<u64> {
        self.change_deferred.then_some(self.announced_at_ms + ANNOUNCEMENT_INTERVAL_MS)
    }
}
