//! Clients' requests that are accepted as messages.

use crate::edge::active_configuration::ActiveConfiguration;
use http::header::HOST;
use http::{HeaderMap, HeaderName, StatusCode};
use millrudder_clock::whole_millis;
use millrudder_configuration::Route;
use millrudder_intake::TargetShard;
use millrudder_protocol::message::{is_reserved_header, Header, Message};
use millrudder_system_http::client::CallbackUrl;
use millrudder_system_http::front::Request;
use millrudder_system_http::headers;
use std::time::Duration;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// A client that names no deadline is assumed to wait this long.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);
/// No client is assumed to wait longer.
const MAX_DEADLINE: Duration = Duration::from_secs(30);
/// The answer must be on its way this long before the client gives up.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// Longest names that a client may give, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Headers that may be there once only; of two, another reader may use the other one.
const SINGLE: [HeaderName; 4] =
    [headers::REQUEST_ID, headers::DEADLINE_MS, headers::DELAY_MS, headers::CALLBACK_URL];

/// Headers of the client's request that are not forwarded to the worker, or that the delivery sets.
const NOT_FORWARDED: [HeaderName; 7] = [
    HOST,
    headers::REQUEST_ID,
    headers::DEADLINE_MS,
    headers::DELAY_MS,
    headers::CALLBACK_URL,
    headers::EXPECT_INSTANCE,
    headers::MESSAGE_ID,
];

/// A message that a client has sent, and that passed all checks.
pub struct ClientMessage {
    /// The message as it is stored.
    pub message: Message,
    /// The choice of its shard.
    pub shard: TargetShard,
    /// How long the client can wait for its answer from now on.
    pub answer_within: Duration,
}

/// Why a request cannot be accepted as a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum BadRequest {
    /// The client's id of the message is missing or too long.
    #[error("X-Request-Id is missing or too long")]
    RequestId,
    /// The delay is no number.
    #[error("X-Delay-Ms is not a number of milliseconds")]
    Delay,
    /// The call-back's URL cannot be used.
    #[error("X-Callback-Url is not an http URL with an IP number")]
    CallbackUrl,
    /// The order key cannot be used.
    #[error("X-Order-Key is empty, too long or not text")]
    OrderKey,
    /// The message with its headers is longer than processes can send each other.
    #[error("the message is too large")]
    TooLarge,
    /// A header is repeated of which there may be one only.
    #[error("a header that may be there once is there more often")]
    Repeated,
}

impl BadRequest {
    /// The status of the answer.
    pub(super) fn status(self) -> StatusCode {
        match self {
            BadRequest::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BadRequest::RequestId
            | BadRequest::Delay
            | BadRequest::CallbackUrl
            | BadRequest::OrderKey
            | BadRequest::Repeated => StatusCode::BAD_REQUEST,
        }
    }
}

/// Makes a message of a request on a route.
///
/// # Errors
/// A header of the request cannot be used.
pub(super) fn parse(
    configuration: &ActiveConfiguration,
    route: &Route,
    request: Request,
) -> Result<ClientMessage, BadRequest> {
    if SINGLE.iter().any(|header| is_repeated(&request, header)) {
        return Err(BadRequest::Repeated);
    }
    let request_id = name_in(&request, &headers::REQUEST_ID).ok_or(BadRequest::RequestId)?;
    let order_key = order_key(route, &request)?;
    let delay_ms = match request.header(&headers::DELAY_MS) {
        Some(text) => text.trim().parse().map_err(|_| BadRequest::Delay)?,
        None => 0,
    };
    // One primary paces all messages of a service with a rate limit, those with a key too.
    let shard = match &order_key {
        _ if configuration.has_rate_limit(route) => TargetShard::ByName(route.service.to_string()),
        Some(key) => TargetShard::ByName(key.clone()),
        None => TargetShard::Any,
    };
    let message = Message {
        request_id,
        order_key,
        delay_ms,
        callback_url: callback_url(route, &request)?,
        method: request.method.as_str().to_owned(),
        path: request.path_and_query.as_str().to_owned(),
        host: requested_host(&request).to_owned(),
        service: route.service.to_string(),
        priority: route.priority,
        target_start_ms: whole_millis(route.target_start),
        max_attempts: route.max_attempts().get(),
        retention_ms: whole_millis(route.retention),
        headers: forwarded_headers(&request.headers),
        body: request.body.to_vec(),
    };
    if message.encoded_bytes() > Message::MAX_ENCODED_BYTES {
        return Err(BadRequest::TooLarge);
    }
    Ok(ClientMessage { message, shard, answer_within: answer_within(&request) })
}

fn is_repeated(request: &Request, header: &HeaderName) -> bool {
    request.headers.get_all(header).iter().nth(1).is_some()
}

/// The host that the client names, with its port; the one in the request line takes precedence over the header.
fn requested_host(request: &Request) -> &str {
    match &request.authority {
        Some(authority) => authority.as_str(),
        None => request.header(&HOST).unwrap_or_default(),
    }
}

/// A name that a client gives in a header; `None` where it is missing, empty or too long.
fn name_in(request: &Request, header: &HeaderName) -> Option<String> {
    let text = request.header(header)?;
    let fits = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    fits.then(|| text.to_owned())
}

fn order_key(route: &Route, request: &Request) -> Result<Option<String>, BadRequest> {
    if !route.fifo || !request.headers.contains_key(headers::ORDER_KEY) {
        return Ok(None);
    }
    if is_repeated(request, &headers::ORDER_KEY) {
        return Err(BadRequest::Repeated);
    }
    name_in(request, &headers::ORDER_KEY).map(Some).ok_or(BadRequest::OrderKey)
}

fn callback_url(route: &Route, request: &Request) -> Result<Option<String>, BadRequest> {
    if !route.callback || !request.headers.contains_key(headers::CALLBACK_URL) {
        return Ok(None);
    }
    let text = request.header(&headers::CALLBACK_URL).ok_or(BadRequest::CallbackUrl)?;
    text.parse::<CallbackUrl>().map_err(|_| BadRequest::CallbackUrl)?;
    Ok(Some(text.to_owned()))
}

/// How long the client can wait for its answer from now on.
fn answer_within(request: &Request) -> Duration {
    let named = request.header(&headers::DEADLINE_MS).and_then(|text| text.trim().parse().ok());
    let deadline = named.map_or(DEFAULT_DEADLINE, Duration::from_millis).min(MAX_DEADLINE);
    deadline.saturating_sub(ANSWER_MARGIN)
}

fn forwarded_headers(all: &HeaderMap) -> Vec<Header> {
    let mut forwarded = all.clone();
    headers::strip_per_connection(&mut forwarded);
    for name in &NOT_FORWARDED {
        forwarded.remove(name);
    }
    let pairs = forwarded
        .iter()
        .filter(|(name, _)| !is_reserved_header(name.as_str()))
        .map(|(name, value)| Header { name: name.as_str().to_owned(), value: value.as_bytes().to_vec() });
    pairs.collect()
}
