//! Credit announcements: when stores are sent the limits of the leases that they may grant to this dispatcher.

use millrudder_protocol::store::ServiceCredit;
use std::collections::{BTreeMap, BTreeSet};

/// Minimum time (ms) between two announcements, except of changes to or from a limit of at most [`SMALL_LIMIT`].
const ANNOUNCEMENT_INTERVAL_MS: u64 = 100;
/// A limit above [`SMALL_LIMIT`] is announced again only when it has changed by at least this share of the announced
/// value.
const MIN_CHANGE_SHARE: f64 = 0.2;
/// At limits up to this many messages every change counts and is announced at once.
const SMALL_LIMIT: u32 = 2;

/// The current limit of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceLimit<'a> {
    pub service: &'a str,
    pub limit: u32,
}

/// How urgent it is to announce a changed limit; the greatest of all services decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Change {
    /// Too small to announce.
    None,
    /// Announced once the minimum interval is over.
    Deferrable,
    /// Announced at once.
    Urgent,
}

/// The limits that were announced last, and when. Times are milliseconds on the caller's steady clock.
#[derive(Debug, Default)]
pub(crate) struct CreditAnnouncements {
    /// Last announced limit by service name.
    announced: BTreeMap<String, u32>,
    announced_at_ms: u64,
    /// A change waits for the end of the minimum interval.
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
    /// Returns the changed limits if they are to be announced now, and counts them as announced.
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

    /// Drops services that no longer exist, so that their limits are announced again if they come back.
    fn remove_other_services<'a>(&mut self, limits: impl Iterator<Item = ServiceLimit<'a>>) {
        let services: BTreeSet<&str> = limits.map(|limit| limit.service).collect();
        self.announced.retain(|service, _| services.contains(service.as_str()));
    }

    /// The last announced limits of all services.
    pub fn announced(&self) -> Vec<ServiceCredit> {
        let credit =
            |(service, limit): (&String, &u32)| ServiceCredit { service: service.clone(), limit: *limit };
        self.announced.iter().map(credit).collect()
    }

    pub fn next_deadline_ms(&self) -> Option<u64> {
        self.change_deferred.then_some(self.announced_at_ms + ANNOUNCEMENT_INTERVAL_MS)
    }
}
