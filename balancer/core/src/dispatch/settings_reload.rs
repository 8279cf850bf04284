//! Reloaded settings on their way to the dispatch coroutine, and the job classes that a reload has dropped.

use millrudder as mr;
use millrudder_config::Names;
use millrudder_exchange::intake::DROPPED_CLASS_GRACE_MS;
use millrudder_exchange::{Exchange, Message};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Fronts accept jobs of a dropped class for `DROPPED_CLASS_GRACE_MS` more. This is how much longer the core knows
/// the class, because accepted jobs may wait in the exchange's queue (ms).
const QUEUED_JOB_GRACE_MS: f64 = 1_000.0;

/// The part of reloaded settings that the core uses.
pub struct ReloadedSettings {
    pub settings: mr::Settings,
    /// The names of what `settings` refers to by index, such as classes and zones.
    pub names: Names,
    /// How long a connection to a worker may stand idle (ms).
    pub conn_idle: f64,
}

/// Reloaded settings that the core has not applied yet. A newer reload replaces an older one.
#[derive(Clone, Default)]
pub struct PendingSettings(Arc<Mutex<Option<ReloadedSettings>>>);

impl PendingSettings {
    /// Sets them and wakes the dispatch coroutine.
    pub fn put(&self, settings: ReloadedSettings, exchange: &Exchange) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(settings);
        exchange.send(Message::SettingsChanged);
    }

    pub(super) fn take(&self) -> Option<ReloadedSettings> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// Classes that the settings no longer contain but of which jobs may still arrive, with the clock time (ms)
/// until which they are kept.
#[derive(Default)]
pub(super) struct DroppedClasses(BTreeMap<String, f64>);

impl DroppedClasses {
    /// Adds to the new settings the dropped classes that are still needed. Returns, for each class of the
    /// result, its index in the settings `before`.
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
            let until =
                *self.0.entry(name.clone()).or_insert(now + DROPPED_CLASS_GRACE_MS + QUEUED_JOB_GRACE_MS);
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
