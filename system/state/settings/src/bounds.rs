//! Limits by which the system's rules are judged.

use crate::document::BoundsDocument;
use crate::values::{Milliseconds, Seconds};
use std::time::Duration;

/// Limits by which the system's rules are judged, as the platform sets them. Not all of them matter to the system itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum lag of the list from which callers of `control` choose machines.
    pub seed_lag: Duration,
    /// Earliest time after a worker's end at which its address may belong to another service.
    pub address_reuse: Duration,
    /// Time without a fault after which a machine counts as connected.
    pub liveness: Duration,
    /// Time in which an operator's request is acknowledged while the core is stable.
    pub acknowledgement: Duration,
    /// Time for which a machine that has recovered or started still counts as lost: it must catch up meanwhile.
    pub catch_up: Duration,
    /// Time after a worker is listed as draining or gone after which no delivery may reach it.
    pub drain: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Time after the last byte of a request in which it may be lost in planned maintenance.
    pub loss_slack: Duration,
    /// Time after which an acknowledged configuration is in force everywhere.
    pub configuration_apply: Duration,
    /// Time for which older behaviour is tolerated after a version's effect was seen.
    pub rollback_slack: Duration,
    /// Maximum by which an unstable core extends the limit on configurations.
    pub maximum_skew: Duration,
    /// Time after the machines recover from the last fault after which traffic is served again.
    pub recovery: Duration,
    /// Time after the end of traffic in which accepted messages are completed.
    pub completion: Duration,
    /// Time after a message's end for which its state and body can be queried.
    pub status_ttl: Duration,
    /// Time after the success in which a call-back is due.
    pub callback_timeout: Duration,
    /// The platform's visibility time-out of messages.
    pub visibility: Duration,
    /// Maximum by which a delayed message may run early.
    pub early_tolerance: Duration,
    /// Window over which a service's rate is measured.
    pub ceiling_window: Duration,
    /// Factor by which the rate may exceed the limit in a window.
    pub origin_overage: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            seed_lag: Duration::from_secs(3),
            address_reuse: Duration::from_secs(2),
            liveness: Duration::from_millis(4_000),
            acknowledgement: Duration::from_millis(5_000),
            catch_up: Duration::from_millis(4_500),
            drain: Duration::from_millis(3_000),
            grace: Duration::from_secs(6),
            loss_slack: Duration::from_millis(200),
            configuration_apply: Duration::from_millis(3_000),
            rollback_slack: Duration::from_millis(250),
            maximum_skew: Duration::from_millis(12_000),
            recovery: Duration::from_secs(12),
            completion: Duration::from_secs(10),
            status_ttl: Duration::from_secs(120),
            callback_timeout: Duration::from_secs(5),
            visibility: Duration::from_millis(3_000),
            early_tolerance: Duration::from_millis(100),
            ceiling_window: Duration::from_secs(5),
            origin_overage: 1.1,
        }
    }
}

impl From<BoundsDocument> for Bounds {
    fn from(document: BoundsDocument) -> Self {
        let default = Self::default();
        Self {
            seed_lag: seconds(document.seed_lag_s, default.seed_lag),
            address_reuse: seconds(document.addr_reuse_s, default.address_reuse),
            liveness: milliseconds(document.liveness_ms, default.liveness),
            acknowledgement: milliseconds(document.ack_ms, default.acknowledgement),
            catch_up: seconds(document.catch_up_s, default.catch_up),
            drain: milliseconds(document.drain_ms, default.drain),
            grace: seconds(document.grace_s, default.grace),
            loss_slack: milliseconds(document.loss_slack_ms, default.loss_slack),
            configuration_apply: milliseconds(document.config_apply_ms, default.configuration_apply),
            rollback_slack: milliseconds(document.rollback_slack_ms, default.rollback_slack),
            maximum_skew: milliseconds(document.max_skew_ms, default.maximum_skew),
            recovery: seconds(document.recovery_s, default.recovery),
            completion: seconds(document.completion_s, default.completion),
            status_ttl: seconds(document.status_ttl_s, default.status_ttl),
            callback_timeout: seconds(document.callback_timeout_s, default.callback_timeout),
            visibility: milliseconds(document.visibility_ms, default.visibility),
            early_tolerance: milliseconds(document.early_tolerance_ms, default.early_tolerance),
            ceiling_window: seconds(document.ceiling_window_s, default.ceiling_window),
            origin_overage: document.origin_overage.map_or(default.origin_overage, |factor| factor.0),
        }
    }
}

fn seconds(given: Option<Seconds>, default: Duration) -> Duration {
    given.map_or(default, |seconds| seconds.0)
}

fn milliseconds(given: Option<Milliseconds>, default: Duration) -> Duration {
    given.map_or(default, |milliseconds| milliseconds.0)
}
