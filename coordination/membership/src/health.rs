//! Local health awareness: how far this process can trust its own observations of others.

use crate::identity::MemberName;

/// Highest score; time-outs are then five times as long.
const MAX_SCORE: u32 = 4;

/// Least score once several members in succession did not answer: this process may be the cause.
const MIN_SCORE_AFTER_FAILURES: u32 = 1;

/// So many different members in succession without an answer count against this process.
const FAILURES_SUGGESTING_LOCAL_FAULT: u32 = 2;

/// Score of the local health multiplier (Lifeguard, section 4.1): signs that this process is slow or badly connected
/// raise it, answered probes lower it. Time-outs are multiplied by the score plus one.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
    /// Different members that did not answer since one did.
    consecutive_failures: u32,
    last_failed: Option<MemberName>,
}

impl LocalHealth {
    /// A late timer, a late answer, or suspicion by others.
    pub fn record_degradation(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// A probe was answered within the usual wait: an answer that took longer is no sign of health.
    pub fn record_timely_answer(&mut self) {
        self.score = self.score.saturating_sub(1);
        self.consecutive_failures = 0;
        self.last_failed = None;
    }

    /// A probe was not answered.
    pub fn record_missing_answer(&mut self, target: &MemberName) {
        if self.last_failed.as_ref() != Some(target) {
            self.consecutive_failures += 1;
            self.last_failed = Some(target.clone());
        }
        if self.consecutive_failures >= FAILURES_SUGGESTING_LOCAL_FAULT {
            self.score = self.score.max(MIN_SCORE_AFTER_FAILURES);
        }
    }

    /// Factor of all time-outs.
    pub const fn multiplier(&self) -> u32 {
        self.score + 1
    }
}
