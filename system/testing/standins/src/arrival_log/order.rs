//! Whether the messages of each order key ran one after the other.

use super::{Arrival, Disposition, Moment, RunState};
use crate::identity::{OrderKey, RequestId};
use std::collections::BTreeMap;

/// A message that began before another one of its key had ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderViolation {
    /// Their key.
    pub key: OrderKey,
    /// The message that had begun and had not ended.
    pub unended: RequestId,
    /// The message that began nevertheless.
    pub began: RequestId,
}

/// `runs` in the order of their starts.
pub(super) fn violations(runs: &[Arrival], max_retries: u32) -> Vec<OrderViolation> {
    let mut by_key: BTreeMap<&OrderKey, Vec<&Arrival>> = BTreeMap::new();
    for run in runs {
        if let Some(key) = &run.order_key {
            by_key.entry(key).or_default().push(run);
        }
    }
    by_key.into_iter().flat_map(|(key, runs)| violations_on_key(key, &runs, max_retries)).collect()
}

fn violations_on_key(key: &OrderKey, runs: &[&Arrival], max_retries: u32) -> Vec<OrderViolation> {
    let mut violations = Vec::new();
    let mut begun: Vec<&RequestId> = Vec::new();
    for run in runs {
        let (Some(request), Some(started)) = (&run.request_id, run.started) else { continue };
        let others = begun.iter().filter(|other| **other != request);
        let unended = others.filter(|other| !ended_before(runs, other, started, max_retries));
        violations.extend(unended.map(|other| OrderViolation {
            key: key.clone(),
            unended: (*other).clone(),
            began: request.clone(),
        }));
        if !begun.contains(&request) {
            begun.push(request);
        }
    }
    violations
}

fn ended_before(runs: &[&Arrival], request: &RequestId, moment: Moment, max_retries: u32) -> bool {
    let mut failures = 0;
    let runs = runs.iter().filter(|run| run.request_id.as_ref() == Some(request));
    for run in runs.filter(|run| run.ended.is_some_and(|ended| ended < moment)) {
        match &run.disposition {
            Disposition::Run(RunState::Succeeded { .. } | RunState::RefusedForGood) => return true,
            Disposition::Run(RunState::Failed) => failures += 1,
            _ => {}
        }
    }
    failures >= max_retries
}
