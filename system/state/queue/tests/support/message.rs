//! Builds messages for tests.

use millrudder_protocol::message::Message;

/// A message of `service` without an order key or a call-back, to be run at once.
pub fn message_of(service: &str) -> Message {
    Message {
        request_id: "request".to_owned(),
        method: "POST".to_owned(),
        path: "/path".to_owned(),
        host: "host".to_owned(),
        headers: Vec::new(),
        body: b"body".to_vec(),
        order_key: None,
        callback_url: None,
        service: service.to_owned(),
        priority: 0,
        delay_ms: 0,
        target_start_ms: 800,
        max_attempts: 3,
        retention_ms: 60_000,
    }
}
