//! The door that all fronts share: admission behind a lock, and permits that give themselves back.

use crate::clock::Clock;
use crate::Front;
use millrudder_admission::{Admission, Capacity, Held, Refused, Usage};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Every front holds a copy. A front that is not in use has no weight and so no share.
#[derive(Clone)]
pub struct AdmissionGate {
    admission: Arc<Mutex<Admission>>,
    fronts: Arc<[Front]>,
    clock: Clock,
}

/// One job's place; given back when dropped.
pub struct Permit {
    admission_gate: AdmissionGate,
    held: Option<Held>,
}

impl AdmissionGate {
    /// `weights`: the fronts in use, each with its weight.
    pub fn new(capacity: Capacity, weights: &[(Front, u32)], clock: Clock) -> Self {
        let numbers: Vec<u32> = weights.iter().map(|(_, weight)| *weight).collect();
        AdmissionGate {
            admission: Arc::new(Mutex::new(Admission::new(capacity, &numbers))),
            fronts: weights.iter().map(|(front, _)| *front).collect(),
            clock,
        }
    }

    /// A place for one job with a body of so many bytes.
    ///
    /// # Errors
    /// What is lacking, and when to come back.
    pub fn enter(&self, front: Front, bytes: usize) -> Result<Permit, Refused> {
        let held = self.admission().take(self.number(front), bytes as u64, self.clock.now())?;
        Ok(Permit { admission_gate: self.clone(), held: Some(held) })
    }

    /// New weights for the fronts in use; others are passed over.
    pub fn set_weights(&self, weights: &[(Front, u32)]) {
        let weight =
            |front: &Front| weights.iter().find(|(f, _)| f == front).map_or(1, |(_, weight)| *weight);
        let numbers: Vec<u32> = self.fronts.iter().map(weight).collect();
        self.admission().set_weights(&numbers);
    }

    /// What a front uses, and its fair share.
    pub fn usage(&self, front: Front) -> Usage {
        self.admission().usage(self.number(front))
    }

    /// The fronts in use.
    pub fn fronts(&self) -> &[Front] {
        &self.fronts
    }

    /// Fronts are made from the same settings as the gate: one without a weight does not run.
    fn number(&self, front: Front) -> usize {
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
