//! New settings while jobs are here: what goes from the old list of classes into the new one.

use millrudder as mr;
use millrudder_config::Names;
use millrudder_exchange::intake::DROPPED_MS;
use millrudder_exchange::{Exchange, Message};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Fronts take a dropped class's jobs for `DROPPED_MS`; those may wait here for the core a little (ms).
const ON_THE_WAY_MS: f64 = 1_000.0;

/// What a reload brings the core.
pub struct Tuned {
    pub settings: mr::Settings,
    pub names: Names,
    /// How long a kept connection to a next hop may stand idle (ms).
    pub conn_idle: f64,
}

/// New settings on their way to the core; only the latest count.
#[derive(Clone, Default)]
pub struct Newer(Arc<Mutex<Option<Tuned>>>);

impl Newer {
    pub fn put(&self, tuned: Tuned, exchange: &Exchange) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(tuned);
        exchange.put(Message::Retuned);
    }

    pub(super) fn take(&self) -> Option<Tuned> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// Classes that the settings name no more but of which jobs may still come, with the time until which.
#[derive(Default)]
pub(super) struct Dropped(BTreeMap<String, f64>);

impl Dropped {
    /// Adds to the new classes those that are still needed; for each of the outcome its place before.
    pub fn merge(
        &mut self,
        before: (&Vec<String>, &mr::Settings),
        names: &mut Names,
        newer: &mut mr::Settings,
        now: f64,
    ) -> Vec<Option<usize>> {
        let (known, settings) = before;
        self.0.retain(|name, _| !names.classes.contains(name));
        for (name, class) in known.iter().zip(&settings.classes) {
            if names.classes.contains(name) {
                continue;
            }
            let until = *self.0.entry(name.clone()).or_insert(now + DROPPED_MS + ON_THE_WAY_MS);
            if until > now {
                names.classes.push(name.clone());
                newer.classes.push(class.clone());
            } else {
                self.0.remove(name);
            }
        }
        names.classes.iter().map(|name| known.iter().position(|k| k == name)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn set(classes: &[(&str, f64)]) -> (mr::Settings, Names) {
        let class = |(_, deadline): &(&str, f64)| mr::Class { deadline: *deadline, ..mr::Class::default() };
        let settings =
            mr::Settings { classes: classes.iter().map(class).collect(), ..mr::Settings::default() };
        let classes = classes.iter().map(|(name, _)| (*name).to_owned()).collect();
        (settings, Names { classes, ..Names::default() })
    }

    #[test]
    fn classes_keep_their_past_whatever_their_place_and_dropped_ones_go_in_time() {
        let ((old, old_names), (mut newer, mut names)) =
            (set(&[("a", 1.0), ("b", 2.0)]), set(&[("c", 3.0), ("b", 4.0)]));
        let mut dropped = Dropped::default();
        let from = dropped.merge((&old_names.classes, &old), &mut names, &mut newer, 0.0);
        assert_eq!(
            (names.classes.as_slice(), from),
            (&["c", "b", "a"].map(str::to_owned)[..], vec![None, Some(1), Some(0)])
        );
        let deadlines: Vec<f64> = newer.classes.iter().map(|c| c.deadline).collect();
        assert_eq!(deadlines, [3.0, 4.0, 1.0], "the new set's, and the dropped one's own");
        // Again and again: nothing is kept longer, nothing grows.
        let (mut settings, mut held) = (newer, names);
        for i in 1..100 {
            let (mut newer, mut names) = set(&[("b", 4.0)]);
            dropped.merge((&held.classes, &settings), &mut names, &mut newer, f64::from(i) * 100.0);
            (settings, held) = (newer, names);
        }
        assert_eq!(held.classes, ["b"]);
    }
}
