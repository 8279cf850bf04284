//! Abusive and broken peers: each is disconnected or refused in time and counted under its own counter, and the front
//! still serves others.

use crate::rig::{call, frame, headers, kind, request, served, until, RawClient, Rig, END_HEADERS, SUBMIT};
use millrudder_exchange::Front;

/// Asserts that the front still serves a well-behaved client.
fn assert_still_serves(rig: &Rig) {
    let mut raw = RawClient::connect(rig, &[]);
    raw.send(&call(1, &prost::Message::encode_to_vec(&request("usual"))));
    rig.job().2.give(served("made"));
    let (_, data) = raw.until(kind::DATA);
    assert!(data.ends_with(b"made"));
}

#[test]
fn each_flood_closes_its_connection_under_its_counter() {
    let rig = Rig::start("control_frames: 20, streams: 20", 8);
    let ping = frame(kind::PING, 0, 0, &[0; 8]);
    let settings = frame(kind::SETTINGS, 0, 0, &[]);
    let empty = frame(kind::DATA, 0, 1, &[]);
    let priority = frame(2, 0, 3, &[0, 0, 0, 0, 1]);
    for (flood, counter) in [
        (ping, "grpc_flood_ping 1"),
        (settings, "grpc_flood_settings 1"),
        (priority, "grpc_flood_other 1"),
        (empty, "grpc_flood_other 2"),
    ] {
        let mut raw = RawClient::connect(&rig, &[]);
        raw.send(&frame(kind::HEADERS, END_HEADERS, 1, &headers(SUBMIT)));
        raw.send(&flood.repeat(100));
        assert!(raw.is_closed());
        rig.until_counted(counter);
    }
    // Rapid reset: calls made and cancelled at once.
    let mut raw = RawClient::connect(&rig, &[]);
    for n in 0..100 {
        let stream = 2 * n + 1;
        raw.send(&frame(kind::HEADERS, END_HEADERS, stream, &headers(SUBMIT)));
        raw.send(&frame(kind::RST_STREAM, 0, stream, &[0, 0, 0, 8]));
    }
    assert!(raw.is_closed());
    rig.until_counted("grpc_flood_reset 1");
    // A header block that never ends.
    let mut raw = RawClient::connect(&rig, &[]);
    raw.send(&frame(kind::HEADERS, 0, 1, &headers(SUBMIT)));
    raw.send(&frame(kind::CONTINUATION, 0, 1, &[0, 1, b'a', 1, b'b']).repeat(100));
    assert!(raw.is_closed());
    rig.until_counted("grpc_flood_continuation 1");
    assert!(rig.nothing_came());
    assert_still_serves(&rig);
}

#[test]
fn late_prefaces_header_blocks_and_calls_time_out() {
    let rig = Rig::start("request_time: 150 ms", 8);
    let mut silent = RawClient::connect_silent(&rig);
    let mut half = RawClient::connect_silent(&rig);
    half.send(&crate::rig::PREFACE[..10]);
    assert!(silent.is_closed() && half.is_closed());
    rig.until_counted("grpc_too_slow 2");
    // A header block that is begun but not completed.
    let mut raw = RawClient::connect(&rig, &[]);
    raw.send(&frame(kind::HEADERS, 0, 1, &headers(SUBMIT)));
    assert!(raw.is_closed());
    rig.until_counted("grpc_too_slow 3");
    // A call whose body does not arrive: it is answered, its connection stays open, and it never occupied a job's
    // place.
    let mut raw = RawClient::connect(&rig, &[]);
    raw.send(&frame(kind::HEADERS, END_HEADERS, 1, &headers(SUBMIT)));
    raw.send(&frame(kind::DATA, 0, 1, &[0, 0, 0]));
    assert_eq!(raw.until(kind::HEADERS).0, 1);
    rig.until_counted("grpc_too_slow 4");
    assert!(rig.nothing_came() && rig.admission_gate.usage(Front::Grpc).places == 0);
    raw.send(&call(3, &prost::Message::encode_to_vec(&request("a"))));
    rig.job().2.give(served("made"));
    assert!(raw.until(kind::DATA).1.ends_with(b"made"));
}

#[test]
fn a_reader_with_a_closed_window_is_reset_and_holds_no_place() {
    let rig = Rig::start("answer_time: 150 ms", 8);
    // Sets SETTINGS_INITIAL_WINDOW_SIZE to 0.
    let mut raw = RawClient::connect(&rig, &[0, 4, 0, 0, 0, 0]);
    raw.send(&call(1, &prost::Message::encode_to_vec(&request("a"))));
    rig.job().2.give(served(&"x".repeat(50_000)));
    assert_eq!(raw.until(kind::RST_STREAM).0, 1);
    rig.until_counted("grpc_stalled 1");
    until("no place is held", || rig.admission_gate.usage(Front::Grpc).places == 0);
    assert_still_serves(&rig);
}

#[test]
fn a_reader_that_stops_reading_its_socket_is_disconnected() {
    let rig = Rig::start("answer_time: 200 ms, streams: 64, control_frames: 100000", 8);
    // The client gives a window of 2 GiB to each call and to the connection but never reads, so the socket's buffers
    // fill up.
    let mut raw = RawClient::connect(&rig, &[0, 4, 0x7f, 0xff, 0xff, 0xff]);
    raw.send(&frame(8, 0, 0, &[0x7f, 0x00, 0x00, 0x00]));
    let message = prost::Message::encode_to_vec(&request(""));
    let big = "x".repeat(4_000_000);
    for stream in 0..16 {
        raw.send(&call(2 * stream + 1, &message));
        rig.job().2.give(served(&big));
    }
    until("it is cut off", || !rig.counted("grpc_stalled 0"));
    assert_still_serves(&rig);
}

#[test]
fn streams_and_header_lists_over_their_limits_are_refused() {
    let rig = Rig::start("streams: 2, header_list: 1 KiB", 8);
    let mut raw = RawClient::connect(&rig, &[]);
    let message = prost::Message::encode_to_vec(&request(""));
    for stream in [1, 3, 5] {
        raw.send(&call(stream, &message));
    }
    let (stream, code) = raw.until(kind::RST_STREAM);
    assert_eq!((stream, code.as_slice()), (5, &[0, 0, 0, 7][..]), "REFUSED_STREAM: a retry is safe");
    rig.until_counted("grpc_streams_refused 1");
    (0..2).for_each(|_| rig.job().2.give(served("made")));
    let mut raw = RawClient::connect(&rig, &[]);
    let mut block = headers(SUBMIT);
    for _ in 0..20 {
        block.extend([0, 1, b'a', 100]);
        block.extend([b'b'; 100]);
    }
    raw.send(&frame(kind::HEADERS, END_HEADERS, 1, &block));
    // h2 answers with 431 or a reset; no job is submitted.
    let is_answer =
        |frame: &(u8, u32, Vec<u8>)| matches!(frame.0, kind::HEADERS | kind::RST_STREAM | kind::GOAWAY);
    while raw.frame().is_some_and(|frame| !is_answer(&frame)) {}
    assert!(rig.nothing_came());
    rig.until_counted("grpc_headers_too_large 1");
    assert_still_serves(&rig);
}

#[test]
fn an_idle_connection_gets_goaway_and_is_closed() {
    let rig = Rig::start("idle_time: 1 s", 4);
    let mut raw = RawClient::connect(&rig, &[]);
    raw.send(&call(1, &prost::Message::encode_to_vec(&request("a"))));
    rig.job().2.give(served("made"));
    assert!(raw.until(kind::DATA).1.ends_with(b"made"));
    let (_, last) = raw.until(kind::GOAWAY);
    assert_eq!(last[4..8], [0; 4], "NO_ERROR");
    assert!(raw.is_closed() && rig.counted("grpc_idle 1"));
}

#[test]
fn connections_are_bounded_and_unidentified_peers_are_evicted_first() {
    let rig = Rig::start("", 2);
    let message = prost::Message::encode_to_vec(&request(""));
    let mut first = RawClient::connect(&rig, &[]);
    first.send(&call(1, &message));
    let (_, _, first_reply) = rig.job();
    // Two silent connections: the first is evicted for the second.
    let (mut silent, mut second) = (RawClient::connect(&rig, &[]), RawClient::connect(&rig, &[]));
    assert!(silent.is_closed());
    rig.until_counted("connections_evicted 1");
    second.send(&call(1, &message));
    let (_, _, second_reply) = rig.job();
    // Every connection has a job in progress, so a new one is closed at once and the open ones are still served.
    assert!(RawClient::connect(&rig, &[]).is_closed());
    rig.until_counted("grpc_connections_refused 1");
    first_reply.give(served("made"));
    second_reply.give(served("made"));
    assert!(first.until(kind::DATA).1.ends_with(b"made") && second.until(kind::DATA).1.ends_with(b"made"));
}

#[test]
fn requests_that_are_not_grpc_are_refused() {
    let rig = Rig::start("", 4);
    let mut raw = RawClient::connect(&rig, &[]);
    // GET / as indexed header fields: wrong method and no content type.
    raw.send(&frame(kind::HEADERS, END_HEADERS | 1, 1, &[0x82, 0x86, 0x84, 0x41, 1, b'x']));
    assert_eq!(raw.until(kind::HEADERS).0, 1);
    raw.send(&frame(kind::HEADERS, END_HEADERS | 1, 3, &headers("/millrudder.v2.Jobs/Submit")));
    assert_eq!(raw.until(kind::HEADERS).0, 3);
    rig.until_counted("rejected_unknown 2");
    let mut http1 = RawClient::connect_silent(&rig);
    http1.send(b"POST /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    assert!(http1.is_closed());
    assert_still_serves(&rig);
}

#[test]
fn split_and_garbage_input_leaves_the_front_serving() {
    let rig = Rig::start("request_time: 100 ms", 16);
    let message = prost::Message::encode_to_vec(&request("a"));
    let session = [crate::rig::PREFACE, &frame(kind::SETTINGS, 0, 0, &[]), &call(1, &message)].concat();
    millrudder_testing::garbage(25, &session, |bytes| {
        let mut raw = RawClient::connect_silent(&rig);
        raw.send(bytes);
    });
    // Some of the damaged sessions still contained whole calls; their jobs are withdrawn when the connection ends.
    until("no place is held", || rig.admission_gate.usage(Front::Grpc).places == 0);
    let mut served_whole = 0;
    millrudder_testing::cuts(26, &session, |parts| {
        if served_whole == 40 {
            return;
        }
        while !rig.nothing_came() {}
        let mut raw = RawClient::connect_silent(&rig);
        parts.iter().for_each(|part| assert!(raw.send(part)));
        rig.job().2.give(served("made"));
        assert!(raw.until(kind::DATA).1.ends_with(b"made"));
        served_whole += 1;
    });
}
