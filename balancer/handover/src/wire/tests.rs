//! Unit tests of `wire`.

use super::*;
use crate::{Callback, ProbationReport, State};
use ciborium::value::Value;
use millrudder_testing::{cuts, garbage};

fn messages() -> Vec<Message> {
    vec![
        Message::Hello { version: 1, min_version: 1, program: "millrudder 0.1".to_owned() },
        Message::State(State { core: vec![1, 2, 3], drained: true }),
        Message::Commit { under_way: vec!["9b1f".to_owned()], inbound: 7, worker_connections: 3 },
        Message::Report(ProbationReport { served: 3, failed: 1 }),
        Message::Callback(Callback { number: 7, body: b"{}".to_vec() }),
        Message::Committed,
    ]
}

#[test]
fn messages_pass_whole_however_they_are_cut() {
    let bytes: Vec<u8> = messages().iter().flat_map(|m| encode(m).unwrap()).collect();
    cuts(31, &bytes, |parts| {
        let (mut decoder, mut got) = (Decoder::default(), Vec::new());
        for part in parts {
            decoder.push(part);
            while let Some(message) = decoder.next_message().unwrap() {
                got.push(message);
            }
        }
        assert_eq!(got, messages());
    });
    garbage(32, &bytes, |bytes| {
        let mut decoder = Decoder::default();
        decoder.push(bytes);
        while let Ok(Some(_)) = decoder.next_message() {}
    });
    let mut huge = Decoder::default();
    huge.push(&[0xff; 8]);
    assert_eq!(huge.next_message(), Err(WireError::TooLarge(0xffff_ffff)));
}

#[test]
fn fields_that_a_newer_side_adds_are_passed_over_and_those_it_leaves_out_have_defaults() {
    let text = |s: &str| Value::Text(s.to_owned());
    let report = Value::Map(vec![(text("served"), Value::from(3)), (text("mood"), text("good"))]);
    let mut bytes = Vec::new();
    ciborium::into_writer(&Value::Map(vec![(text("Report"), report)]), &mut bytes).unwrap();
    let mut decoder = Decoder::default();
    decoder.push(&(bytes.len() as u32).to_be_bytes());
    decoder.push(&bytes);
    let expected = Message::Report(ProbationReport { served: 3, failed: 0 });
    assert_eq!(decoder.next_message(), Ok(Some(expected)));
}
