//! Every way in which a loss of power can go.

use super::{CrashOutcome, PendingChange, SimulatedFolder};

impl SimulatedFolder {
    /// Runs `check` on a copy of the folder for every combination of fates of its pending changes, power lost and
    /// restored. A change has the fates that `choices` names for it; [`CrashOutcome::choices`] names those that matter for
    /// framed files. Their number grows exponentially with the pending changes: keep these few.
    ///
    /// Returns the number of combinations.
    pub fn for_each_loss(
        &self,
        choices: impl FnMut(&PendingChange) -> Vec<CrashOutcome>,
        mut check: impl FnMut(Self),
    ) -> usize {
        let choices: Vec<Vec<CrashOutcome>> = self.pending().iter().map(choices).collect();
        let combinations = choices.iter().map(Vec::len).product();
        for combination in 0..combinations {
            let mut fates = nth_combination(&choices, combination).into_iter();
            let lost = self.fork();
            lost.lose_power_with(|_| fates.next().expect("one fate for each pending change"));
            check(lost);
        }
        combinations
    }
}

/// One fate of each change: the digits of `combination` to the bases of the numbers of choices.
fn nth_combination(choices: &[Vec<CrashOutcome>], mut combination: usize) -> Vec<CrashOutcome> {
    let mut fates = Vec::new();
    for choice in choices {
        fates.push(choice[combination % choice.len()].clone());
        combination /= choice.len();
    }
    fates
}
