//! Validation of the configuration.

use millrudder_queue::{Config, ConfigError};
use std::time::Duration;

#[test]
fn the_default_configuration_is_valid() {
    assert_eq!(Config::default().validate(), Ok(()));
}

#[test]
fn contradicting_limits_are_rejected() {
    let (min, max) = (Duration::from_millis(2), Duration::from_millis(1));
    let timeouts = Config { min_write_timeout: min, max_write_timeout: max, ..Config::default() };
    assert_eq!(timeouts.validate(), Err(ConfigError::WriteTimeouts { min, max }));
    let callbacks = Config { callbacks_per_receiver: 3, max_callbacks_per_receiver: 2, ..Config::default() };
    assert_eq!(callbacks.validate(), Err(ConfigError::CallbackLimits { initial: 3, max: 2 }));
}
