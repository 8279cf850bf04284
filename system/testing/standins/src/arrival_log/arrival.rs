//! One delivery as its worker saw it.

use crate::identity::{InstanceId, OrderKey, RequestId, ServiceName};
use crate::message::Message;
use hyper::HeaderMap;
use std::fmt;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The place of a delivery among all that the log has seen, from 0.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ArrivalNumber(usize);

impl ArrivalNumber {
    pub(super) fn new(index: usize) -> Self {
        Self(index)
    }

    pub(super) fn index(self) -> usize {
        self.0
    }
}

impl fmt::Display for ArrivalNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// When something happened: its place among all that happened, and the time since the log's beginning.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Moment {
    /// Its place; no two are the same.
    pub order: u64,
    /// Time since the log's beginning.
    pub at: Duration,
}

/// A hash of a body's bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyHash(u64);

impl BodyHash {
    /// The hash of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxh3_64(bytes))
    }
}

/// What became of a delivery.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Disposition {
    /// It waits for a slot.
    Waiting,
    /// It left before it got a slot; it has not run.
    LeftQueue,
    /// It was rejected with this status; it has not run.
    Rejected {
        /// The status code of the answer.
        status: u16,
    },
    /// It was answered with the success of an earlier run.
    Repeated,
    /// Its connection was reset; it has not run.
    Reset,
    /// It began to run.
    Run(RunState),
}

/// How far a run has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunState {
    /// It is running.
    Working,
    /// It succeeded, whether or not its answer arrived.
    Succeeded {
        /// Its `X-Response-Signature`.
        signature: String,
    },
    /// It ended with 500.
    Failed,
    /// It ended with 422.
    RefusedForGood,
    /// It was stopped at its deadline.
    Halted,
    /// Its connection closed, or its worker ended, while it was running.
    Dropped,
}

/// One delivery as its worker saw it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its place among all deliveries.
    pub number: ArrivalNumber,
    /// The service of its worker.
    pub service: ServiceName,
    /// The incarnation of its worker.
    pub instance: InstanceId,
    /// `X-Request-Id`.
    pub request_id: Option<RequestId>,
    /// `X-Order-Key`.
    pub order_key: Option<OrderKey>,
    /// The method.
    pub method: String,
    /// The path with its query.
    pub target: String,
    /// All headers.
    pub headers: HeaderMap,
    /// The hash of its body.
    pub body_hash: BodyHash,
    /// The length of its body in bytes.
    pub body_length: usize,
    /// What became of it.
    pub disposition: Disposition,
    /// When it was read in full.
    pub arrived: Moment,
    /// When it began to run.
    pub started: Option<Moment>,
    /// When its run ended.
    pub ended: Option<Moment>,
}

/// What a delivery carries otherwise than the message that was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Difference {
    /// Another method.
    Method,
    /// Another path or query.
    Target,
    /// Another `Host`.
    Host,
    /// Another `X-Request-Id`.
    RequestId,
    /// Another `X-Order-Key`, or one too many or too few.
    OrderKey,
    /// Other bytes in its body.
    Body,
}

impl Arrival {
    /// Whether it ran with success.
    pub fn succeeded(&self) -> bool {
        self.signature().is_some()
    }

    /// The signature of its success.
    pub fn signature(&self) -> Option<&str> {
        match &self.disposition {
            Disposition::Run(RunState::Succeeded { signature }) => Some(signature),
            _ => None,
        }
    }

    /// A header's value, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        crate::http::text(&self.headers, name)
    }

    /// What it carries otherwise than `message`; empty if it was passed on as it was sent.
    pub fn differences_from(&self, message: &Message) -> Vec<Difference> {
        let compared = [
            (Difference::Method, self.method == message.method.as_str()),
            (Difference::Target, self.target == message.target),
            (Difference::Host, self.header(hyper::header::HOST.as_str()) == Some(message.host.as_str())),
            (Difference::RequestId, self.request_id.as_ref() == Some(&message.request_id)),
            (Difference::OrderKey, self.order_key == message.order_key),
            (Difference::Body, self.carries(&message.body)),
        ];
        compared.into_iter().filter(|(_, same)| !same).map(|(difference, _)| difference).collect()
    }

    fn carries(&self, body: &[u8]) -> bool {
        self.body_length == body.len() && self.body_hash == BodyHash::of(body)
    }
}
