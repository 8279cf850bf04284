//! What a worker does with a delivery.

use hyper::StatusCode;

/// What a worker does with a delivery, if it is not full and the delivery is meant for it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Runs and answers 200 with a signature.
    #[default]
    Succeed,
    /// Runs and answers 500 so many times for each message, and succeeds from then on.
    FailFirst {
        /// How many attempts of each message fail.
        failures: u32,
    },
    /// Runs and answers 500, always.
    FailAlways,
    /// Runs and answers 422.
    RefuseForGood,
    /// Runs, and never answers; the connection stays open.
    StaySilent,
    /// Runs, and closes the connection without an answer.
    LoseAnswer,
    /// Runs, and closes the connection in the middle of the answer's body.
    CutAnswer,
    /// Runs and answers; the same answer is sent again, once it has passed the worker's answer gate.
    AnswerTwice,
    /// Runs; the answer waits at the worker's answer gate.
    AnswerLate,
    /// Runs, and resets the connection instead of an answer.
    ResetAfterRun,
    /// Resets the connection without a run.
    ResetBeforeRun,
    /// Says that it has not run the message.
    TurnAway(NotExecuted),
}

/// Why a worker has not run a delivery.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotExecuted {
    /// 503: all slots and places to wait are taken.
    Full,
    /// 429: beyond the rate of the service.
    OverRate,
    /// 421: meant for another incarnation.
    OtherInstance,
    /// 409: the same request is running.
    Running,
    /// 400: the request has no id.
    NoRequestId,
}

impl NotExecuted {
    /// The status that says so.
    pub fn status(self) -> StatusCode {
        match self {
            NotExecuted::Full => StatusCode::SERVICE_UNAVAILABLE,
            NotExecuted::OverRate => StatusCode::TOO_MANY_REQUESTS,
            NotExecuted::OtherInstance => StatusCode::MISDIRECTED_REQUEST,
            NotExecuted::Running => StatusCode::CONFLICT,
            NotExecuted::NoRequestId => StatusCode::BAD_REQUEST,
        }
    }
}
