//! Settings of a service's balancer: a single class whose requests are sent at most once.

use crate::fleet::WARM_UP_SPAN_MS;
use crate::interface::Load;
use millrudder::{Class, Effect, Limits, Prices, Rules, Settings};

/// Latency target and deadline (ms) of the only class: a message that starts within it counts fully. One value for all
/// messages, although their real targets differ by route.
const LATENCY_TARGET_MS: f64 = 1000.0;
/// Share of its capacity that a worker has when it starts to warm up; the worker list says only how long it lasts.
const WARM_UP_START_CAPACITY: f64 = 0.25;
/// Load beyond which the balancer expects a worker that is warming up to crash, as a multiple of its capacity. Workers
/// here do not crash under load while they warm up, so the value is too high to ever limit anything.
const OVERLOAD_MULTIPLE: f64 = 100.0;
/// Time (ms) after which a load above [`OVERLOAD_MULTIPLE`] would crash a worker that is warming up.
const OVERLOAD_TIME_MS: f64 = 1000.0;

/// Facts about this dispatcher that every service's balancer needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DispatcherContext {
    /// Number of this dispatcher among all, from 0. Derived from its seed, so two dispatchers may have the same one.
    pub index: u32,
    /// Number of dispatchers that share the workers.
    pub dispatchers: u32,
    /// Number of this dispatcher's zone.
    pub zone: u32,
    /// Price of sending a message into another zone, as a share of its worth.
    pub cross_zone_price: f64,
}

/// Settings of the balancer of one service. With `with_warm_up`, workers that have just started count as slow.
pub(super) fn settings(dispatcher: DispatcherContext, with_warm_up: bool) -> Settings {
    let class = Class {
        latency_target: LATENCY_TARGET_MS,
        deadline: LATENCY_TARGET_MS,
        value: 1.0,
        late_value: 1.0,
        effect: Effect::AtMostOnce,
        ..Class::default()
    };
    Settings {
        instance: dispatcher.index,
        replicas: dispatcher.dispatchers.max(1),
        zone: Some(dispatcher.zone),
        classes: vec![class],
        load_reports: true,
        prices: Prices { cross_zone: dispatcher.cross_zone_price, ..Prices::default() },
        limits: Limits { max_attempts: 1, ..Limits::default() },
        rules: Rules {
            warm_up_from: WARM_UP_START_CAPACITY,
            warm_up: if with_warm_up { WARM_UP_SPAN_MS } else { 0.0 },
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_time: OVERLOAD_TIME_MS,
            ..Rules::default()
        },
        ..Settings::default()
    }
}

/// Converts a worker's reported load to the balancer's type.
pub(super) fn module_load(load: Load) -> millrudder::Load {
    millrudder::Load {
        in_flight: Some(f64::from(load.running) + f64::from(load.waiting)),
        queue: Some(f64::from(load.waiting)),
        free_slots: Some(f64::from(load.slots.saturating_sub(load.running))),
        ..millrudder::Load::default()
    }
}
