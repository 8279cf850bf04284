use super::{parse, BadRequest, ClientMessage};
use crate::edge::active_configuration::ActiveConfiguration;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use millrudder_protocol::message::Message;
use millrudder_system_http::front::Request;
use serde_json::json;

const HOST: &str = "shop.example";
/// The longest duration that a configuration may give: ten years.
const LONGEST_S: u64 = 10 * 365 * 24 * 60 * 60;

/// A client's message on a route with these retention and target start time.
fn accepted(
    retention_s: f64,
    target_start_ms: f64,
    headers: &[(&'static str, &'static str)],
) -> ClientMessage {
    parsed(retention_s, target_start_ms, headers, Bytes::from_static(b"body")).unwrap()
}

fn parsed(
    retention_s: f64,
    target_start_ms: f64,
    headers: &[(&'static str, &'static str)],
    body: Bytes,
) -> Result<ClientMessage, BadRequest> {
    let configuration = json!({
        "version": 1,
        "routes": [{
            "name": "orders", "hostname": HOST, "pathPrefix": "/orders/", "backend": "ledger",
            "timeoutMs": 800, "retentionS": retention_s, "targetStartMs": target_start_ms,
        }],
        "backends": [{"name": "ledger"}],
    });
    let configuration = ActiveConfiguration::from_json(configuration.to_string().as_bytes()).unwrap();
    let route = configuration.route(HOST, "/orders/1").unwrap().clone();
    let mut all = HeaderMap::new();
    for (name, value) in [("host", HOST), ("x-request-id", "r-1")].iter().chain(headers) {
        all.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    let request = Request {
        method: Method::POST,
        path_and_query: "/orders/1".parse().unwrap(),
        headers: all,
        body,
        authority: None,
    };
    parse(&configuration, &route, request)
}

// Guards against a retention above 49.7 days that is cut off to 32 bits of milliseconds: its messages were dead-lettered
// within seconds (review/5).
#[test]
fn a_retention_above_49_days_is_stored_whole() {
    assert_eq!(accepted(4_294_971.3, 800.0, &[]).message.retention_ms, 4_294_971_300);
    let longest = accepted(LONGEST_S as f64, 800.0, &[]);
    assert_eq!(longest.message.retention_ms, LONGEST_S * 1_000);
}

// Guards against a target start time above 49.7 days that is cut off in the same way.
#[test]
fn a_target_start_time_above_49_days_is_stored_whole() {
    let longest = accepted(90.0, LONGEST_S as f64 * 1_000.0, &[]);
    assert_eq!(longest.message.target_start_ms, LONGEST_S * 1_000);
}

// Guards against a delay above 49.7 days that is answered with 400, as if it were no number.
#[test]
fn a_delay_above_49_days_is_accepted() {
    let delayed = accepted(90.0, 800.0, &[("x-delay-ms", "4294967296")]);
    assert_eq!(delayed.message.delay_ms, 4_294_967_296);
}

// Guards against a client that sets a message's durations by the headers that their encoding reserves.
#[test]
fn reserved_headers_of_a_client_are_not_stored() {
    let message = accepted(90.0, 800.0, &[("x-millrudder-retention-ms", "1"), ("x-a", "b")]).message;
    let names: Vec<&str> = message.headers.iter().map(|header| header.name.as_str()).collect();
    assert_eq!(names, ["x-a"]);
}

// Guards against a message that is accepted and fits in no frame: it was dropped without a word, and its client waited.
#[test]
fn a_message_that_fits_in_no_frame_is_too_large() {
    let with_body = |bytes| parsed(90.0, 800.0, &[], vec![b'x'; bytes].into()).map(|_| ());
    let beside_body = accepted(90.0, 800.0, &[]).message.encoded_bytes() - b"body".len();
    let largest = Message::MAX_ENCODED_BYTES - beside_body;
    assert_eq!(with_body(largest), Ok(()));
    assert_eq!(with_body(largest + 1), Err(BadRequest::TooLarge));
    assert_eq!(BadRequest::TooLarge.status(), 413);
}
