//! Operators' calls to a running dispatcher: disabling workers and draining clients. Every wait ends with an event; the
//! time limits only turn a hang into a failure.

use crate::peers::{self, client, Client, Dispatcher, Reply, ScriptedWorker, WAIT};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

fn job(id: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nX-Trace-Id: {id}\r\nX-Qos: copy-issue\r\nX-Expires-In: 20000m\r\n\
        Content-Length: 4\r\n\r\nbody"
    )
}

fn managed(hop: &ScriptedWorker) -> Dispatcher {
    Dispatcher::start_with(hop, 256, &[], |config| {
        let advice = "\"retry_after\":true,\"max_retry_after\":2000,\"max_attempts\"";
        config.replacen('{', "{\"mgmt\":\"MGMT\",", 1).replace("\"max_attempts\"", advice)
    })
}

fn done(dispatcher: &Dispatcher, id: &str) {
    let news = format!(r#"{{"id":"{id}","from":"s-1","state":"done","result":"made"}}"#);
    assert_eq!(dispatcher.news(&news), 204);
}

/// Runs one job from the client's request to its answer.
fn served(dispatcher: &Dispatcher, hop: &ScriptedWorker, client: &mut Client, id: &str) {
    client.send(&job(id));
    hop.next().answer(Reply::Accept);
    done(dispatcher, id);
    assert_eq!(client.answer().status, 200);
}

fn ready(dispatcher: &Dispatcher) -> u16 {
    let mut client = client(&dispatcher.listen);
    client.send("GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n");
    client.answer().status
}

#[test]
fn each_call_gets_one_line_and_what_is_none_fails() {
    let hop = ScriptedWorker::start();
    let dispatcher = managed(&hop);
    assert_eq!(dispatcher.operators(b"READY\n"), "ok\n");
    assert_eq!(dispatcher.operators(b"READY\r\n"), "ok\n");
    for bad in [
        &b"ready\n"[..],
        b"\n",
        b"DISABLE\n",
        b"ENABLE s-1 s-2\n",
        b"DRAIN now\n",
        b"READY\nREADY\n",
        b"\xff\n",
    ] {
        let answer = dispatcher.operators(bad);
        assert!(answer.starts_with("fail ") && answer.ends_with('\n'), "{bad:?}: {answer:?}");
    }
    assert!(dispatcher.operators(&[b'x'; 4_000]).starts_with("fail "), "endless lines");
    // An unknown id must fail: an operator who mistypes it must not believe that the worker is disabled.
    assert!(dispatcher.operators(b"DISABLE s-9\n").starts_with("fail "));
    assert!(dispatcher.operators(b"ENABLE s-9\n").starts_with("fail "));
    // A truncated line must fail: the part of the id that came could name another worker.
    let stream = TcpStream::connect(&dispatcher.mgmt).unwrap();
    (&stream).write_all(b"DISABLE s-1").unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = String::new();
    (&stream).read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("fail "), "{answer:?}");
    assert!(dispatcher.counters().contains("bans 0\n"));
    assert_eq!(ready(&dispatcher), 200);
}

#[test]
fn callers_that_hold_half_a_call_delay_nobody() {
    let hop = ScriptedWorker::start();
    let dispatcher = managed(&hop);
    let silent: Vec<TcpStream> = (0..100)
        .map(|_| {
            let mut stream = TcpStream::connect(&dispatcher.mgmt).unwrap();
            stream.write_all(b"DRA").unwrap();
            stream
        })
        .collect();
    let began = Instant::now();
    assert_eq!(dispatcher.operators(b"READY\n"), "ok\n");
    // Much sooner than the time limit after which a silent caller is disconnected.
    assert!(began.elapsed() < Duration::from_millis(1_000), "{:?}", began.elapsed());
    // Each silent connection ends: it is refused, or closed to make room for others.
    for mut stream in silent {
        stream.set_read_timeout(Some(WAIT)).unwrap();
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        assert!(answer.is_empty() || answer.starts_with("fail "), "{answer:?}");
    }
    assert_eq!(ready(&dispatcher), 200, "half a call drains nothing");
}

#[test]
fn nothing_goes_to_a_worker_out_by_hand_until_it_is_put_back() {
    let hop = ScriptedWorker::start();
    let dispatcher = managed(&hop);
    let mut client = client(&dispatcher.listen);
    served(&dispatcher, &hop, &mut client, "a1");
    for _ in 0..3 {
        assert_eq!(dispatcher.operators(b"DISABLE s-1\n"), "ok\n", "repeats are harmless");
    }
    // All workers are disabled: the job is refused at once, with the time after which to try again.
    client.send(&job("a2"));
    let answer = client.answer();
    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("Retry-After: "), "{}", answer.head);
    // Neither a reload nor a full list from another discovery enables the worker again.
    let (discovery, _watches) = peers::start_discovery([].into(), hop.listed("s-1"));
    dispatcher.reload(&discovery, |config| config);
    dispatcher.until_counted("map_moves 1\n");
    dispatcher.until_counted("map_changes 1\n");
    client.send(&job("a3"));
    assert_eq!(client.answer().status, 503);
    assert!(dispatcher.counters().contains("attempts_sent 1\n"));
    assert_eq!(dispatcher.operators(b"ENABLE s-1\n"), "ok\n", "one call ends it");
    assert_eq!(dispatcher.operators(b"ENABLE s-1\n"), "ok\n");
    served(&dispatcher, &hop, &mut client, "a4");
}

#[test]
fn a_drained_dispatcher_sends_clients_away_and_takes_them_again() {
    let hop = ScriptedWorker::start();
    let dispatcher = managed(&hop);
    let (mut idle, mut busy, mut late) =
        (client(&dispatcher.listen), client(&dispatcher.listen), client(&dispatcher.listen));
    served(&dispatcher, &hop, &mut idle, "b1");
    let mut caller = client(&dispatcher.listen);
    let news = r#"{"id":"none","from":"s-1","state":"started"}"#;
    let call_back = format!("POST /_jobs/news HTTP/1.1\r\nContent-Length: {}\r\n\r\n{news}", news.len());
    caller.send(&call_back);
    assert_eq!(caller.answer().status, 204);
    busy.send(&job("b2"));
    hop.next().answer(Reply::Accept);
    // No further job is sent to a worker while one that it got has not started.
    assert_eq!(dispatcher.news(r#"{"id":"b2","from":"s-1","state":"started"}"#), 204);
    assert_eq!(dispatcher.operators(b"DRAIN\n"), "ok\n");
    assert_eq!(dispatcher.operators(b"DRAIN\n"), "ok\n");
    assert_eq!(ready(&dispatcher), 503);
    // Jobs that still arrive are served; the answer closes the connection.
    late.send(&job("b3"));
    hop.next().answer(Reply::Accept);
    for (client, id) in [(&mut busy, "b2"), (&mut late, "b3")] {
        done(&dispatcher, id);
        let answer = client.answer();
        assert_eq!((answer.status, answer.body.as_str()), (200, "made"));
        assert!(answer.head.contains("Connection: close"), "{}", answer.head);
        assert!(client.is_ended());
    }
    assert!(idle.is_ended(), "no client's connection stays idle");
    caller.send(&call_back);
    assert_eq!(caller.answer().status, 204, "workers' connections stay");
    // After the drain clients are admitted again, and their connections are kept open.
    assert_eq!(dispatcher.operators(b"UNDRAIN\n"), "ok\n");
    assert_eq!(ready(&dispatcher), 200);
    let mut again = client(&dispatcher.listen);
    served(&dispatcher, &hop, &mut again, "b4");
    served(&dispatcher, &hop, &mut again, "b5");
}

#[test]
fn a_drain_does_not_keep_a_stop_from_ending() {
    let hop = ScriptedWorker::start();
    let mut dispatcher = managed(&hop);
    assert_eq!(dispatcher.operators(b"DRAIN\n"), "ok\n");
    dispatcher.signal("TERM");
    assert!(dispatcher.log_shows("told to stop"));
    // The signal is logged a moment before the core handles it.
    while !dispatcher.operators(b"READY\n").starts_with("fail ") {
        std::thread::yield_now();
    }
    assert_eq!(ready(&dispatcher), 503);
    assert_eq!(dispatcher.exit_code(), Some(0));
}
