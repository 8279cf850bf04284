//! The operator: sends configurations and retirements to the dispatchers that serve `control`.

use crate::configuration::{Configuration, ConfigurationVersion};
use crate::http::{exchange, header, Answer, ExchangeError};
use crate::identity::NodeName;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, Uri};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

const REDIRECTS_FOLLOWED: usize = 2;
/// An order ends at the third 4xx that does not end it at once.
const OTHER_REFUSALS_BORNE: usize = 3;

/// How patient the operator is.
#[derive(Clone, Copy, Debug)]
pub struct OperatorPlan {
    /// Silence for so long counts as a failure.
    pub silence: Duration,
    /// The pause before the second try; it doubles from then on.
    pub first_backoff: Duration,
    /// The longest pause.
    pub longest_backoff: Duration,
    /// An order that has no clear answer after so long is given up.
    pub give_up: Duration,
}

impl Default for OperatorPlan {
    fn default() -> Self {
        Self {
            silence: Duration::from_secs(1),
            first_backoff: Duration::from_millis(20),
            longest_backoff: Duration::from_secs(1),
            give_up: Duration::from_secs(10),
        }
    }
}

/// Why one try brought no clear answer.
#[derive(Debug, Error)]
pub enum AttemptFailure {
    /// No complete answer came.
    #[error("no answer")]
    NoAnswer(#[from] ExchangeError),
    /// A status after which another dispatcher is asked.
    #[error("status {status}")]
    Status {
        /// The status code.
        status: u16,
    },
    /// One redirect too many, or one that leads nowhere.
    #[error("a redirect that is not followed")]
    Redirect,
    /// The answer was lost on purpose.
    #[error("the answer was lost on purpose")]
    Lost,
}

/// Why an order has no clear answer.
#[derive(Debug, Error)]
pub enum OrderError {
    /// There is no dispatcher to ask.
    #[error("the operator knows no dispatcher")]
    NoAddress,
    /// No try brought a clear answer; the order may or may not have been taken.
    #[error("no clear answer after {tries} tries")]
    Unclear {
        /// How many tries there were.
        tries: usize,
        /// How the last one failed.
        #[source]
        last: AttemptFailure,
    },
    /// The answer's body is not what the protocol says.
    #[error("the answer cannot be read")]
    Unreadable(#[from] serde_json::Error),
}

/// A clear answer to an order.
#[derive(Clone, Debug)]
pub struct OrderAnswer {
    /// The answer.
    pub answer: Answer,
    /// Who gave it.
    pub by: SocketAddr,
    /// How many tries it took.
    pub tries: usize,
}

/// What came of a configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PutOutcome {
    /// 200: it was taken.
    Taken,
    /// 412: another version is current.
    OtherVersion,
    /// Another 4xx: it is invalid.
    Refused {
        /// The status code.
        status: u16,
    },
}

/// What came of an order to empty a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetireOutcome {
    /// 200: it has begun.
    Started,
    /// 404: there is no such machine.
    UnknownMachine,
    /// 409: too few would be left, or a repeat is in progress.
    Conflict,
    /// Another 4xx.
    Refused {
        /// The status code.
        status: u16,
    },
}

/// How far the emptying of a machine has come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum RetireState {
    /// It goes on.
    Running,
    /// The machine may be removed.
    Completed,
}

#[derive(Deserialize)]
struct RetireStatus {
    state: RetireState,
}

/// The operator. It asks its dispatchers in turn, and starts each order at another one.
#[derive(Debug)]
pub struct Operator {
    addresses: Vec<SocketAddr>,
    plan: OperatorPlan,
    next: AtomicUsize,
    answers_to_lose: AtomicUsize,
}

/// An order as it is sent, unchanged at every try.
struct Order {
    method: Method,
    path: String,
    if_version: Option<ConfigurationVersion>,
    body: Bytes,
}

impl Operator {
    /// An operator that knows these dispatchers.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self::with_plan(addresses, OperatorPlan::default())
    }

    /// An operator that knows these dispatchers and is as patient as `plan` says.
    pub fn with_plan(addresses: Vec<SocketAddr>, plan: OperatorPlan) -> Self {
        Self { addresses, plan, next: AtomicUsize::new(0), answers_to_lose: AtomicUsize::new(0) }
    }

    /// The next so many answers are lost on their way, after the dispatcher has given them.
    pub fn lose_answers(&self, answers: usize) {
        self.answers_to_lose.store(answers, Ordering::SeqCst);
    }

    /// Sends a configuration that builds on `if_version`, unchanged until there is a clear answer.
    ///
    /// # Errors
    /// If there is none in time.
    pub async fn put(
        &self,
        configuration: &Configuration,
        if_version: ConfigurationVersion,
    ) -> Result<PutOutcome, OrderError> {
        let order = Order {
            method: Method::POST,
            path: "/Config.Put".to_owned(),
            if_version: Some(if_version),
            body: configuration.body.clone(),
        };
        let status = self.carry_out(&order).await?.answer.status;
        Ok(match status {
            StatusCode::OK => PutOutcome::Taken,
            StatusCode::PRECONDITION_FAILED => PutOutcome::OtherVersion,
            _ => PutOutcome::Refused { status: status.as_u16() },
        })
    }

    /// Reads the newest configuration.
    ///
    /// # Errors
    /// If there is no clear answer in time.
    pub async fn get(&self) -> Result<OrderAnswer, OrderError> {
        self.carry_out(&Order::get("/Config.Get".to_owned())).await
    }

    /// Asks for a `storage` machine to be emptied within `duration`, in whole seconds.
    ///
    /// # Errors
    /// If there is no clear answer in time.
    pub async fn start_retirement(
        &self,
        node: &NodeName,
        duration: Duration,
    ) -> Result<RetireOutcome, OrderError> {
        let order = Order {
            method: Method::POST,
            path: format!("/Retire.Start/{node}"),
            if_version: None,
            body: Bytes::from(format!("{{\"durationS\":{}}}", duration.as_secs())),
        };
        let status = self.carry_out(&order).await?.answer.status;
        Ok(match status {
            StatusCode::OK => RetireOutcome::Started,
            StatusCode::NOT_FOUND => RetireOutcome::UnknownMachine,
            StatusCode::CONFLICT => RetireOutcome::Conflict,
            _ => RetireOutcome::Refused { status: status.as_u16() },
        })
    }

    /// Asks how far the emptying of a machine has come; `None` if the answer is no 200.
    ///
    /// # Errors
    /// If there is no clear answer in time, or it cannot be read.
    pub async fn retirement(&self, node: &NodeName) -> Result<Option<RetireState>, OrderError> {
        let answer = self.carry_out(&Order::get(format!("/Retire.Get/{node}"))).await?.answer;
        if answer.status != StatusCode::OK {
            return Ok(None);
        }
        let status: RetireStatus = serde_json::from_slice(&answer.body)?;
        Ok(Some(status.state))
    }

    async fn carry_out(&self, order: &Order) -> Result<OrderAnswer, OrderError> {
        let deadline = Instant::now() + self.plan.give_up;
        let mut backoff = self.plan.first_backoff;
        let mut other_refusals = 0;
        let mut tries = 0;
        loop {
            tries += 1;
            let address = self.next_address().ok_or(OrderError::NoAddress)?;
            let failure = match self.attempt(address, order).await {
                Ok(reply) if is_final(reply.answer.status, &mut other_refusals) => {
                    return Ok(OrderAnswer { tries, ..reply });
                }
                Ok(reply) => AttemptFailure::Status { status: reply.answer.status.as_u16() },
                Err(failure) => failure,
            };
            if Instant::now() + backoff >= deadline {
                return Err(OrderError::Unclear { tries, last: failure });
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(self.plan.longest_backoff);
        }
    }

    fn next_address(&self) -> Option<SocketAddr> {
        let next = self.next.fetch_add(1, Ordering::SeqCst);
        self.addresses.get(next.checked_rem(self.addresses.len())?).copied()
    }

    /// One try, with its redirects.
    async fn attempt(&self, address: SocketAddr, order: &Order) -> Result<OrderAnswer, AttemptFailure> {
        let mut by = address;
        let mut path = order.path.clone();
        for _ in 0..=REDIRECTS_FOLLOWED {
            let request = order.request(by, &path).map_err(ExchangeError::from)?;
            let answer = exchange(by, request, self.plan.silence).await?;
            if self.loses_answer() {
                return Err(AttemptFailure::Lost);
            }
            if answer.status != StatusCode::TEMPORARY_REDIRECT {
                return Ok(OrderAnswer { answer, by, tries: 0 });
            }
            (by, path) = target_of(&answer).ok_or(AttemptFailure::Redirect)?;
        }
        Err(AttemptFailure::Redirect)
    }

    fn loses_answer(&self) -> bool {
        let one_less = |left: usize| left.checked_sub(1);
        self.answers_to_lose.fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_less).is_ok()
    }
}

impl Order {
    fn get(path: String) -> Self {
        Self { method: Method::GET, path, if_version: None, body: Bytes::new() }
    }

    fn request(&self, to: SocketAddr, path: &str) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(path)
            .header(hyper::header::HOST, to.to_string())
            .header(hyper::header::CONTENT_TYPE, "application/json");
        if let Some(version) = self.if_version {
            request = request.header(header::IF_VERSION, version.to_string());
        }
        request.body(Full::new(self.body.clone()))
    }
}

/// Whether an order ends with this status.
fn is_final(status: StatusCode, other_refusals: &mut usize) -> bool {
    match status.as_u16() {
        200 | 400 | 409 | 412 | 413 | 422 => true,
        408 | 429 => false,
        400..500 => {
            *other_refusals += 1;
            *other_refusals >= OTHER_REFUSALS_BORNE
        }
        _ => false,
    }
}

fn target_of(redirect: &Answer) -> Option<(SocketAddr, String)> {
    let location: Uri = redirect.header(hyper::header::LOCATION.as_str())?.parse().ok()?;
    let address = location.authority()?.as_str().parse().ok()?;
    Some((address, location.path().to_owned()))
}
