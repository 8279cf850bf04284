//! The log: lines on standard error, `time level module: text`.

use env_logger::{Builder, Env, TimestampPrecision};

/// Starts the log at the level that `RUST_LOG` names, or `info`.
pub fn start() {
    let env = Env::default().default_filter_or("info");
    Builder::from_env(env).format_timestamp(Some(TimestampPrecision::Millis)).init();
}
