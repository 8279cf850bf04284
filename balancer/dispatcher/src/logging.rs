//! The log: slog to standard error through a thread of its own, so that a slow reader of the log cannot block
//! the coroutines. Records that do not fit into its queue are dropped and counted by slog-async.
//!
//! Every record has the same fields in both formats: time, level, message, and named values.

use millrudder_config::settings::{Log, LogFormat, LogLevel};
use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, SendSyncRefUnwindSafeDrain};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// Most records that wait to be written.
const QUEUE_RECORDS: usize = 512;

/// The least severe level that is written; can be changed while running.
#[derive(Clone)]
pub struct Threshold(Arc<AtomicUsize>);

impl Threshold {
    fn new(level: LogLevel) -> Self {
        Threshold(Arc::new(AtomicUsize::new(slog_level(level).as_usize())))
    }

    pub fn set(&self, level: LogLevel) {
        self.0.store(slog_level(level).as_usize(), Ordering::Relaxed);
    }
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

/// Passes on the records that the threshold lets through.
struct ThresholdFilter<D> {
    drain: D,
    threshold: Threshold,
}

impl<D: Drain<Ok = (), Err = Never>> Drain for ThresholdFilter<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<(), Never> {
        if record.level().as_usize() <= self.threshold.0.load(Ordering::Relaxed) {
            self.drain.log(record, values)?;
        }
        Ok(())
    }
}

/// Starts the log. When the guard is dropped, it writes out the queued records.
pub fn start(log: Log) -> (Logger, slog_async::AsyncGuard, Threshold) {
    match log.format {
        LogFormat::Text => {
            let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
            asynchronous(slog_term::FullFormat::new(decorator).build().fuse(), log.level)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::new(std::io::stderr()).add_default_keys().build();
            asynchronous(Mutex::new(drain).fuse(), log.level)
        }
    }
}

fn asynchronous<D>(drain: D, level: LogLevel) -> (Logger, slog_async::AsyncGuard, Threshold)
where
    D: SendSyncRefUnwindSafeDrain<Ok = (), Err = Never> + Send + 'static,
{
    let threshold = Threshold::new(level);
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(QUEUE_RECORDS)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let filter = ThresholdFilter { drain: Mutex::new(drain).fuse(), threshold: threshold.clone() };
    (Logger::root(filter, slog::o!()), guard, threshold)
}
