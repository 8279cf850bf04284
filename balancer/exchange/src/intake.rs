//! Validation rules for jobs, the same for every front whatever its protocol. Forwarded values must mean the
//! same to every worker, so only unambiguous forms are accepted.

use std::sync::{Arc, PoisonError, RwLock};

/// Longest id of a job (bytes); the id becomes part of a path at the worker.
pub const ID_LIMIT: usize = 128;
/// Longest target that is forwarded (bytes); workers need not accept longer ones.
pub const TARGET_LIMIT: usize = 2_048;
/// Longest header value that is forwarded (bytes).
pub const VALUE_LIMIT: usize = 512;
/// Largest body that the platform allows (bytes).
pub const BODY_LIMIT: usize = 64 * 1024;
/// Most slots that a job can ask for; no machine has as many. Sums over jobs stay exact up to it.
pub const MAX_SLOTS: f64 = 1_000_000.0;
/// Longest time-out that a client can ask for: one day (ms).
pub const LONGEST_WAIT_MS: f64 = 86_400_000.0;
/// The only method with which jobs are sent to workers. Any other method or path would let a client reach a
/// worker's other endpoints, such as the cancel of a job.
pub const JOB_METHOD: &str = "POST";
/// The only path to which jobs are sent at workers; see [`JOB_METHOD`].
pub const JOB_PATH: &str = "/api";

/// The part of a job class's settings that fronts use.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Whether its jobs must carry a key by which workers detect duplicates.
    pub keyed: bool,
    /// Time until the deadline of a job whose client does not state one (ms).
    pub default_timeout: f64,
    /// Time until which its jobs are accepted (ms on the dispatcher's clock); infinite unless new settings have
    /// dropped the class.
    pub accepted_until: f64,
}

/// How long jobs of a class are still accepted after new settings have dropped it (ms), because clients learn
/// of the change later than this program.
pub const DROPPED_CLASS_GRACE_MS: f64 = 2_000.0;

/// The current job classes, shared by all fronts and replaced as a whole.
#[derive(Clone)]
pub struct Classes(Arc<RwLock<Arc<Vec<Class>>>>);

impl Classes {
    /// Starts with the classes of the first settings.
    pub fn new(classes: Vec<Class>) -> Self {
        Classes(Arc::new(RwLock::new(Arc::new(classes))))
    }

    /// The current classes, including dropped ones that are still accepted.
    pub fn now(&self) -> Arc<Vec<Class>> {
        self.0.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes over the classes of new settings; a dropped class stays for [`DROPPED_CLASS_GRACE_MS`].
    pub fn replace(&self, mut new_classes: Vec<Class>, now: f64) {
        let mut known = self.0.write().unwrap_or_else(PoisonError::into_inner);
        let is_dropped = |c: &&Class| new_classes.iter().all(|n| n.name != c.name) && c.accepted_until > now;
        let dropped: Vec<Class> = known
            .iter()
            .filter(is_dropped)
            .map(|c| Class {
                accepted_until: c.accepted_until.min(now + DROPPED_CLASS_GRACE_MS),
                ..c.clone()
            })
            .collect();
        new_classes.extend(dropped);
        *known = Arc::new(new_classes);
    }
}

/// Finds the class by its name, if its jobs are accepted at `now`.
pub fn find_class<'a>(classes: &'a [Class], name: &str, now: f64) -> Option<&'a Class> {
    classes.iter().find(|known| known.name == name && now < known.accepted_until)
}

/// Whether the target is printable ASCII without spaces and without a fragment. The caller checks the length
/// against [`TARGET_LIMIT`].
pub fn is_target(target: &str) -> bool {
    target.bytes().all(|b| b.is_ascii_graphic() && b != b'#')
}

/// Whether the value is printable ASCII; spaces are allowed.
pub fn is_plain(value: &str) -> bool {
    value.bytes().all(|b| b.is_ascii_graphic() || b == b' ')
}

/// Whether this is a valid id of a job: 1 to [`ID_LIMIT`] of the characters that a URL path leaves unescaped.
/// An id of dots only is refused, because `.` and `..` would name another path.
pub fn is_id(id: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
    !id.is_empty() && id.len() <= ID_LIMIT && id.bytes().all(allowed) && id.bytes().any(|b| b != b'.')
}

/// Whether this is a valid number for a job's property, such as its slots: finite and not negative.
pub fn is_figure(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

/// Whether this is a valid number of slots for a job: a number as of [`is_figure`], up to [`MAX_SLOTS`].
pub fn is_slots(value: f64) -> bool {
    is_figure(value) && value <= MAX_SLOTS
}

#[cfg(test)]
mod tests;
