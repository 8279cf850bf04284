//! Unit tests of `watch`.

use super::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

#[test]
fn a_silent_discovery_is_noticed_before_its_changes_take_effect() {
    // Nothing new may be sent to a worker 0.5 s after its drain counts as known to the dispatcher. That is 2
    // s after the hold time of a watch call has passed, and 6 s after any other call.
    assert!(
        answer_timeout(WATCH_HOLD_MS) < f64::from(WATCH_HOLD_MS) + 2_000.0 && answer_timeout(0) < 6_000.0
    );
}

/// Reads the head of a request, which has no body.
fn read_head(peer: &mut TcpStream) {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        peer.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
}

#[test]
fn an_invalid_list_changes_nothing_and_is_counted() {
    // A complete list whose entries were missing once removed every worker at the same time.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (exchange, inbox) = Exchange::new();
    let (counters, log) = (Arc::new(Counters::default()), Logger::root(slog::Discard, slog::o!()));
    let at = listener.local_addr().unwrap();
    let map = WorkerListWatcher::follow(at, Some(1), exchange, counters.clone(), Clock::start(), log);
    let bad = [
        r#"{"generation":2,"reset":true}"#,
        r#"{"generation":2,"reset":true,"instances":[]}"#,
        r#"{"generation":2,"reset":true,"instances":[{"instanceId":"s-1","#,
        r#"{"generation":2,"reset":true,"instances":[{"instanceId":"s-1","lifecycle":"well"}]}"#,
        r#"{"generation":0,"reset":false,"instances":[]}"#,
        "",
    ];
    for (i, body) in (1..).zip(bad) {
        map.request(ListRequest::Watch);
        let mut peer = listener.accept().unwrap().0;
        read_head(&mut peer);
        let length = body.len();
        let answer =
            format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}");
        peer.write_all(answer.as_bytes()).unwrap();
        assert!(matches!(inbox.recv(), Ok(Message::WorkerListUnavailable)), "{body}");
        assert_eq!((counters.map_bad.get(), counters.map_failures.get()), (i, i), "{body}");
    }
}

#[test]
fn a_silent_watch_is_reopened_at_once_and_a_second_silence_is_reported() {
    // A silent watch was reported as a failure, and the module then waited before it asked for another one.
    // That delay is meant for a discovery that all dispatchers call at once: up to 10 s for 300 dispatchers.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (exchange, inbox) = Exchange::new();
    let (counters, log) = (Arc::new(Counters::default()), Logger::root(slog::Discard, slog::o!()));
    let at = listener.local_addr().unwrap();
    let map = WorkerListWatcher::follow(at, Some(1), exchange, counters.clone(), Clock::start(), log);
    map.request(ListRequest::Watch);
    let mut silent = Vec::new();
    listener.set_nonblocking(true).unwrap();
    for answered in [false, true, false, false] {
        let mut peer = loop {
            match listener.accept() {
                Ok((stream, _)) => break stream,
                Err(_) => assert!(inbox.try_recv().is_err(), "reported instead of reopened"),
            }
            std::thread::yield_now();
        };
        read_head(&mut peer);
        if answered {
            let body = r#"{"generation":2,"reset":false,"instances":[]}"#;
            let length = body.len();
            write!(peer, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}")
                .unwrap();
            assert!(matches!(inbox.recv(), Ok(Message::WorkerList(_))));
        } else {
            map.abort_call(f64::INFINITY);
            silent.push(peer);
        }
    }
    assert!(matches!(inbox.recv(), Ok(Message::WorkerListUnavailable)));
    assert_eq!((counters.map_silent.get(), counters.map_failures.get()), (2, 1));
}

#[test]
fn an_overdue_call_is_aborted_and_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (exchange, inbox) = Exchange::new();
    let log = Logger::root(slog::Discard, slog::o!());
    let at = listener.local_addr().unwrap();
    let map = WorkerListWatcher::follow(at, Some(1), exchange, Arc::default(), Clock::start(), log);
    map.request(ListRequest::Watch);
    let _silent = listener.accept().unwrap();
    while inbox.try_recv().is_err() {
        map.abort_call(f64::INFINITY);
        std::thread::yield_now();
    }
}
