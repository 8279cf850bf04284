//! Admission control: which front may accept a job when several fronts compete for limited resources.
//!
//! Two resources, places (jobs at once) and bytes of job bodies, are shared by weighted max-min fairness
//! (Bertsekas and Gallager, Data Networks, 2nd ed., section 6.5.2): the front that uses least for its weight
//! has precedence, and the part of a share that a front does not ask for is lent to the others. There is no
//! queue: a job without room is refused at once, with the time after which to retry, and the refusal counts for
//! a while as the front's claim on the units that become free next.
//!
//! The crate has no I/O and no clock. Callers pass the time in milliseconds of any clock that does not go back.

mod admission;
mod pool;

pub use admission::{Admission, Capacity, Held, Refused, Shortage, Usage};
pub use pool::{CLAIM_LIFE_MS, KEPT_PART};

/// Jain's fairness index of the amounts relative to the weights: 1 if they are even, 1/n if one of n gets all.
/// It is 1 if nobody gets anything.
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
