//! Unit tests of `meter`.

use super::*;
use millrudder_testing::{cuts, garbage};

const BOUNDS: Bounds =
    Bounds { control_frames: 100.0, resets: 50.0, request_time: 2_000.0, answer_time: 5_000.0 };

fn frame(kind: u8, flags: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0, (payload.len() >> 8) as u8, payload.len() as u8, kind, flags, 0, 0, 0, 1];
    bytes.extend(payload);
    bytes
}

fn meter() -> Meter {
    let mut meter = Meter::new(BOUNDS, 0.0);
    meter.read(PREFACE, 0.0).unwrap();
    meter
}

/// How many of these frames pass within one moment.
fn passes(kind: u8, flags: u8, payload: &[u8]) -> (usize, Option<Cause>) {
    let (mut meter, bytes) = (meter(), frame(kind, flags, payload));
    for n in 0..10_000 {
        if let Err(cause) = meter.read(&bytes, 1.0) {
            return (n, Some(cause));
        }
    }
    (10_000, None)
}

#[test]
fn each_flood_is_ended_and_named() {
    for (kind, flags, payload, cause) in [
        (kind::PING, 0, &[0; 8][..], Cause::Ping),
        (kind::SETTINGS, 0, &[], Cause::Settings),
        (kind::WINDOW_UPDATE, 0, &[0, 0, 0, 1], Cause::Other),
        (kind::DATA, 0, &[], Cause::Other),
        (2, 0, &[0; 5], Cause::Other),
        (99, 0, &[1], Cause::Other),
    ] {
        let (passed, ended) = passes(kind, flags, payload);
        assert_eq!(ended, Some(cause));
        assert!((200..=202).contains(&passed), "{passed} of {cause:?}");
    }
    assert_eq!(passes(kind::RST_STREAM, 0, &[0, 0, 0, 8]), (100, Some(Cause::Reset)));
    assert_eq!(passes(kind::CONTINUATION, 0, &[1]).1, Some(Cause::Continuation));
    assert_eq!(passes(kind::DATA, 0, &[1]).1, None, "bodies are flow control's");
}

#[test]
fn calls_bring_their_own_frames_with_them() {
    // grpc-c++ measures the link with a PING for nearly each answer: that is no flood.
    let mut meter = meter();
    for n in 0..20_000 {
        let now = f64::from(n) * 0.1;
        for (kind, flags, payload) in [
            (kind::HEADERS, END_HEADERS, &[1; 40][..]),
            (kind::DATA, END_STREAM, &[1; 20]),
            (kind::WINDOW_UPDATE, 0, &[0, 0, 1, 0]),
            (kind::WINDOW_UPDATE, 0, &[0, 0, 1, 0]),
            (kind::PING, 0, &[0; 8]),
            (kind::PING, ACK, &[0; 8]),
        ] {
            meter.read(&frame(kind, flags, payload), now).unwrap();
        }
    }
    assert_eq!(meter.calls(), 20_000);
}

#[test]
fn cancelling_in_moderation_is_no_flood_and_a_rapid_reset_is() {
    let mut slow = meter();
    for n in 0..1_000 {
        let now = f64::from(n) * 25.0;
        slow.read(&frame(kind::HEADERS, END_HEADERS, &[1]), now).unwrap();
        slow.read(&frame(kind::RST_STREAM, 0, &[0, 0, 0, 8]), now).unwrap();
    }
    let (mut rapid, mut ended) = (meter(), None);
    for n in 0..1_000 {
        let now = f64::from(n);
        rapid.read(&frame(kind::HEADERS, END_HEADERS, &[1]), now).unwrap();
        ended = ended.or(rapid.read(&frame(kind::RST_STREAM, 0, &[0, 0, 0, 8]), now).err());
    }
    assert_eq!(ended, Some(Cause::Reset));
}

#[test]
fn time_runs_out_for_prefaces_header_blocks_and_readers() {
    let mut half = Meter::new(BOUNDS, 0.0);
    half.read(&PREFACE[..20], 0.0).unwrap();
    assert_eq!((half.check(1_999.0), half.check(2_000.0)), (Ok(()), Err(Cause::TooSlow)));
    half.read(&PREFACE[20..], 1_999.0).unwrap();
    assert_eq!(half.check(9_000.0), Ok(()));
    // A block that gets a CONTINUATION now and then does not get new time with each.
    half.read(&frame(kind::HEADERS, 0, &[1]), 10_000.0).unwrap();
    half.read(&frame(kind::CONTINUATION, 0, &[1]), 11_500.0).unwrap();
    assert_eq!((half.check(11_999.0), half.check(12_000.0)), (Ok(()), Err(Cause::TooSlow)));
    half.read(&frame(kind::CONTINUATION, END_HEADERS, &[1]), 12_000.0).unwrap();
    assert_eq!(half.check(20_000.0), Ok(()));
    half.write_blocked(20_000.0);
    half.write_blocked(24_000.0);
    assert_eq!((half.check(24_999.0), half.check(25_000.0)), (Ok(()), Err(Cause::Stalled)));
    half.wrote(&frame(kind::DATA, 0, &[1]));
    assert_eq!(half.check(30_000.0), Ok(()));
}

#[test]
fn refused_streams_are_seen_in_what_is_written() {
    let mut meter = meter();
    let bytes: Vec<u8> = [[0, 0, 0, 7], [0, 0, 0, 8], [0, 0, 0, 7]]
        .iter()
        .flat_map(|code| [frame(kind::RST_STREAM, 0, code), frame(kind::DATA, 0, &[7; 30])].concat())
        .collect();
    bytes.chunks(5).for_each(|part| meter.wrote(part));
    assert_eq!(meter.take_refused(), Refusals { streams: 2, headers: 0 });
    assert_eq!(meter.take_refused(), Refusals::default());
    // After an answer of ours on the same stream it was the header list.
    meter.wrote(&frame(kind::HEADERS, END_HEADERS, &[1]));
    meter.wrote(&frame(kind::RST_STREAM, 0, &[0, 0, 0, 1]));
    assert_eq!(meter.take_refused(), Refusals { streams: 0, headers: 1 });
}

#[test]
fn cuts_do_not_change_the_verdict_and_garbage_does_no_harm() {
    let mut whole = PREFACE.to_vec();
    for n in 0..40 {
        whole.extend(frame(kind::HEADERS, END_HEADERS, &vec![1; n]));
        whole.extend(frame(kind::RST_STREAM, 0, &[0, 0, 0, 8]));
    }
    cuts(23, &whole, |parts| {
        let mut meter = Meter::new(BOUNDS, 0.0);
        parts.iter().for_each(|part| meter.read(part, 1.0).unwrap());
        assert_eq!(meter.calls(), 40);
    });
    garbage(24, &whole, |bytes| {
        let mut meter = Meter::new(BOUNDS, 0.0);
        let _ = meter.read(bytes, 1.0);
        meter.wrote(bytes);
        let _ = meter.check(9e9);
    });
}
