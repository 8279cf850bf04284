//! The figures by which the system's rules are judged.

use crate::document::BoundsDocument;
use crate::values::{Milliseconds, Seconds};
use std::time::Duration;

/// Figures of the rules in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// How far the list from which callers of `control` choose machines lags behind.
    pub seed_lag: Duration,
    /// After a worker's end, its address may belong to another service this much later.
    pub address_reuse: Duration,
    /// A machine counts as in touch after this much time without trouble.
    pub liveness: Duration,
    /// An operator's order is acknowledged within this while the core is stable.
    pub acknowledgement: Duration,
    /// A machine that has returned or started counts as lost for this long.
    pub catch_up: Duration,
    /// No delivery reaches a worker later than this after it is known as draining or gone.
    pub drain: Duration,
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// A request that was read may be dropped during planned work within this after its last byte.
    pub loss_slack: Duration,
    /// An acknowledged configuration is in force everywhere after this.
    pub configuration_apply: Duration,
    /// After a version's effect was seen, older behaviour is tolerated for this long.
    pub rollback_slack: Duration,
    /// An unstable core stretches the bound on configurations by at most this.
    pub maximum_skew: Duration,
    /// Traffic is served again this long after the machines return from a final fault.
    pub recovery: Duration,
    /// Accepted messages get this long after the end of traffic.
    pub completion: Duration,
    /// State and body of a message are answered for this long after its end.
    pub status_ttl: Duration,
    /// A call-back is due within this after the success.
    pub callback_timeout: Duration,
    /// What the platform calls the visibility of messages.
    pub visibility: Duration,
    /// A delayed message may run at most this much before its delay is over.
    pub early_tolerance: Duration,
    /// The window over which a service's rate is summed.
    pub ceiling_window: Duration,
    /// Factor by which the rate may be exceeded in a window.
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
            origin_overage: document.origin_overage.map_or(default.origin_overage, |amount| amount.0),
        }
    }
}

fn seconds(given: Option<Seconds>, default: Duration) -> Duration {
    given.map_or(default, |seconds| seconds.0)
}

fn milliseconds(given: Option<Milliseconds>, default: Duration) -> Duration {
    given.map_or(default, |milliseconds| milliseconds.0)
}
