//! Interprets the end of an attempt: what it means for the balancer, for the service's health and for the message.

use crate::interface::{Answer, AttemptResult, Load};
use millrudder::Outcome;

/// HTTP statuses of workers with a meaning of their own (`PROTOCOL`, "Workers").
const FAILED: u16 = 500;
const REFUSED: u16 = 422;
const MISDIRECTED: u16 = 421;
const CONFLICT: u16 = 409;
const TOO_MANY: u16 = 429;
const UNAVAILABLE: u16 = 503;

/// Minimum backoff (ms) while another run of the same message is under way: it may have ended by then.
const CONFLICT_RETRY_MS: u32 = 100;
/// Minimum backoff (ms) after a worker was full: it may have room by then.
const FULL_RETRY_MS: u32 = 50;

/// Result of the attempt for the message, as its store counts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Succeeded {
        signature: String,
    },
    /// The worker refused the message permanently.
    Refused,
    /// The worker answered that this attempt failed.
    Failed,
    /// The message certainly did not run.
    NotRun,
    /// The message may have run or not.
    Unknown,
}

/// What kind of answer the attempt got from the worker, whatever became of the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerKind {
    /// An answer of any other kind.
    Answered,
    /// The worker has no room for the message (503 or 429, not executed).
    Full,
    /// Another worker process than the addressed one runs at this address (421).
    Misdirected,
    /// No answer, or none that belongs to the message.
    NoAnswer,
}

/// The interpreted end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Interpretation {
    /// Result as the balancer learns it.
    pub outcome: Outcome,
    pub verdict: Verdict,
    pub answer_kind: AnswerKind,
    pub load: Option<Load>,
    /// Minimum backoff of the message (ms).
    pub min_retry_after_ms: u32,
}

/// Interprets the end of an attempt of a message that had failed `failed_attempts` times before.
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
            // Another run of the same message is under way: not the worker's fault.
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
    // The head of an answer alone does not prove how the attempt ended: both sides rely on complete answers only.
    if !answer.complete {
        return interpretation(Outcome::ResetByPeer, Verdict::Unknown, AnswerKind::Answered);
    }
    match (answer.status, answer.signature) {
        (200..=299, Some(signature)) => {
            interpretation(Outcome::Ok, Verdict::Succeeded { signature }, AnswerKind::Answered)
        }
        // Refused because of the message: says nothing about the worker.
        (REFUSED, _) => interpretation(Outcome::Ignored, Verdict::Refused, AnswerKind::Answered),
        // A message that fails repeatedly is probably at fault itself, not the worker.
        (FAILED, _) if failed_attempts > 0 => {
            interpretation(Outcome::Ignored, Verdict::Failed, AnswerKind::Answered)
        }
        (FAILED, _) => interpretation(Outcome::Failed, Verdict::Failed, AnswerKind::Answered),
        _ => interpretation(Outcome::Failed, Verdict::Unknown, AnswerKind::Answered),
    }
}
