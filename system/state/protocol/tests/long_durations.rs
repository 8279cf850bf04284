//! Durations of a message beyond 32 bits of milliseconds: processes of the version before, which know 32 bits only, read
//! what the present one writes and pass it on, and the present one reads what they write.

use millrudder_protocol::message::{is_reserved_header, Header, Message};
use speedy::{Readable, Writable};

/// A message as versions before the long durations declare it.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
struct EarlierMessage {
    request_id: String,
    method: String,
    path: String,
    host: String,
    headers: Vec<Header>,
    body: Vec<u8>,
    order_key: Option<String>,
    callback_url: Option<String>,
    service: String,
    priority: u32,
    delay_ms: u32,
    target_start_ms: u32,
    max_attempts: u32,
    retention_ms: u32,
}

/// What an earlier process holds after it has read the message.
fn read_by_earlier(message: &Message) -> EarlierMessage {
    EarlierMessage::read_from_buffer(&message.write_to_vec().unwrap()).unwrap()
}

/// What the present program reads of what an earlier process writes.
fn written_by_earlier(message: &EarlierMessage) -> Message {
    Message::read_from_buffer(&message.write_to_vec().unwrap()).unwrap()
}

fn message(delay_ms: u64, target_start_ms: u64, retention_ms: u64) -> Message {
    Message {
        request_id: "9c41d07be2a35f68".into(),
        method: "POST".into(),
        path: "/orders/2?a=b".into(),
        host: "shop.example".into(),
        headers: vec![Header { name: "x-a".into(), value: vec![0xe9, b'b'] }],
        body: b"body".to_vec(),
        order_key: Some("key".into()),
        callback_url: None,
        service: "orders".into(),
        priority: 2,
        delay_ms,
        target_start_ms,
        max_attempts: 4,
        retention_ms,
    }
}

const FITS: u64 = u32::MAX as u64;
const TEN_YEARS_MS: u64 = 10 * 365 * 24 * 60 * 60 * 1_000;

/// One message for each length, and one of which all durations are long.
fn messages() -> Vec<Message> {
    let lengths = [0, 90_000, FITS - 1, FITS, FITS + 1, FITS + 4_005, TEN_YEARS_MS, u64::MAX];
    let mut all: Vec<Message> = lengths.iter().map(|length| message(1_500, 800, *length)).collect();
    all.extend(lengths.iter().map(|length| message(*length, *length, *length)));
    all
}

// Guards against a duration that is cut off on its way to another process or to the disk.
#[test]
fn every_length_is_read_as_it_was_written() {
    for message in messages() {
        let bytes = message.write_to_vec().unwrap();
        assert_eq!(Message::read_from_buffer(&bytes).unwrap(), message);
    }
}

// Guards against a change of the bytes of messages whose durations fit into 32 bits: earlier processes read them.
#[test]
fn lengths_that_fit_have_the_bytes_of_earlier_versions() {
    for message in messages().into_iter().filter(|message| message.retention_ms <= FITS) {
        let earlier = read_by_earlier(&message);
        assert_eq!(earlier.headers, message.headers);
        assert_eq!(u64::from(earlier.retention_ms), message.retention_ms);
        assert_eq!(earlier.write_to_vec().unwrap(), message.write_to_vec().unwrap());
        assert_eq!(written_by_earlier(&earlier), message);
    }
}

// Guards against a long duration that is lost, or taken for a short one, where a message passes an earlier process in a roll.
#[test]
fn an_earlier_process_keeps_a_long_duration_and_passes_it_on() {
    for message in messages().into_iter().filter(|message| message.retention_ms > FITS) {
        let earlier = read_by_earlier(&message);
        assert_eq!(earlier.retention_ms, u32::MAX);
        assert_eq!(earlier.body, message.body);
        assert_eq!(written_by_earlier(&earlier), message);
    }
}

// Guards against a header that is taken for a duration though the field says otherwise.
#[test]
fn a_reserved_header_counts_only_where_its_field_is_full() {
    let name = "x-millrudder-retention-ms";
    assert!(is_reserved_header(name) && !is_reserved_header("x-a"));
    for (field, value) in [(90_000, "5000000000"), (u32::MAX, "17"), (u32::MAX, "no number"), (u32::MAX, "")]
    {
        let header = Header { name: name.into(), value: value.as_bytes().to_vec() };
        let earlier = EarlierMessage {
            headers: vec![header.clone()],
            retention_ms: field,
            ..read_by_earlier(&message(0, 0, 0))
        };
        let read = written_by_earlier(&earlier);
        assert_eq!((read.retention_ms, read.headers), (u64::from(field), vec![header]));
    }
}
