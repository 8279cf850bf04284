//! Reload on SIGHUP: both files are read and checked again. If either is invalid, neither is applied.

use crate::logging::Threshold;
use millrudder_config::settings::Settings;
use millrudder_config::{classes, Source};
use millrudder_core::dispatch::{PendingSettings, ReloadedSettings};
use millrudder_exchange::clock::Clock;
use millrudder_exchange::counters::Counters;
use millrudder_exchange::intake::Classes;
use millrudder_exchange::shutdown::Stopping;
use millrudder_exchange::{AdmissionGate, Exchange, Message, RetryAdvice};
use slog::Logger;
use std::path::PathBuf;

/// What a reload reads, and the parts of the running dispatcher that it changes.
pub struct Reload {
    pub source: Source,
    pub settings: Option<PathBuf>,
    /// The settings that the program was started with.
    pub running: Settings,
    pub admission_gate: AdmissionGate,
    pub threshold: Threshold,
    /// Takes the new settings to the core; `classes` takes them to the fronts, `stopping` to the planned stop.
    pub pending_settings: PendingSettings,
    pub classes: Classes,
    pub stopping: Stopping,
    pub advice: RetryAdvice,
    pub clock: Clock,
}

impl Reload {
    /// Reads both files and applies them. It blocks, so it must not be called by a coroutine.
    pub fn run(&self, exchange: &Exchange, counters: &Counters, log: &Logger) {
        let settings = self.settings.as_deref().map(Settings::load).transpose();
        match (self.source.reload(), settings) {
            (Ok(platform), Ok(settings)) => {
                counters.reloads_good.add();
                slog::info!(log, "configuration read again"; "discovery" => %platform.discovery);
                let mut kept = platform.kept;
                kept.extend(settings.iter().flat_map(|newer| self.apply(newer)));
                if !kept.is_empty() {
                    slog::warn!(log, "not changed while running: {}", kept.join(", "));
                }
                let taken = classes(&platform.names, &platform.settings);
                self.stopping.set_longest_deadline(
                    taken.iter().map(|class| class.default_timeout).fold(0.0, f64::max),
                );
                self.advice.allow(platform.settings.limits.retry_after);
                // The core first, so that no front admits a job of a class that the core does not know yet.
                let (settings, names, conn_idle) = (platform.settings, platform.names, platform.conn_idle);
                self.pending_settings.put(ReloadedSettings { settings, names, conn_idle }, exchange);
                self.classes.replace(taken, self.clock.now());
                exchange.send(Message::Discovery(platform.discovery));
            }
            (platform, settings) => {
                counters.reloads_bad.add();
                let errors = [platform.err().map(|e| e.to_string()), settings.err().map(|e| e.to_string())];
                for error in errors.into_iter().flatten() {
                    slog::error!(log, "configuration not changed: {}", error);
                }
            }
        }
    }

    /// Applies the settings that can change while running; returns the names of those that need a restart.
    fn apply(&self, newer: &Settings) -> Vec<String> {
        self.threshold.set(newer.log.level);
        self.admission_gate.set_weights(&newer.weights());
        self.running.pending_keys(newer).into_iter().map(str::to_owned).collect()
    }
}
