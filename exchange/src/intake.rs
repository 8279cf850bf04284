//! What any front may let in: the same rules whatever protocol a job comes by. What passes on has to mean the same
//! to every next hop.

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
pub const JOB_PATH: &str = "/api";

/// A class of jobs, as far as fronts know it.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: String,
    /// Its jobs carry a key by which next hops drop repeats.
    pub keyed: bool,
    /// How long a job's client waits if it does not say (ms).
    pub limit: f64,
}

/// Printable ASCII and no fragment; the length is for the caller to check against [`TARGET_LIMIT`].
pub fn is_target(target: &str) -> bool {
    target.bytes().all(|b| b.is_ascii_graphic() && b != b'#')
}

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
