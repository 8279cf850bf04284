//! A client: sends messages, asks for their state and their bytes.

use crate::http::{self, exchange, header, Answer, ExchangeError};
use crate::identity::MessageId;
use crate::message::Message;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::{Request, StatusCode};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Callers wait so long for the state or the bytes of a message.
const STATUS_BOUND: Duration = Duration::from_secs(2);
/// How long a message's answer is waited for, unless the test says otherwise.
const MESSAGE_BOUND: Duration = Duration::from_secs(5);
const READINESS_PATH: &str = "/readiness";
/// Stands for a status where there was no dispatcher to send to.
const NOT_SENT: u16 = 0;

/// What the answer to a message means.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reception {
    /// 202: the message is the system's to keep.
    Accepted {
        /// The name that the system gave it; without one it is called by the request's id.
        named: Option<MessageId>,
    },
    /// 429, 503, 408 or 421: the message was not taken and will never run.
    NotTaken {
        /// The status code.
        status: u16,
        /// `Retry-After`.
        retry_after: Option<Duration>,
    },
    /// Another 4xx, such as 404 where there is no route.
    Rejected {
        /// The status code.
        status: u16,
    },
    /// Another 5xx: nothing is promised.
    Unclear {
        /// The status code.
        status: u16,
    },
    /// A status that no message should be answered with.
    Unexpected {
        /// The status code.
        status: u16,
    },
}

impl Reception {
    /// What an answer to a message means.
    pub fn of(answer: &Answer) -> Self {
        let status = answer.status.as_u16();
        match status {
            202 => Reception::Accepted { named: answer.header(header::MESSAGE_ID).map(MessageId::from) },
            408 | 421 | 429 | 503 => Reception::NotTaken { status, retry_after: retry_after(answer) },
            400..500 => Reception::Rejected { status },
            500..600 => Reception::Unclear { status },
            _ => Reception::Unexpected { status },
        }
    }
}

fn retry_after(answer: &Answer) -> Option<Duration> {
    let seconds = http::number(&answer.headers, hyper::header::RETRY_AFTER.as_str())?;
    Some(Duration::from_secs(seconds))
}

/// A message that was accepted.
#[derive(Clone, Debug)]
pub struct AcceptedMessage {
    /// The try that was accepted.
    pub message: Message,
    /// What the message is called from now on.
    pub message_id: MessageId,
}

impl AcceptedMessage {
    /// The message of the try that was answered with [`Reception::Accepted`].
    pub fn new(message: Message, named: Option<MessageId>) -> Self {
        let message_id = named.unwrap_or_else(|| MessageId::from(message.request_id.as_str()));
        Self { message, message_id }
    }
}

/// What came of sending a message to several dispatchers.
#[derive(Clone, Debug)]
pub enum Submission {
    /// One of them accepted it.
    Accepted(Box<AcceptedMessage>),
    /// None accepted it; this is what the last one said.
    Refused(Reception),
}

/// How far a message has come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum MessageState {
    /// It has not ended.
    Queued,
    /// A run succeeded.
    Completed,
    /// It ended without success.
    DeadLetter,
}

/// The state of a message as it was told.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct MessageStatus {
    /// How far it has come.
    pub state: MessageState,
    /// The signature of the run that succeeded.
    pub signature: Option<String>,
}

/// What came of asking for a state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StatusReply {
    /// The state.
    Known(MessageStatus),
    /// 404.
    Unknown,
    /// Another status, or a body that tells no state.
    Unavailable {
        /// The status code.
        status: u16,
    },
}

/// What came of asking for a message's bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyReply {
    /// The bytes.
    Known(Bytes),
    /// 404.
    Unknown,
    /// Another status.
    Unavailable {
        /// The status code.
        status: u16,
    },
}

/// A client, which makes a new connection for each request.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    bound: Duration,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// A client that waits some seconds for the answer to a message.
    pub fn new() -> Self {
        Self { bound: MESSAGE_BOUND }
    }

    /// Waits so long for the answer to a message.
    pub fn with_bound(mut self, bound: Duration) -> Self {
        self.bound = bound;
        self
    }

    /// Sends a message and gives the answer as it came.
    ///
    /// # Errors
    /// If no complete answer came.
    pub async fn exchange(&self, address: SocketAddr, message: &Message) -> Result<Answer, ExchangeError> {
        exchange(address, message.to_request()?, self.bound).await
    }

    /// Sends a message once.
    ///
    /// # Errors
    /// If no complete answer came; nothing is promised then.
    pub async fn send(&self, address: SocketAddr, message: &Message) -> Result<Reception, ExchangeError> {
        Ok(Reception::of(&self.exchange(address, message).await?))
    }

    /// Sends a message to one dispatcher after the other until one accepts it; each try has an id of its own, and
    /// the first has the message's. A try without an answer may have been accepted nevertheless, and is not repeated.
    ///
    /// # Errors
    /// If a try brought no complete answer.
    pub async fn send_until_accepted(
        &self,
        addresses: &[SocketAddr],
        message: &Message,
    ) -> Result<Submission, ExchangeError> {
        let mut last = Reception::NotTaken { status: NOT_SENT, retry_after: None };
        for (number, address) in addresses.iter().enumerate() {
            let attempt = match number {
                0 => message.clone(),
                _ => message.as_try(format!("{}-{number}", message.request_id)),
            };
            last = self.send(*address, &attempt).await?;
            match last {
                Reception::Accepted { named } => {
                    return Ok(Submission::Accepted(Box::new(AcceptedMessage::new(attempt, named))));
                }
                Reception::NotTaken { .. } => {}
                _ => break,
            }
        }
        Ok(Submission::Refused(last))
    }

    /// Asks any dispatcher for the state of a message.
    ///
    /// # Errors
    /// If no complete answer came within two seconds.
    pub async fn status(
        &self,
        address: SocketAddr,
        host: &str,
        message: &MessageId,
    ) -> Result<StatusReply, ExchangeError> {
        let answer = get(address, host, &format!("/message/{message}")).await?;
        let unavailable = StatusReply::Unavailable { status: answer.status.as_u16() };
        Ok(match answer.status.as_u16() {
            200 => serde_json::from_slice(&answer.body).map_or(unavailable, StatusReply::Known),
            404 => StatusReply::Unknown,
            _ => unavailable,
        })
    }

    /// Asks any dispatcher for the bytes of a message.
    ///
    /// # Errors
    /// If no complete answer came within two seconds.
    pub async fn body(
        &self,
        address: SocketAddr,
        host: &str,
        message: &MessageId,
    ) -> Result<BodyReply, ExchangeError> {
        let answer = get(address, host, &format!("/message-body/{message}")).await?;
        Ok(match answer.status.as_u16() {
            200 => BodyReply::Known(answer.body),
            404 => BodyReply::Unknown,
            status => BodyReply::Unavailable { status },
        })
    }

    /// Asks a dispatcher whether it takes new connections, as the platform does; silence means no.
    pub async fn is_ready(&self, readiness: SocketAddr) -> bool {
        let answer = get(readiness, &readiness.to_string(), READINESS_PATH).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }
}

async fn get(address: SocketAddr, host: &str, path: &str) -> Result<Answer, ExchangeError> {
    let request = Request::get(path).header(hyper::header::HOST, host).body(Empty::<Bytes>::new())?;
    exchange(address, request, STATUS_BOUND).await
}
