//! Configuration of the store's state machine, made from the settings and the active configuration.

use crate::mechanisms::Mechanisms;
use millrudder_configuration::Configuration;
use millrudder_protocol::store::ServiceRate;
use millrudder_queue::Config;
use millrudder_settings::Settings;

/// Fraction of the process's memory that messages may take.
const MEMORY_FRACTION: f64 = 0.5;
/// Fraction of the disk that live messages may take: the rest is garbage and what compaction needs.
const DISK_FRACTION: f64 = 0.5;

/// The configuration of the state machine; `seed` is the seed of its random choices.
pub fn queue_config(settings: &Settings, mechanisms: Mechanisms, seed: u64) -> Config {
    let memory = settings.limits.memory_bytes as f64 * MEMORY_FRACTION;
    let disk = settings.limits.disk_bytes as f64 * DISK_FRACTION;
    let defaults = Config::default();
    Config {
        memory_bytes: memory as u64,
        disk_bytes: disk as u64,
        status_ttl: settings.bounds.status_ttl,
        seed,
        home_dispatchers_per_receiver: homes(
            mechanisms.receiver_homes,
            defaults.home_dispatchers_per_receiver,
        ),
        home_dispatchers_per_service: homes(mechanisms.service_homes, defaults.home_dispatchers_per_service),
        ..defaults
    }
}

/// Without the mechanism every dispatcher is a home.
fn homes(is_on: bool, homes: usize) -> usize {
    match is_on {
        true => homes,
        false => usize::MAX,
    }
}

/// Services with a common rate limit, and their rates.
pub fn service_rates(configuration: &Configuration) -> Vec<ServiceRate> {
    let limited = configuration.services().filter_map(|service| {
        let per_second = service.rate_per_second?;
        Some(ServiceRate { service: service.name.to_string(), per_second })
    });
    limited.collect()
}
