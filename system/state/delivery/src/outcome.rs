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
const CONFLICT_PAUSE_MS: u32 = 100;
const FULL_PAUSE_MS: u32 = 50;

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
pub(crate) enum Sign {
    Answered,
    /// It answered that it has no room.
    Full,
    /// Another process than the one meant.
    Misnamed,
    Silent,
}

/// The end of an attempt, read.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Reading {
    pub outcome: Outcome,
    pub verdict: Verdict,
    pub sign: Sign,
    pub load: Option<Load>,
    /// The message waits so long at least (ms).
    pub least_pause_ms: u32,
}

/// Reads the end of an attempt of a message that failed `failed_attempts` times before.
pub(crate) fn read(result: AttemptResult, failed_attempts: u32) -> Reading {
    let silent =
        |outcome, verdict| Reading { outcome, verdict, sign: Sign::Silent, load: None, least_pause_ms: 0 };
    match result {
        AttemptResult::Answer(answer) => read_answer(answer, failed_attempts),
        AttemptResult::NotConnected | AttemptResult::ResetBeforeSent => {
            silent(Outcome::ConnectError, Verdict::NotRun)
        }
        AttemptResult::TimedOut { connected: false } => silent(Outcome::ConnectError, Verdict::NotRun),
        AttemptResult::TimedOut { connected: true } => silent(Outcome::TimedOut, Verdict::Unknown),
        AttemptResult::Reset => silent(Outcome::ResetByPeer, Verdict::Unknown),
        AttemptResult::InvalidResponse => silent(Outcome::Failed, Verdict::Unknown),
    }
}

fn read_answer(answer: Answer, failed_attempts: u32) -> Reading {
    let load = answer.load;
    let reading = |outcome, verdict, sign| Reading { outcome, verdict, sign, load, least_pause_ms: 0 };
    if answer.status == MISDIRECTED {
        return reading(Outcome::Ignored, Verdict::NotRun, Sign::Misnamed);
    }
    if answer.not_executed {
        return match answer.status {
            // The other run of the message is under way: no fault of the worker.
            CONFLICT => Reading {
                least_pause_ms: CONFLICT_PAUSE_MS,
                ..reading(Outcome::Ignored, Verdict::NotRun, Sign::Answered)
            },
            UNAVAILABLE | TOO_MANY => Reading {
                least_pause_ms: FULL_PAUSE_MS,
                ..reading(Outcome::QueueFull, Verdict::NotRun, Sign::Full)
            },
            _ => reading(Outcome::Failed, Verdict::NotRun, Sign::Answered),
        };
    }
    // A head alone proves no end: only a whole answer binds both sides.
    if !answer.complete {
        return reading(Outcome::ResetByPeer, Verdict::Unknown, Sign::Answered);
    }
    match (answer.status, answer.signature) {
        (200..=299, Some(signature)) => {
            reading(Outcome::Ok, Verdict::Succeeded { signature }, Sign::Answered)
        }
        // The message's fault: the worker is as well as before.
        (REFUSED, _) => reading(Outcome::Ignored, Verdict::Refused, Sign::Answered),
        // So is an attempt that fails once more, probably.
        (FAILED, _) if failed_attempts > 0 => reading(Outcome::Ignored, Verdict::Failed, Sign::Answered),
        (FAILED, _) => reading(Outcome::Failed, Verdict::Failed, Sign::Answered),
        _ => reading(Outcome::Failed, Verdict::Unknown, Sign::Answered),
    }
}
