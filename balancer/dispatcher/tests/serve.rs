//! Tests of the program, started as in service, between scripted peers on loopback. Every wait here ends with an
//! event; the time limits only turn a hang into a failure.

mod crossings;
mod operators;
mod peers;
mod process;
mod retune;
mod upgrade;

use peers::{client, start_discovery, Dispatcher, Reply, ScriptedWorker, WAIT};
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::TcpStream;

const JOB: &str =
    "POST /api?q=1 HTTP/1.1\r\nX-Trace-Id: 9b1f\r\nX-Qos: copy-issue\r\nX-Expires-In: 20000m\r\n\
    Idempotency-Key: 5c0f\r\nX-Props: slots=1,memory=1.433\r\nContent-Length: 4\r\n\r\nbody";

#[test]
fn a_job_passes_unchanged_and_its_result_is_the_answer() {
    let hop = ScriptedWorker::start();
    let dispatcher = Dispatcher::start(&hop, 256);
    let mut client = client(&dispatcher.listen);
    client.send(JOB);
    let seen = hop.next();
    let expected =
        ["POST /api?q=1 HTTP/1.1\r\n", "X-Trace-Id: 9b1f\r\n", "Idempotency-Key: 5c0f\r\n", "\r\n\r\nbody"];
    for part in expected {
        assert!(seen.text.contains(part), "{part:?} in {:?}", seen.text);
    }
    // A call-back may come before the 202, be for another job, or be malformed: all get the same answer.
    let news = |text: &str| assert_eq!(dispatcher.news(text), 204);
    news(r#"{"id":"9b1f","from":"s-1","state":"started"}"#);
    news(r#"{"id":"9b1f","from":"s-other","state":"done","result":"wrong hop"}"#);
    news(r#"{"id":"none","from":"s-1","state":"done","result":"wrong job"}"#);
    news(&"[".repeat(60_000));
    seen.answer(Reply::Accept);
    let done = r#"{"id":"9b1f","from":"s-1","state":"done","result":"made \"here\"","load":{"rif":0}}"#;
    news(done);
    let answer = client.answer();
    assert_eq!((answer.status, answer.body.as_str()), (200, "made \"here\""));
    // A repeated call-back is dropped, and the client gets no second answer. Its connection stays usable.
    news(done);
    client.send("GET /counters HTTP/1.1\r\n\r\n");
    let counters = client.answer().body;
    for line in
        ["taken 1", "attempts_sent 1", "answered_served 1", "outcome_ok 1", "news_stale 3", "news_bad 1"]
    {
        assert!(counters.lines().any(|l| l == line), "{line}: {counters}");
    }
}

#[test]
fn a_connection_that_breaks_before_the_202_is_never_taken_for_unsent() {
    // The job may have run. A 503 would promise that the client may safely repeat it, and another attempt would run it
    // twice.
    let hop = ScriptedWorker::start();
    let dispatcher = Dispatcher::start(&hop, 256);
    let mut client = client(&dispatcher.listen);
    client.send(JOB);
    hop.next().answer(Reply::Break);
    assert_eq!(client.answer().status, 502);
    assert!(dispatcher.counters().contains("outcome_reset 1\n"));
}

#[test]
fn at_the_deadline_the_client_is_answered_and_the_next_hop_told() {
    let hop = ScriptedWorker::start();
    let dispatcher = Dispatcher::start(&hop, 256);
    let mut client = client(&dispatcher.listen);
    client.send(&JOB.replace("20000m", "3000m"));
    hop.next().answer(Reply::Accept);
    assert_eq!(client.answer().status, 504);
    assert!(hop.next().text.starts_with("DELETE /jobs/9b1f HTTP/1.1\r\n"));
}

#[test]
fn bad_input_is_named_and_leaves_the_program_standing() {
    let hop = ScriptedWorker::start();
    let dispatcher = Dispatcher::start(&hop, 256);
    for (request, status, words) in [
        ("nonsense\r\n\r\n", 400, "malformed"),
        ("POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413, "body over"),
        ("POST /api HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400, "differ"),
        ("GET /none HTTP/1.1\r\n\r\n", 404, "path"),
        ("DELETE /api HTTP/1.1\r\n\r\n", 405, "POST"),
        ("POST /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400, "X-Trace-Id"),
        (&JOB.replace("20000m", "soon"), 400, "X-Expires-In"),
        (&JOB.replace("copy-issue", "other"), 400, "X-Qos"),
        (&JOB.replace("th: 4", "th: -4"), 400, "Content-Length"),
        (&JOB.replace("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked"), 400, "beside"),
        (&JOB.replace("Content-Length: 4", "Content-Length: 99999999999999999999"), 413, "body over"),
    ] {
        let mut client = client(&dispatcher.listen);
        client.send(request);
        let answer = client.answer();
        assert_eq!(answer.status, status, "{request:?}");
        assert!(answer.body.contains(words), "{:?}", answer.body);
        assert!(client.is_ended(), "who is refused does not hold a descriptor");
    }
    // A client that is still sending a body that is too large is not reset: it can finish, and read the error.
    let mut client = client(&dispatcher.listen);
    client.send("POST /api HTTP/1.1\r\nContent-Length: 500000\r\n\r\n");
    assert_eq!(client.answer().status, 413);
    (0..50).for_each(|_| client.send(&"x".repeat(10_000)));
    let counters = dispatcher.counters();
    for line in ["rejected_malformed 4", "rejected_too_large 3", "rejected_unknown 2", "rejected_headers 3"] {
        assert!(counters.lines().any(|l| l == line), "{line}: {counters}");
    }
    assert!(counters.contains("taken 0\n") && counters.contains("attempts_sent 0\n"));
}

#[test]
fn the_second_user_of_an_id_gets_an_error_and_the_first_job_is_untouched() {
    let hop = ScriptedWorker::start();
    let dispatcher = Dispatcher::start(&hop, 256);
    let (mut first, mut second) = (client(&dispatcher.listen), client(&dispatcher.listen));
    first.send(JOB);
    let seen = hop.next();
    second.send(JOB);
    assert_eq!(second.answer().status, 409);
    assert!(second.is_ended());
    seen.answer(Reply::Accept);
    assert_eq!(dispatcher.news(r#"{"id":"9b1f","from":"s-1","state":"done","result":"first"}"#), 204);
    assert_eq!(first.answer().body, "first");
    assert!(dispatcher.counters().contains("rejected_repeated 1\n"));
}

#[test]
fn who_says_nothing_or_half_a_request_is_ended_and_who_is_known_stays() {
    // Guards against connections that never send a complete request: 477 of them once held the descriptors that usual
    // clients needed, for a whole day.
    let hop = ScriptedWorker::start();
    let dispatcher = Dispatcher::start(&hop, 256);
    let mut known = client(&dispatcher.listen);
    known.send(JOB);
    hop.next().answer(Reply::Break);
    assert_eq!(known.answer().status, 502);
    let (silent, mut half) = (client(&dispatcher.listen), client(&dispatcher.listen));
    half.send(&JOB[..JOB.len() - 2]);
    assert_eq!(half.answer().status, 408);
    assert!(half.is_ended() && silent.is_ended());
    known.send(&JOB.replace("9b1f", "9b20"));
    hop.next().answer(Reply::Break);
    assert_eq!(known.answer().status, 502, "a kept connection of a usual client is not ended for being idle");
}

#[test]
fn silent_connections_do_not_crowd_out_jobs() {
    // Guards against silent clients that hold most of the descriptors: on the first day with bad clients every job was
    // deferred because of them.
    let hop = ScriptedWorker::start();
    let dispatcher = Dispatcher::start(&hop, 96);
    let _silent: Vec<TcpStream> =
        (0..120).map(|_| TcpStream::connect(&dispatcher.listen).expect("taken or queued")).collect();
    let mut client = client(&dispatcher.listen);
    client.send(JOB);
    hop.next().answer(Reply::Accept);
    assert_eq!(dispatcher.news(r#"{"id":"9b1f","from":"s-1","state":"done","result":"made"}"#), 204);
    assert_eq!(client.answer().body, "made");
}

#[test]
fn more_clients_than_descriptors_do_not_shut_the_door() {
    let hop = ScriptedWorker::start();
    let dispatcher = Dispatcher::start(&hop, 96);
    // The test keeps all these connections open; the dispatcher evicts idle ones to make room.
    let mut idle: Vec<TcpStream> =
        (0..120).map(|_| TcpStream::connect(&dispatcher.listen).expect("taken or queued")).collect();
    let counters = dispatcher.counters();
    assert!(counters.contains("accept_errors 0\n"), "{counters}");
    assert!(!counters.contains("connections_evicted 0\n"), "{counters}");
    let mut ended = Vec::new();
    idle[0].set_read_timeout(Some(WAIT)).unwrap();
    assert_eq!(idle[0].read_to_end(&mut ended).expect("ended to make room"), 0);
}

#[test]
fn after_sigterm_what_was_taken_is_answered_and_the_exit_is_clean() {
    let hop = ScriptedWorker::start();
    let mut dispatcher = Dispatcher::start(&hop, 256);
    let mut idle = TcpStream::connect(&dispatcher.listen).unwrap();
    let mut client = client(&dispatcher.listen);
    client.send(JOB);
    let seen = hop.next();
    seen.answer(Reply::Accept);
    dispatcher.signal("TERM");
    assert!(dispatcher.log_shows("told to stop"));
    // Call-backs are still accepted, and the job's connection stays open until the job is answered.
    assert_eq!(dispatcher.news(r#"{"id":"9b1f","from":"s-1","state":"done","result":"late"}"#), 204);
    let answer = client.answer();
    assert_eq!((answer.status, answer.body.as_str()), (200, "late"));
    // At the end the idle connections are closed, so that nothing delays the exit.
    idle.set_read_timeout(Some(WAIT)).unwrap();
    assert_eq!(idle.read_to_end(&mut Vec::new()).expect("ended"), 0);
    assert!(client.is_ended());
    assert!(dispatcher.log_shows("answered_served=1"));
    assert_eq!(dispatcher.exit_code(), Some(0));
}

#[test]
fn a_bad_configuration_ends_the_start_and_names_the_key() {
    let hop = ScriptedWorker::start();
    let mut dispatcher = Dispatcher::spawn(&hop, 256, &[], |config| {
        config.replace("\"hard_limit\":20000", "\"hard_limit\":\"x\"")
    });
    assert!(dispatcher.log_shows("settings.lanes[0].hard_limit"));
    assert_eq!(dispatcher.exit_code(), Some(1));
}

#[test]
fn a_client_that_leaves_is_noticed_while_its_job_runs() {
    let hop = ScriptedWorker::start();
    let dispatcher = Dispatcher::start(&hop, 256);
    let mut leaving = TcpStream::connect(&dispatcher.listen).unwrap();
    leaving.write_all(JOB.as_bytes()).unwrap();
    hop.next().answer(Reply::Accept);
    drop(leaving);
    dispatcher.until_counted("withdrawn 1\n");
    dispatcher.signal("USR1");
    assert!(dispatcher.log_shows("withdrawn=1"), "counters are printed on request, and the program goes on");
    assert!(dispatcher.counters().contains("taken 1\n"));
}

#[test]
fn what_could_not_be_sent_is_deferred_at_once() {
    // Nothing ran, so the client may try again; it would not help to hold the answer back until the deadline.
    let hop = ScriptedWorker::unreachable();
    let dispatcher = Dispatcher::start(&hop, 256);
    let mut client = client(&dispatcher.listen);
    client.send(JOB);
    assert_eq!(client.answer().status, 503);
    assert!(!dispatcher.counters().contains("outcome_connect_error 0\n"));
}

#[test]
fn a_discovery_that_fails_or_lies_is_asked_again() {
    let hop = ScriptedWorker::start();
    let failures = [
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"generation\":[]}",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
    ];
    // The configuration has no worker list of its own, so the job depends on the list that discovery sends last.
    let dispatcher = Dispatcher::start_with(&hop, 256, &failures, |c| c.replace("\"known\"", "\"unknown\""));
    dispatcher.until_counted("map_changes 1\n");
    let counters = dispatcher.counters();
    assert!(counters.contains("map_failures 3\n") && counters.contains("map_bad 1\n"), "{counters}");
    // The client stays connected: a job whose client has left is not sent.
    let mut client = client(&dispatcher.listen);
    client.send(JOB);
    assert!(hop.next().text.starts_with("POST /api?q=1"));
}

#[test]
fn what_does_not_end_in_time_after_sigterm_is_answered_before_the_kill() {
    // The platform kills 3.7 s after the signal; a job that runs longer must not end without an answer.
    let hop = ScriptedWorker::start();
    let mut dispatcher = Dispatcher::start(&hop, 256);
    let mut client = client(&dispatcher.listen);
    // The job's own deadline is later than every wait of this test.
    client.send(&JOB.replace("20000m", "200000m"));
    hop.next().answer(Reply::Accept);
    dispatcher.signal("TERM");
    let answer = client.answer();
    assert_eq!(answer.status, 504);
    assert!(answer.head.contains("Connection: close"));
    assert!(dispatcher.log_shows("answered_failed=1"));
    assert_eq!(dispatcher.exit_code(), Some(0));
}

#[test]
fn sighup_turns_to_another_discovery_and_keeps_what_is_under_way() {
    // Guards against SIGHUP ending the process: that lost nineteen requests on the first day on which it was sent.
    let (hop, other) = (ScriptedWorker::start(), ScriptedWorker::start());
    let mut dispatcher = Dispatcher::start(&hop, 256);
    let mut held = dispatcher.watches.recv_timeout(WAIT).expect("a watch is held");
    let mut waiting = client(&dispatcher.listen);
    waiting.send(JOB);
    hop.next().answer(Reply::Accept);
    let (discovery, _watches) = start_discovery(VecDeque::new(), other.listed("s-2"));
    dispatcher.reload(&discovery, |config| config.replace("\"me\":0", "\"me\":1"));
    assert!(dispatcher.log_shows("not changed while running: settings.me"));
    held.set_read_timeout(Some(WAIT)).unwrap();
    assert_eq!(held.read_to_end(&mut Vec::new()).expect("the held watch is dropped at once"), 0);
    dispatcher.until_counted("map_changes 1\n");
    // The open job is still known; the next one goes to the worker that the new discovery service lists.
    assert_eq!(dispatcher.news(r#"{"id":"9b1f","from":"s-1","state":"done","result":"kept"}"#), 204);
    assert_eq!(waiting.answer().body, "kept");
    waiting.send(&JOB.replace("9b1f", "9b20"));
    other.next().answer(Reply::Break);
    assert_eq!(waiting.answer().status, 502);
    // An invalid file changes nothing, also if a stop comes at the same time.
    dispatcher.reload(&discovery, |config| config.replace("\"hard_limit\":20000", "\"hard_limit\":0"));
    assert!(dispatcher.log_shows("settings.lanes[0].hard_limit"));
    assert!(dispatcher.counters().contains("map_moves 1\nreloads_good 1\nreloads_bad 1\n"));
    // A child that has exited can still be sent signals until it is waited for, so the order of the two does not matter.
    dispatcher.signal("TERM");
    dispatcher.signal("HUP");
    assert_eq!(dispatcher.exit_code(), Some(0));
}
