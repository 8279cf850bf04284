//! What any front may let in: the same rules whatever protocol a job comes by. What passes on has to mean the same
//! to every next hop.

use std::sync::{Arc, PoisonError, RwLock};

/// An id becomes part of a path at the next hop (bytes).
pub const ID_LIMIT: usize = 128;
/// What passes on of a target (bytes): a next hop need not take more.
pub const TARGET_LIMIT: usize = 2_048;
/// What passes on of a header (bytes).
pub const VALUE_LIMIT: usize = 512;
/// The platform's limit on a body (bytes).
pub const BODY_LIMIT: usize = 64 * 1024;
/// Longer than a day is no span that a client waits (ms).
pub const LONGEST_WAIT_MS: f64 = 86_400_000.0;
/// The one method and the one path by which jobs go to next hops. Any other would let a client reach what next hops
/// serve beside jobs, such as call-offs.
pub const JOB_METHOD: &str = "POST";
/// The path; see [`JOB_METHOD`].
pub const JOB_PATH: &str = "/api";

/// A class of jobs, as far as fronts know it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its jobs carry a key by which next hops drop repeats.
    pub keyed: bool,
    /// How long a job's client waits if it does not say (ms).
    pub default_timeout: f64,
    /// Its jobs are taken until then; infinite unless the settings have dropped it.
    pub accepted_until: f64,
}

/// How long jobs of a class are taken that new settings have dropped (ms): clients learn of it later than this program.
pub const DROPPED_CLASS_GRACE_MS: f64 = 2_000.0;

/// The classes as all fronts see them, replaced whole.
#[derive(Clone)]
pub struct Classes(Arc<RwLock<Arc<Vec<Class>>>>);

impl Classes {
    /// The classes of the settings at the start.
    pub fn new(classes: Vec<Class>) -> Self {
        Classes(Arc::new(RwLock::new(Arc::new(classes))))
    }

    /// The classes that are known now.
    pub fn now(&self) -> Arc<Vec<Class>> {
        self.0.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Those of new settings; what they have dropped stays known for a while.
    pub fn replace(&self, mut newer: Vec<Class>, now: f64) {
        let mut known = self.0.write().unwrap_or_else(PoisonError::into_inner);
        let gone = |c: &&Class| newer.iter().all(|n| n.name != c.name) && c.accepted_until > now;
        let dropped: Vec<Class> = known
            .iter()
            .filter(gone)
            .map(|c| Class {
                accepted_until: c.accepted_until.min(now + DROPPED_CLASS_GRACE_MS),
                ..c.clone()
            })
            .collect();
        newer.extend(dropped);
        *known = Arc::new(newer);
    }
}

/// The class of this name, if its jobs are taken at this time.
pub fn find_class<'a>(classes: &'a [Class], name: &str, now: f64) -> Option<&'a Class> {
    classes.iter().find(|known| known.name == name && now < known.accepted_until)
}

/// Printable ASCII and no fragment; the length is for the caller to check against [`TARGET_LIMIT`].
pub fn is_target(target: &str) -> bool {
    target.bytes().all(|b| b.is_ascii_graphic() && b != b'#')
}

/// Printable ASCII, with spaces.
pub fn is_plain(value: &str) -> bool {
    value.bytes().all(|b| b.is_ascii_graphic() || b == b' ')
}

/// Only dots would name another path.
pub fn is_id(id: &str) -> bool {
    let known = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
    !id.is_empty() && id.len() <= ID_LIMIT && id.bytes().all(known) && id.bytes().any(|b| b != b'.')
}

/// A figure that a job carries, such as its slots.
pub fn is_figure(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

#[cfg(test)]
mod tests;
