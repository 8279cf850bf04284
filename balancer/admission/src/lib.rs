//! Who gets a place when several fronts ask for it.
//!
//! Places for jobs and bytes of their bodies are shared by weighted max-min fairness (Bertsekas and Gallager, Data
//! Networks, 2nd ed., section 6.5.2): whoever is furthest behind for its weight comes first, and what one does not
//! ask for is lent to the others. Nothing waits here: what finds no place is refused at once, with advice when to
//! come back, and the refusal is remembered for a while as a claim on what becomes free next.
//!
//! No I/O and no clock: callers pass the time in, in milliseconds of any clock that does not go back.

mod admission;
mod pool;

pub use admission::{Admission, Capacity, Held, Refused, Shortage, Usage};
pub use pool::{CLAIM_LIFE_MS, KEPT_PART};

/// Jain's fairness index of what each got for its weight: 1 is even, 1/n all to one. 1 for nothing at all.
///
/// Jain, Chiu, Hawe: A Quantitative Measure of Fairness (DEC-TR-301, 1984).
pub fn fairness(got: &[f64], weights: &[f64]) -> f64 {
    let parts: Vec<f64> = got.iter().zip(weights).map(|(got, weight)| got / weight).collect();
    let (sum, squares) = parts.iter().fold((0.0, 0.0), |(sum, squares), x| (sum + x, squares + x * x));
    if squares > 0.0 {
        sum * sum / (parts.len() as f64 * squares)
    } else {
        1.0
    }
}
