//! Admission over both resources: a job gets a place and its bytes, or neither.

use crate::pool::Pool;

/// Least time to a retry that a refusal advises (ms); a retry before that would only be refused again.
const MIN_RETRY_MS: f64 = 50.0;
/// Longest time to a retry that a refusal advises (ms). It is below [`crate::CLAIM_LIFE_MS`], so that the claim
/// still counts at the retry.
const MAX_RETRY_MS: f64 = 900.0;
/// Advised time to a retry as long as too few jobs have ended to know how fast places become free (ms).
const DEFAULT_RETRY_MS: f64 = 500.0;
/// Weight of the newest value in the moving average of the time between two ends of jobs: about the last 32 count.
const NEWEST_WEIGHT: f64 = 1.0 / 32.0;

/// The amounts that fronts share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Jobs that may be admitted at the same time.
    pub places: u64,
    /// Total bytes of their bodies.
    pub bytes: u64,
}

/// The place and the bytes of one admitted job. It must be passed to [`Admission::give_back`] exactly once; it
/// cannot be copied, nor created outside this module.
#[derive(Debug)]
#[must_use = "the place and the bytes must be given back"]
pub struct Held {
    front: usize,
    bytes: u64,
}

/// The resource that was short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    Places,
    Bytes,
}

/// Refusal of a job for want of room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    pub shortage: Shortage,
    /// When to retry (ms from now): about when all units claimed before this refusal will have become free.
    pub retry_after: f64,
}

/// What one front uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    pub places: u64,
    pub bytes: u64,
    /// Places that the front can always claim, by its weight.
    pub share: u64,
}

/// Admission control over all fronts.
pub struct Admission {
    places: Pool,
    bytes: Pool,
    last_end: Option<f64>,
    /// Moving average of the time between two ends of jobs (ms).
    mean_gap: Option<f64>,
}

impl Admission {
    /// `weights` has one entry for each front; its index in the list identifies the front.
    pub fn new(capacity: Capacity, weights: &[u32]) -> Self {
        Admission {
            places: Pool::new(capacity.places, weights),
            bytes: Pool::new(capacity.bytes, weights),
            last_end: None,
            mean_gap: None,
        }
    }

    /// Takes a place and `bytes` bytes for one job.
    ///
    /// # Errors
    /// States which resource is short, and when to retry. The refusal counts as a claim for [`crate::CLAIM_LIFE_MS`].
    pub fn take(&mut self, front: usize, bytes: u64, now: f64) -> Result<Held, Refused> {
        let shortage = match () {
            () if !self.places.has_room(front, 1, now) => Shortage::Places,
            () if !self.bytes.has_room(front, bytes, now) => Shortage::Bytes,
            () => {
                self.places.take(front, 1);
                self.bytes.take(front, bytes);
                return Ok(Held { front, bytes });
            }
        };
        let retry_after = self.retry_after(now);
        match shortage {
            Shortage::Places => self.places.claim(front, 1, now),
            Shortage::Bytes => self.bytes.claim(front, bytes, now),
        }
        Err(Refused { shortage, retry_after })
    }

    pub fn give_back(&mut self, held: Held, now: f64) {
        self.places.give_back(held.front, 1);
        self.bytes.give_back(held.front, held.bytes);
        if let Some(last) = self.last_end.replace(now) {
            let gap = (now - last).max(0.0);
            self.mean_gap = Some(self.mean_gap.map_or(gap, |mean| mean + (gap - mean) * NEWEST_WEIGHT));
        }
    }

    /// Sets new weights for the same fronts; nothing that is in use is taken back.
    pub fn set_weights(&mut self, weights: &[u32]) {
        self.places.set_weights(weights);
        self.bytes.set_weights(weights);
    }

    pub fn usage(&self, front: usize) -> Usage {
        Usage {
            places: self.places.used(front),
            bytes: self.bytes.used(front),
            share: self.places.share(front),
        }
    }

    fn retry_after(&self, now: f64) -> f64 {
        let ahead = self.places.claims(now) + 1;
        self.mean_gap.map_or(DEFAULT_RETRY_MS, |gap| (gap * ahead as f64).clamp(MIN_RETRY_MS, MAX_RETRY_MS))
    }
}
