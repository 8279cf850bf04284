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
    meter.on_read(PREFACE, 0.0).unwrap();
    meter
}

/// How many of these frames are accepted at one point in time, and the cause of the first failure.
fn frames_accepted(kind: u8, flags: u8, payload: &[u8]) -> (usize, Option<CloseCause>) {
    let (mut meter, bytes) = (meter(), frame(kind, flags, payload));
    for n in 0..10_000 {
        if let Err(cause) = meter.on_read(&bytes, 1.0) {
            return (n, Some(cause));
        }
    }
    (10_000, None)
}

#[test]
fn each_flood_closes_the_connection_under_its_cause() {
    for (kind, flags, payload, cause) in [
        (kind::PING, 0, &[0; 8][..], CloseCause::Ping),
        (kind::SETTINGS, 0, &[], CloseCause::Settings),
        (kind::WINDOW_UPDATE, 0, &[0, 0, 0, 1], CloseCause::Other),
        (kind::DATA, 0, &[], CloseCause::Other),
        (2, 0, &[0; 5], CloseCause::Other),
        (99, 0, &[1], CloseCause::Other),
    ] {
        let (accepted, ended) = frames_accepted(kind, flags, payload);
        assert_eq!(ended, Some(cause));
        assert!((200..=202).contains(&accepted), "{accepted} of {cause:?}");
    }
    assert_eq!(frames_accepted(kind::RST_STREAM, 0, &[0, 0, 0, 8]), (100, Some(CloseCause::Reset)));
    assert_eq!(frames_accepted(kind::CONTINUATION, 0, &[1]).1, Some(CloseCause::Continuation));
    assert_eq!(frames_accepted(kind::DATA, 0, &[1]).1, None, "bodies are limited by flow control only");
}

#[test]
fn control_frames_that_belong_to_calls_are_no_flood() {
    // grpc-c++ sends a PING for nearly every answer to measure the link, which must not count as a flood.
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
            meter.on_read(&frame(kind, flags, payload), now).unwrap();
        }
    }
    assert_eq!(meter.calls(), 20_000);
}

#[test]
fn only_rapid_resets_are_a_flood() {
    let mut slow = meter();
    for n in 0..1_000 {
        let now = f64::from(n) * 25.0;
        slow.on_read(&frame(kind::HEADERS, END_HEADERS, &[1]), now).unwrap();
        slow.on_read(&frame(kind::RST_STREAM, 0, &[0, 0, 0, 8]), now).unwrap();
    }
    let (mut rapid, mut ended) = (meter(), None);
    for n in 0..1_000 {
        let now = f64::from(n);
        rapid.on_read(&frame(kind::HEADERS, END_HEADERS, &[1]), now).unwrap();
        ended = ended.or(rapid.on_read(&frame(kind::RST_STREAM, 0, &[0, 0, 0, 8]), now).err());
    }
    assert_eq!(ended, Some(CloseCause::Reset));
}

#[test]
fn late_prefaces_late_header_blocks_and_stalled_readers_time_out() {
    let mut half = Meter::new(BOUNDS, 0.0);
    half.on_read(&PREFACE[..20], 0.0).unwrap();
    assert_eq!(
        (half.check_timeouts(1_999.0), half.check_timeouts(2_000.0)),
        (Ok(()), Err(CloseCause::TooSlow))
    );
    half.on_read(&PREFACE[20..], 1_999.0).unwrap();
    assert_eq!(half.check_timeouts(9_000.0), Ok(()));
    // A CONTINUATION does not extend the time of its header block.
    half.on_read(&frame(kind::HEADERS, 0, &[1]), 10_000.0).unwrap();
    half.on_read(&frame(kind::CONTINUATION, 0, &[1]), 11_500.0).unwrap();
    assert_eq!(
        (half.check_timeouts(11_999.0), half.check_timeouts(12_000.0)),
        (Ok(()), Err(CloseCause::TooSlow))
    );
    half.on_read(&frame(kind::CONTINUATION, END_HEADERS, &[1]), 12_000.0).unwrap();
    assert_eq!(half.check_timeouts(20_000.0), Ok(()));
    half.on_write_blocked(20_000.0);
    half.on_write_blocked(24_000.0);
    assert_eq!(
        (half.check_timeouts(24_999.0), half.check_timeouts(25_000.0)),
        (Ok(()), Err(CloseCause::Stalled))
    );
    half.on_written(&frame(kind::DATA, 0, &[1]));
    assert_eq!(half.check_timeouts(30_000.0), Ok(()));
}

#[test]
fn refused_streams_are_counted_from_written_frames() {
    let mut meter = meter();
    let bytes: Vec<u8> = [[0, 0, 0, 7], [0, 0, 0, 8], [0, 0, 0, 7]]
        .iter()
        .flat_map(|code| [frame(kind::RST_STREAM, 0, code), frame(kind::DATA, 0, &[7; 30])].concat())
        .collect();
    bytes.chunks(5).for_each(|part| meter.on_written(part));
    assert_eq!(meter.take_refusals(), Refusals { streams: 2, headers: 0 });
    assert_eq!(meter.take_refusals(), Refusals::default());
    // A reset after response headers on the same stream means that the header list was too large.
    meter.on_written(&frame(kind::HEADERS, END_HEADERS, &[1]));
    meter.on_written(&frame(kind::RST_STREAM, 0, &[0, 0, 0, 1]));
    assert_eq!(meter.take_refusals(), Refusals { streams: 0, headers: 1 });
}

#[test]
fn split_input_gives_the_same_result_and_garbage_does_not_panic() {
    let mut whole = PREFACE.to_vec();
    for n in 0..40 {
        whole.extend(frame(kind::HEADERS, END_HEADERS, &vec![1; n]));
        whole.extend(frame(kind::RST_STREAM, 0, &[0, 0, 0, 8]));
    }
    cuts(23, &whole, |parts| {
        let mut meter = Meter::new(BOUNDS, 0.0);
        parts.iter().for_each(|part| meter.on_read(part, 1.0).unwrap());
        assert_eq!(meter.calls(), 40);
    });
    garbage(24, &whole, |bytes| {
        let mut meter = Meter::new(BOUNDS, 0.0);
        let _ = meter.on_read(bytes, 1.0);
        meter.on_written(bytes);
        let _ = meter.check_timeouts(9e9);
    });
}
