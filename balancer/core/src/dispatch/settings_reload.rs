//! New settings while jobs are here: what goes from the old list of classes into the new one.

use millrudder as mr;
use millrudder_config::Names;
use millrudder_exchange::intake::DROPPED_MS;
use millrudder_exchange::{Exchange, Message};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Fronts take a dropped class's jobs for `DROPPED_MS`; those may wait here for the core a little (ms).
const QUEUED_JOB_GRACE_MS: f64 = 1_000.0;

/// What a reload brings the core.
pub struct ReloadedSettings {
    pub settings: mr::Settings,
    pub names: Names,
    /// How long a kept connection to a worker may stand idle (ms).
    pub conn_idle: f64,
}

/// New settings on their way to the core; only the latest count.
#[derive(Clone, Default)]
pub struct PendingSettings(Arc<Mutex<Option<ReloadedSettings>>>);

impl PendingSettings {
    pub fn put(&self, settings: ReloadedSettings, exchange: &Exchange) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(settings);
        exchange.put(Message::Retuned);
    }

    pub(super) fn take(&self) -> Option<ReloadedSettings> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// Classes that the settings name no more but of which jobs may still come, with the time until which.
#[derive(Default)]
pub(super) struct DroppedClasses(BTreeMap<String, f64>);

impl DroppedClasses {
    /// Adds to the new classes those that are still needed; for each of the outcome its place before.
    pub fn merge(
        &mut self,
        before: (&Vec<String>, &mr::Settings),
        names: &mut Names,
        new_settings: &mut mr::Settings,
        now: f64,
    ) -> Vec<Option<usize>> {
        let (known, settings) = before;
        self.0.retain(|name, _| !names.classes.contains(name));
        for (name, class) in known.iter().zip(&settings.classes) {
            if names.classes.contains(name) {
                continue;
            }
            let until = *self.0.entry(name.clone()).or_insert(now + DROPPED_MS + QUEUED_JOB_GRACE_MS);
            if until > now {
                names.classes.push(name.clone());
                new_settings.classes.push(class.clone());
            } else {
                self.0.remove(name);
            }
        }
        names.classes.iter().map(|name| known.iter().position(|k| k == name)).collect()
    }
}

#[cfg(test)]
mod tests;
