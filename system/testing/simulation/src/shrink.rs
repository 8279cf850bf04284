//! Shrinks the plan of a failed run.

use crate::explore::Failure;
use crate::plan::Plan;
use crate::violation::Violation;

/// Drops the faults that the failure does not need; `play` runs a plan from its beginning.
pub fn shrink(failure: Failure, play: impl Fn(&Plan) -> Result<(), Violation>) -> Failure {
    let mut failure = failure;
    let mut index = failure.plan.faults.len();
    while index > 0 {
        index -= 1;
        let mut fewer = failure.plan.clone();
        fewer.faults.remove(index);
        if let Err(violation) = play(&fewer) {
            failure = Failure { plan: fewer, violation };
        }
    }
    failure
}
