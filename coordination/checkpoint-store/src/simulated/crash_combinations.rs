//! Enumerates every combination of outcomes of a loss of power.

use super::{CrashOutcome, PendingChange, SimulatedFolder};

impl SimulatedFolder {
    /// Runs `check` on a copy of the folder for every combination of outcomes of its pending changes, after power was
    /// lost and restored. `choices` lists the outcomes of a change; [`CrashOutcome::choices`] lists those that matter
    /// for record files. The number of combinations grows exponentially with the pending changes: keep these few.
    ///
    /// Returns the number of combinations.
    ///
    /// # Panics
    /// `check` panics.
    pub fn for_each_crash(
        &self,
        choices: impl FnMut(&PendingChange) -> Vec<CrashOutcome>,
        mut check: impl FnMut(Self),
    ) -> usize {
        let choices: Vec<Vec<CrashOutcome>> = self.pending().iter().map(choices).collect();
        let combinations = choices.iter().map(Vec::len).product();
        for combination in 0..combinations {
            let mut outcomes = nth_combination(&choices, combination).into_iter();
            let crashed = self.fork();
            crashed.lose_power_with(|_| {
                outcomes.next().expect("a fork has the pending changes that the outcomes were chosen for")
            });
            check(crashed);
        }
        combinations
    }
}

/// One outcome of each change: the digits of `combination` to the bases of the numbers of choices.
fn nth_combination(choices: &[Vec<CrashOutcome>], mut combination: usize) -> Vec<CrashOutcome> {
    let mut outcomes = Vec::new();
    for choice in choices {
        outcomes.push(choice[combination % choice.len()].clone());
        combination /= choice.len();
    }
    outcomes
}
