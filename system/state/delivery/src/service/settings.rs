//! What the decision module is told once: one class, whose requests are sent once at the most.

use crate::fleet::WARM_UP_SPAN_MS;
use crate::interface::Load;
use millrudder::{Class, Effect, Limits, Prices, Rules, Settings};

/// A start within this earns the full worth, as far as the module is told (ms); messages differ by route.
const LATENCY_TARGET_MS: f64 = 1000.0;
/// Coldness of a worker that has just started; what the list tells is only how long it lasts.
const WARM_UP_START_CAPACITY: f64 = 0.25;
/// No worker here falls over while it is cold: the module's budget for cold workers shall never bind.
const OVERLOAD_MULTIPLE: f64 = 100.0;
const OVERLOAD_TIME_MS: f64 = 1000.0;

/// What every service's instance of the module is told.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DispatcherContext {
    pub index: u32,
    pub dispatchers: u32,
    pub zone: u32,
    pub cross_zone_price: f64,
}

/// For one service; `with_cold`: workers that have just started count as slow.
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
        reports: true,
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

/// A worker's load, as the module takes it.
pub(super) fn module_load(load: Load) -> millrudder::Load {
    millrudder::Load {
        in_flight: Some(f64::from(load.running) + f64::from(load.waiting)),
        queue: Some(f64::from(load.waiting)),
        free_slots: Some(f64::from(load.slots.saturating_sub(load.running))),
        ..millrudder::Load::default()
    }
}
