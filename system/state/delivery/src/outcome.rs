//! What the end of an attempt means: for the decision module, for the service's health, for the message.

use crate::interface::{Answer, AttemptResult, Load};
use millrudder::Outcome;

/// Statuses of PROTOCOL, "Workers".
const FAILED: u16 = 500;
const REFUSED: u16 = 422;
const MISDIRECTED: u16 = 421;
const CONFLICT: u16 = 409;
const TOO_MANY: u16 = 429;
const UNAVAILABLE: u16 = 503;

/// Pauses (ms) after which the other run of a message may have ended, and after which a worker may have room.
const CONFLICT_RETRY_MS: u32 = 100;
const FULL_RETRY_MS: u32 = 50;

/// What became of the message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Succeeded { signature: String },
    Refused,
    Failed,
    NotRun,
    Unknown,
}

/// Whether the attempt shows that somebody is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerKind {
    Answered,
    /// It answered that it has no room.
    Full,
    /// Another process than the one meant.
    Misdirected,
    NoAnswer,
}

/// The end of an attempt, read.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Interpretation {
    pub outcome: Outcome,
    pub verdict: Verdict,
    pub answer_kind: AnswerKind,
    pub load: Option<Load>,
    /// The message waits so long at least (ms).
    pub min_retry_after_ms: u32,
}

/// Reads the end of an attempt of a message that failed `failed_attempts` times before.
pub(crate) fn interpret(result: AttemptResult, failed_attempts: u32) -> Interpretation {
    let no_answer = |outcome, verdict| Interpretation {
        outcome,
        verdict,
        answer_kind: AnswerKind::NoAnswer,
        load: None,
        min_retry_after_ms: 0,
    };
    match result {
        AttemptResult::Answer(answer) => interpret_answer(answer, failed_attempts),
        AttemptResult::NotConnected | AttemptResult::ResetBeforeSent => {
            no_answer(Outcome::ConnectError, Verdict::NotRun)
        }
        AttemptResult::TimedOut { connected: false } => no_answer(Outcome::ConnectError, Verdict::NotRun),
        AttemptResult::TimedOut { connected: true } => no_answer(Outcome::TimedOut, Verdict::Unknown),
        AttemptResult::Reset => no_answer(Outcome::ResetByPeer, Verdict::Unknown),
        AttemptResult::InvalidResponse => no_answer(Outcome::Failed, Verdict::Unknown),
    }
}

fn interpret_answer(answer: Answer, failed_attempts: u32) -> Interpretation {
    let load = answer.load;
    let interpretation = |outcome, verdict, answer_kind| Interpretation {
        outcome,
        verdict,
        answer_kind,
        load,
        min_retry_after_ms: 0,
    };
    if answer.status == MISDIRECTED {
        return interpretation(Outcome::Ignored, Verdict::NotRun, AnswerKind::Misdirected);
    }
    if answer.not_executed {
        return match answer.status {
            // The other run of the message is under way: no fault of the worker.
            CONFLICT => Interpretation {
                min_retry_after_ms: CONFLICT_RETRY_MS,
                ..interpretation(Outcome::Ignored, Verdict::NotRun, AnswerKind::Answered)
            },
            UNAVAILABLE | TOO_MANY => Interpretation {
                min_retry_after_ms: FULL_RETRY_MS,
                ..interpretation(Outcome::QueueFull, Verdict::NotRun, AnswerKind::Full)
            },
            _ => interpretation(Outcome::Failed, Verdict::NotRun, AnswerKind::Answered),
        };
    }
    // A head alone proves no end: only a whole answer binds both sides.
    if !answer.complete {
        return interpretation(Outcome::ResetByPeer, Verdict::Unknown, AnswerKind::Answered);
    }
    match (answer.status, answer.signature) {
        (200..=299, Some(signature)) => {
            interpretation(Outcome::Ok, Verdict::Succeeded { signature }, AnswerKind::Answered)
        }
        // The message's fault: the worker is as well as before.
        (REFUSED, _) => interpretation(Outcome::Ignored, Verdict::Refused, AnswerKind::Answered),
        (FAILED, _) if failed_attempts > 0 => {
            interpretation(Outcome::Ignored, Verdict::Failed, AnswerKind::Answered)
        }
        // So is an attempt that fails once more, probably.
        (FAILED, _) => interpretation(Outcome::Failed, Verdict::Failed, AnswerKind::Answered),
        _ => interpretation(Outcome::Failed, Verdict::Unknown, AnswerKind::Answered),
    }
}
