//! The admission control that all fronts share, behind a lock. Permits release their place when dropped.

use crate::clock::Clock;
use crate::Front;
use millrudder_admission::{Admission, Capacity, Held, Refused, Usage};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Admission control shared by all fronts; clones share it. Only fronts in use have a weight, and so a share.
#[derive(Clone)]
pub struct AdmissionGate {
    admission: Arc<Mutex<Admission>>,
    fronts: Arc<[Front]>,
    clock: Clock,
}

/// The place of one admitted job and the bytes of its body, released on drop.
pub struct Permit {
    admission_gate: AdmissionGate,
    held: Option<Held>,
}

impl AdmissionGate {
    /// Shares `capacity` among the fronts in use, each given with its weight.
    pub fn new(capacity: Capacity, weights: &[(Front, u32)], clock: Clock) -> Self {
        let front_weights: Vec<u32> = weights.iter().map(|(_, weight)| *weight).collect();
        AdmissionGate {
            admission: Arc::new(Mutex::new(Admission::new(capacity, &front_weights))),
            fronts: weights.iter().map(|(front, _)| *front).collect(),
            clock,
        }
    }

    /// Admits one job with a body of this many bytes.
    ///
    /// # Errors
    /// States which resource is short, and when to retry.
    pub fn enter(&self, front: Front, bytes: usize) -> Result<Permit, Refused> {
        let held = self.admission().take(self.index(front), bytes as u64, self.clock.now())?;
        Ok(Permit { admission_gate: self.clone(), held: Some(held) })
    }

    /// Sets new weights for the fronts in use; other fronts are ignored, and a front in use that is not listed
    /// gets 1.
    pub fn set_weights(&self, weights: &[(Front, u32)]) {
        let weight =
            |front: &Front| weights.iter().find(|(f, _)| f == front).map_or(1, |(_, weight)| *weight);
        let front_weights: Vec<u32> = self.fronts.iter().map(weight).collect();
        self.admission().set_weights(&front_weights);
    }

    /// What a front uses now, and its fair share.
    pub fn usage(&self, front: Front) -> Usage {
        self.admission().usage(self.index(front))
    }

    /// The fronts in use.
    pub fn fronts(&self) -> &[Front] {
        &self.fronts
    }

    /// Index of the front in the admission's list of weights. Fronts are started from the same settings as the
    /// gate, so a front without a weight does not run and never asks.
    fn index(&self, front: Front) -> usize {
        self.fronts.iter().position(|f| *f == front).unwrap_or_default()
    }

    fn admission(&self) -> MutexGuard<'_, Admission> {
        self.admission.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(held) = self.held.take() {
            let now = self.admission_gate.clock.now();
            self.admission_gate.admission().give_back(held, now);
        }
    }
}

#[cfg(test)]
mod tests;
