//! Which headers are passed on, and how a worker's load is read.

use http::{HeaderMap, HeaderName, HeaderValue};
use millrudder_system_http::client::{LoadError, ServerLoad};
use millrudder_system_http::headers::strip_per_connection;

#[test]
fn headers_about_the_connection_and_the_framing_are_removed() {
    let mut headers = HeaderMap::new();
    for name in [
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-listed",
        "x-listed-too",
        "x-kept",
        "host",
        "content-type",
    ] {
        headers.insert(HeaderName::from_static(name), HeaderValue::from_static("x"));
    }
    headers.append("connection", HeaderValue::from_static("close, X-Listed"));
    headers.append("connection", HeaderValue::from_static("x-listed-too"));
    strip_per_connection(&mut headers);
    let mut left: Vec<&str> = headers.keys().map(HeaderName::as_str).collect();
    left.sort_unstable();
    assert_eq!(left, ["content-type", "host", "x-kept"]);
}

#[test]
fn request_id_and_order_key_are_forwarded_whatever_connection_lists() {
    let mut headers = HeaderMap::new();
    for name in ["x-order-key", "x-request-id"] {
        headers.insert(HeaderName::from_static(name), HeaderValue::from_static("x"));
    }
    headers.insert("connection", HeaderValue::from_static("X-Order-Key, x-request-id"));
    strip_per_connection(&mut headers);
    assert_eq!(headers.len(), 2, "{headers:?}");
}

#[test]
fn a_load_is_three_numbers() {
    assert_eq!("3,0,8".parse(), Ok(ServerLoad { running: 3, waiting: 0, slots: 8 }));
    for text in ["", "3", "3,0", "3,0,8,1", "3,,8", "-1,0,8", "3,0,x", "99999999999,0,8"] {
        assert_eq!(text.parse::<ServerLoad>(), Err(LoadError), "{text:?}");
    }
}
