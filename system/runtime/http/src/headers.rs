//! Header names of the system's interfaces, and the headers that belong to one connection only.

use http::header::{self, HeaderName};
use http::HeaderMap;

/// The request's id; every attempt of a client has its own.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The worker's signature of an execution that succeeded.
pub const RESPONSE_SIGNATURE: HeaderName = HeaderName::from_static("x-response-signature");
/// The worker states that it did not execute the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// Running, waiting and slots of a worker, joined by commas.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");
/// Milliseconds that a client or a worker has for the request.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The incarnation of a worker that a delivery is meant for.
pub const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
/// The incarnation that answers a health check.
pub const INSTANCE_ID: HeaderName = HeaderName::from_static("x-instance-id");
/// The key of a message on a `fifo` route: messages of one key are delivered in order.
pub const ORDER_KEY: HeaderName = HeaderName::from_static("x-order-key");
/// Milliseconds after its sending before which a message is not to run.
pub const DELAY_MS: HeaderName = HeaderName::from_static("x-delay-ms");
/// Where the end of a message is to be posted.
pub const CALLBACK_URL: HeaderName = HeaderName::from_static("x-callback-url");
/// The id that the system gave a message.
pub const MESSAGE_ID: HeaderName = HeaderName::from_static("x-message-id");
/// How long a peer keeps an idle connection.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that are about one connection (RFC 9110, section 7.6.1) or about the framing of the body.
const PER_CONNECTION: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers that are forwarded from the sender to the worker whatever `Connection` says of them: without them the worker
/// would execute another message than was sent.
const END_TO_END: [HeaderName; 2] = [REQUEST_ID, ORDER_KEY];

/// Removes what must not be forwarded from one connection to another: headers about the connection, those that
/// `Connection` lists, and those that frame the body.
pub fn strip_per_connection(headers: &mut HeaderMap) {
    let listed = listed_in_connection(headers);
    for name in listed.into_iter().filter(|name| !END_TO_END.contains(name)) {
        headers.remove(name);
    }
    for name in &PER_CONNECTION {
        headers.remove(name);
    }
}

/// The header names that the `Connection` headers list.
fn listed_in_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
