//! Admission over both resources: a job gets a place and its bytes, or neither.

use crate::pool::Pool;

/// Advice with a refusal lies between these (ms): sooner would only be refused again, later than a claim counts.
const SOONEST_MS: f64 = 50.0;
const LATEST_MS: f64 = 900.0;
/// Before anything has ended, nothing is known of how fast places become free (ms).
const FIRST_ADVICE_MS: f64 = 500.0;
/// Of the mean time between two ends, the weight of the newest: about the last 32 count.
const NEWEST: f64 = 1.0 / 32.0;

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
#[must_use = "what is held has to be given back"]
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

pub struct Admission {
    places: Pool,
/// Admission control over all fronts.
    bytes: Pool,
    last_end: Option<f64>,
    /// Mean time between two ends of jobs (ms).
    gap: Option<f64>,
}

impl Admission {
    /// `weights` has one entry for each front; its index in the list identifies the front.
    pub fn new(capacity: Capacity, weights: &[u32]) -> Self {
        Admission {
            places: Pool::new(capacity.places, weights),
            bytes: Pool::new(capacity.bytes, weights),
            last_end: None,
            gap: None,
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
        let retry_after = self.advice(now);
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
            self.gap = Some(self.gap.map_or(gap, |mean| mean + (gap - mean) * NEWEST));
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

    fn advice(&self, now: f64) -> f64 {
        let ahead = self.places.claims(now) + 1;
        self.gap.map_or(FIRST_ADVICE_MS, |gap| (gap * ahead as f64).clamp(SOONEST_MS, LATEST_MS))
    }
}
