//! Local health awareness: how far this process can trust its own observations of other members.

use crate::identity::MemberName;

/// Maximum score. Time-outs are then five times as long as with a score of zero.
const MAX_SCORE: u32 = 4;

/// Minimum score after several members in a row did not answer, since this process may be the cause.
const MIN_SCORE_AFTER_FAILURES: u32 = 1;

/// Number of different members in a row that must fail to answer before this process is taken to be the cause.
const FAILURES_SUGGESTING_LOCAL_FAULT: u32 = 2;

/// Score of the local health multiplier (Lifeguard, section 4.1). It rises on signs that this process is slow or badly
/// connected, and falls with answered probes. Time-outs are multiplied by the score plus one.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalHealth {
    score: u32,
    /// Number of members that did not answer since the last timely answer. Repeated failures of one member count once.
    consecutive_failures: u32,
    last_failed: Option<MemberName>,
}

impl LocalHealth {
    /// Raises the score: a timer fired late, an answer came late, or others suspect this process.
    pub fn record_degradation(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Lowers the score: a probe was answered within the regular period. An answer that took longer must not be recorded here,
    /// since it is no sign of good health.
    pub fn record_timely_answer(&mut self) {
        self.score = self.score.saturating_sub(1);
        self.consecutive_failures = 0;
        self.last_failed = None;
    }

    /// Records that a probe of `target` was not answered.
    pub fn record_missing_answer(&mut self, target: &MemberName) {
        if self.last_failed.as_ref() != Some(target) {
            self.consecutive_failures += 1;
            self.last_failed = Some(target.clone());
        }
        if self.consecutive_failures >= FAILURES_SUGGESTING_LOCAL_FAULT {
            self.score = self.score.max(MIN_SCORE_AFTER_FAILURES);
        }
    }

    /// Returns the factor by which time-outs are extended.
    pub const fn multiplier(&self) -> u32 {
        self.score + 1
    }
}
