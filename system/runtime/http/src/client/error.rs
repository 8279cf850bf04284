//! Why a request got no answer, and what that says of its execution.

use thiserror::Error;

/// Why a connection did not open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The peer's machine refused or reset it.
    Refused,
    /// The peer did not answer within the connect time-out.
    TimedOut,
    /// This machine could not open it: no route, no file descriptors, no ports.
    Local,
}

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SendError {
    /// No connection was opened; nothing was sent.
    #[error("not connected: {0:?}")]
    NotConnected(ConnectFailure),
    /// All connections that the target allows are busy; nothing was sent.
    #[error("all connections to the target are busy")]
    NoConnectionLeft,
    /// The connection failed before the operating system took any byte of the request.
    #[error("connection failed before the request was sent")]
    ResetBeforeSent,
    /// The connection failed or ended before the answer's headers, or before the end of the answer to a call-back; the
    /// request may have been executed.
    #[error("connection failed before the answer")]
    Reset,
    /// The time-out passed.
    #[error("timed out")]
    TimedOut {
        /// False where no byte of the request was sent.
        sent: bool,
    },
    /// What was received is not an answer to this request; it may have been executed.
    #[error("not an answer to the request")]
    Garbled,
}

impl SendError {
    /// Whether the peer may have received the request, and may have executed it.
    pub fn may_have_run(&self) -> bool {
        match self {
            SendError::Reset | SendError::Garbled => true,
            SendError::TimedOut { sent } => *sent,
            SendError::NotConnected(_) | SendError::NoConnectionLeft | SendError::ResetBeforeSent => false,
        }
    }
}

/// Why a resource was not fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FetchError {
    /// There was no answer.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The body was truncated or malformed.
    #[error("the answer was truncated")]
    Truncated,
    /// The body is over the limit.
    #[error("the answer is over the limit")]
    TooLarge,
}
