//! Unit tests of `attempt`.

use super::*;
use millrudder_wire::http::Decoder;

const ATTEMPT: AttemptId = AttemptId { ticket: 1, number: 0 };

fn end_of(text: &str) -> Option<AttemptEnd> {
    let mut decoder = Decoder::default();
    decoder.push(text.as_bytes());
    match message_for_response(ATTEMPT, &decoder.next_message().unwrap().unwrap()) {
        Message::Accepted { .. } => None,
        Message::Ended { end, .. } => Some(end),
        _ => panic!("neither accepted nor ended"),
    }
}

#[test]
fn responses_map_to_attempt_ends_as_the_protocol_says() {
    let answer = |status: &str| format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(end_of(&answer("202 Accepted")), None);
    assert_eq!(end_of(&answer("500 Error")), Some(AttemptEnd::Failed));
    // A job that no worker can use says nothing about the worker. If it counted as a failure, a flood of such
    // jobs would get all workers ejected.
    assert_eq!(end_of(&answer("400 Bad Request")), Some(AttemptEnd::Refused));
    assert_eq!(end_of(&answer("503 Busy\r\nX-Never-Ran: 1")), Some(AttemptEnd::NeverRan));
    assert_eq!(end_of(&answer("504 Late\r\nX-Never-Ran: 1")), Some(AttemptEnd::NeverRan));
    // Without the `X-Never-Ran` header the job may have run, and a retry would be a second run, logged as
    // such.
    assert_eq!(end_of(&answer("503 Busy")), Some(AttemptEnd::Failed));
    assert_eq!(end_of(&answer("500 Error\r\nX-Never-Ran: 1")), Some(AttemptEnd::Failed));
}
