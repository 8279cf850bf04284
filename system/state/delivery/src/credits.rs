//! When stores are told what they may grant here.

use millrudder_protocol::store::ServiceCredit;
use std::collections::{BTreeMap, BTreeSet};

/// Pause between two tellings, unless a limit falls to a few or rises from there (ms).
const EACH_MS: u64 = 100;
/// A limit that changes by less than this share is not worth a message ...
const CHANGE_SHARE: f64 = 0.2;
/// ... if it is above this.
const FEW: u32 = 2;

/// The present limit of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limit<'a> {
    pub service: &'a str,
    pub limit: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Change {
    None,
    Small,
    Urgent,
}

/// What was told, and when.
#[derive(Debug, Default)]
pub(crate) struct Credits {
    /// By service.
    told: BTreeMap<String, u32>,
    told_at: u64,
    /// A change waits for the pause's end.
    waiting: bool,
}

fn change(told: u32, limit: u32) -> Change {
    let difference = f64::from(told.abs_diff(limit));
    if difference == 0.0 {
        Change::None
    } else if told.min(limit) <= FEW {
        Change::Urgent
    } else if difference >= CHANGE_SHARE * f64::from(told) {
        Change::Small
    } else {
        Change::None
    }
}

fn credit(limit: Limit<'_>) -> ServiceCredit {
    ServiceCredit { service: limit.service.to_owned(), limit: limit.limit }
}

impl Credits {
    /// What stores must be told now, if anything: the limits that are news.
    pub fn update<'a>(
        &mut self,
        now: u64,
        limits: impl Iterator<Item = Limit<'a>> + Clone,
    ) -> Option<Vec<ServiceCredit>> {
        let change = limits.clone().map(|limit| self.change(limit)).max().unwrap_or(Change::None);
        self.waiting = change == Change::Small && now < self.told_at + EACH_MS;
        if change == Change::None || self.waiting {
            return None;
        }
        self.told_at = now;
        let news: Vec<Limit<'a>> =
            limits.clone().filter(|limit| self.change(*limit) != Change::None).collect();
        for limit in &news {
            self.told.insert(limit.service.to_owned(), limit.limit);
        }
        self.forget_others(limits);
        Some(news.into_iter().map(credit).collect())
    }

    fn change(&self, limit: Limit<'_>) -> Change {
        self.told.get(limit.service).map_or(Change::Urgent, |told| change(*told, limit.limit))
    }

    /// Services that there are no more are told anew when they come back.
    fn forget_others<'a>(&mut self, limits: impl Iterator<Item = Limit<'a>>) {
        let services: BTreeSet<&str> = limits.map(|limit| limit.service).collect();
        self.told.retain(|service, _| services.contains(service.as_str()));
    }

    /// What stores were told last, of all services.
    pub fn told(&self) -> Vec<ServiceCredit> {
        let credit =
            |(service, limit): (&String, &u32)| ServiceCredit { service: service.clone(), limit: *limit };
        self.told.iter().map(credit).collect()
    }

    pub fn next_deadline(&self) -> Option<u64> {
        self.waiting.then_some(self.told_at + EACH_MS)
    }
}
