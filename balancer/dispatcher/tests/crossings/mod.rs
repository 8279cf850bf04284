//! Races between the end of a job or attempt and the work still open for it. Each test forces one order of events with a
//! peer that holds a connection at the exact step, and checks which requests arrived where.

use crate::peers::{client, read_message, Client, Dispatcher, Reply, ScriptedWorker, WAIT};
use crate::JOB;
use millrudder_front_grpc::proto::jobs_client::JobsClient;
use millrudder_front_grpc::proto::SubmitRequest;
use std::future::Future;
use std::io::Write;
use std::net::{TcpListener, TcpStream};

fn with_cancel(allowed: bool) -> impl Fn(String) -> String {
    move |config| config.replace("\"may_cancel\":true", &format!("\"may_cancel\":{allowed}"))
}

/// Stops the program, which closes its kept connections; returns what the worker received on its connection.
fn seen_at_the_end(mut dispatcher: Dispatcher, read: impl FnOnce() -> String) -> String {
    dispatcher.signal("TERM");
    assert_eq!(dispatcher.exit_code(), Some(0));
    read()
}

/// Answers a discovery watch that the peer holds open.
fn tell(watch: &mut TcpStream, list: &str) {
    write!(watch, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).unwrap();
}

#[test]
fn where_no_two_may_be_out_a_lost_job_is_sent_again_once_its_call_off_is_heard() {
    // Guards against a second attempt that is sent before the cancel request of the first has reached its worker. With
    // the worker cut off, the DELETE could not reach it, and the second attempt left 0.1 ms after the cancel was requested.
    let ((hop, listener), other) = (ScriptedWorker::with_listener(), ScriptedWorker::start());
    let dispatcher = Dispatcher::start_with(&hop, 256, &[], |config| {
        // Without start or progress messages a job counts as lost after a few times its running time, which is first
        // estimated from the target (`aim`).
        config
            .replace("\"aim\":10000", "\"aim\":50")
            .replace("at_most_once", "idempotent")
            .replace("\"may_cancel\":true", "\"may_cancel\":true,\"parallel_tries\":false")
            .replace("\"tells_start\":true", "\"tells_start\":false,\"progress\":20")
    });
    let mut watch = dispatcher.watches.recv_timeout(WAIT).expect("a watch is held");
    let mut waiting = client(&dispatcher.listen);
    waiting.send(JOB);
    let mut first = listener.accept().unwrap().0;
    assert!(read_message(&mut first).unwrap().head.starts_with("POST /api"));
    let crowd = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    first.write_all(b"HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").unwrap();
    tell(
        &mut watch,
        &format!(r#"{{"generation":2,"reset":false,"instances":[{}]}}"#, other.line("s-2", "active")),
    );
    dispatcher.until_counted("calls_off 1\n");
    assert!(dispatcher.counters().contains("attempts_sent 1\n"), "{}", dispatcher.counters());
    drop((listener.accept().unwrap(), crowd));
    // A cancel request has its own time limit: if its connection is established too late, it is sent again on another.
    let mut told = loop {
        let mut stream = listener.accept().unwrap().0;
        if let Some(call_off) = read_message(&mut stream) {
            assert!(call_off.head.starts_with("DELETE /jobs/9b1f"));
            break stream;
        }
    };
    assert!(dispatcher.counters().contains("attempts_sent 1\n"), "not yet heard");
    told.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").unwrap();
    other.next().answer(Reply::Accept);
    assert_eq!(dispatcher.news(r#"{"id":"9b1f","from":"s-2","state":"done","result":"made"}"#), 204);
    assert_eq!(waiting.answer().body, "made");
}

/// With parallel attempts forbidden, a worker takes a job and its 202 is lost. Returns that worker's listener and a
/// second worker.
fn unheard(allowed: bool) -> (Dispatcher, TcpListener, ScriptedWorker, Client) {
    let ((hop, listener), other) = (ScriptedWorker::with_listener(), ScriptedWorker::start());
    let dispatcher = Dispatcher::start_with(&hop, 256, &[], |config| {
        with_cancel(allowed)(config)
            .replace("at_most_once", "idempotent")
            .replace("\"connect_timeout\":5000", "\"connect_timeout\":1000,\"parallel_tries\":false")
    });
    let mut watch = dispatcher.watches.recv_timeout(WAIT).expect("a watch is held");
    let mut waiting = client(&dispatcher.listen);
    waiting.send(JOB);
    let mut first = listener.accept().unwrap().0;
    assert!(read_message(&mut first).unwrap().head.starts_with("POST /api"));
    let line = other.line("s-2", "active");
    tell(&mut watch, &format!(r#"{{"generation":2,"reset":false,"instances":[{line}]}}"#));
    dispatcher.until_counted("map_changes 1\n");
    assert!(read_message(&mut first).is_none(), "it is waited for no longer");
    (dispatcher, listener, other, waiting)
}

#[test]
fn where_no_two_may_be_out_a_silent_worker_is_called_off_before_another_gets_the_job() {
    // Guards against a second attempt that is sent at once when the 202 of the first is lost: closing the connection
    // does not cancel the job at the worker then. Seen in the scenario "counter-desk", split.
    let (dispatcher, listener, other, mut waiting) = unheard(true);
    dispatcher.until_counted("calls_off 1\n");
    let mut told = listener.accept().unwrap().0;
    assert!(read_message(&mut told).unwrap().head.starts_with("DELETE /jobs/9b1f"));
    assert!(dispatcher.counters().contains("attempts_sent 1\n"), "{}", dispatcher.counters());
    told.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").unwrap();
    other.next().answer(Reply::Accept);
    assert_eq!(dispatcher.news(r#"{"id":"9b1f","from":"s-2","state":"done","result":"made"}"#), 204);
    assert_eq!(waiting.answer().body, "made");
}

#[test]
fn where_no_two_may_be_out_and_none_called_off_a_silent_worker_is_waited_for() {
    let (dispatcher, _listener, _other, mut waiting) = unheard(false);
    assert_eq!(dispatcher.news(r#"{"id":"9b1f","from":"s-1","state":"done","result":"made"}"#), 204);
    assert_eq!(waiting.answer().body, "made");
    let counters = dispatcher.counters();
    assert!(counters.contains("attempts_sent 1\n") && counters.contains("calls_off 0\n"), "{counters}");
}

#[test]
fn a_client_that_leaves_while_a_connection_comes_up_is_not_sent_on() {
    for allowed in [true, false] {
        let (hop, crowd) = ScriptedWorker::with_full_accept_queue();
        let dispatcher = Dispatcher::start_with(&hop, 256, &[], with_cancel(allowed));
        let mut leaving = client(&dispatcher.listen);
        leaving.send(JOB);
        dispatcher.until_counted("attempts_sent 1\n");
        drop(leaving);
        dispatcher.until_counted("withdrawn 1\n");
        let read = crowd.make_room();
        dispatcher.until_counted("outcome_ignored 1\n");
        assert_eq!(seen_at_the_end(dispatcher, read), "", "may_cancel: {allowed}");
    }
}

/// One job over gRPC, up to its answer.
fn submit(to: &str) -> impl Future<Output = bool> {
    let to = tonic::transport::Endpoint::from_shared(format!("http://{to}")).unwrap();
    let request = SubmitRequest { job_class: "copy-issue".to_owned(), ..SubmitRequest::default() };
    async move { JobsClient::new(to.connect().await.unwrap()).submit(request).await.is_ok() }
}

#[test]
fn a_grpc_client_that_leaves_while_a_connection_comes_up_is_not_sent_on() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for allowed in [true, false] {
        let (hop, crowd) = ScriptedWorker::with_full_accept_queue();
        let grpc = Some("fronts: {grpc: {listen: 'GRPC'}}\n");
        let dispatcher = Dispatcher::spawn_with(&hop, 512, &[], grpc, with_cancel(allowed));
        assert!(dispatcher.log_shows("serving gRPC"));
        let call = runtime.spawn(submit(&dispatcher.grpc));
        dispatcher.until_counted("attempts_sent 1\n");
        call.abort();
        dispatcher.until_counted("withdrawn 1\n");
        let read = crowd.make_room();
        dispatcher.until_counted("outcome_ignored 1\n");
        assert_eq!(seen_at_the_end(dispatcher, read), "", "may_cancel: {allowed}");
    }
}

#[test]
fn a_client_that_leaves_while_its_job_is_held_is_not_sent_on() {
    // No worker takes jobs when the two jobs arrive; once one does, only the job whose client has stayed is sent.
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for allowed in [true, false] {
        let (leaving, other) = (ScriptedWorker::start(), ScriptedWorker::start());
        let grpc = Some("fronts: {grpc: {listen: 'GRPC'}}\n");
        let dispatcher = Dispatcher::spawn_with(&leaving, 512, &[], grpc, |config| {
            // Lets jobs wait: while the running time is unknown, it is assumed to be as long as the target (`aim`),
            // and without the stretch such a job would be given up at once.
            with_cancel(allowed)(config)
                .replace("\"active\"", "\"leaving\"")
                .replace("\"tells_start\":true", "\"tells_start\":true,\"class_stretch\":[2]")
        });
        assert!(dispatcher.log_shows("serving gRPC"));
        let mut watch = dispatcher.watches.recv_timeout(WAIT).expect("a watch is held");
        let (mut gone, mut stays) = (client(&dispatcher.listen), client(&dispatcher.listen));
        gone.send(JOB);
        dispatcher.until_counted("taken 1\n");
        let call = runtime.spawn(submit(&dispatcher.grpc));
        dispatcher.until_counted("taken 2\n");
        stays.send(&JOB.replace("9b1f", "9b20"));
        dispatcher.until_counted("taken 3\n");
        drop(gone);
        call.abort();
        dispatcher.until_counted("withdrawn 2\n");
        assert!(dispatcher.counters().contains("attempts_sent 0\n"), "{}", dispatcher.counters());
        tell(
            &mut watch,
            &format!(r#"{{"generation":2,"reset":false,"instances":[{}]}}"#, other.line("s-2", "active")),
        );
        let seen = other.next();
        assert!(seen.text.contains("X-Trace-Id: 9b20\r\n"), "{}", seen.text);
        seen.answer(Reply::Accept);
        assert_eq!(dispatcher.news(r#"{"id":"9b20","from":"s-2","state":"done","result":"made"}"#), 204);
        assert_eq!(stays.answer().body, "made");
        dispatcher.until_counted("attempts_sent 1\n");
    }
}

#[test]
fn when_to_come_back_is_said_only_where_the_settings_allow_it_also_after_sighup() {
    // One job fills admission. Guards against a Retry-After header in refusals although the settings forbid it.
    let hop = ScriptedWorker::start();
    let one = Some("admission: {jobs: 1}\n");
    let dispatcher = Dispatcher::spawn_with(&hop, 256, &[], one, |config| {
        config.replace("\"may_cancel\":true", "\"may_cancel\":true,\"retry_after\":false")
    });
    assert!(dispatcher.log_shows("serving"));
    let (mut first, mut second) = (client(&dispatcher.listen), client(&dispatcher.listen));
    first.send(JOB);
    hop.next().answer(Reply::Accept);
    let mut advised = |id: &str| {
        second.send(&JOB.replace("9b1f", id));
        let answer = second.answer();
        assert_eq!(answer.status, 503, "{}", answer.body);
        answer.head.contains("Retry-After: ")
    };
    assert!(!advised("9b20"));
    dispatcher.reload("127.0.0.1:1", |config| config.replace("retry_after\":false", "retry_after\":true"));
    dispatcher.until_counted("reloads_good 1\n");
    assert!(advised("9b21"));
}

#[test]
fn at_the_deadline_a_worker_is_called_off_only_where_the_settings_allow_it() {
    for allowed in [true, false] {
        let hop = ScriptedWorker::start();
        let dispatcher = Dispatcher::start_with(&hop, 256, &[], with_cancel(allowed));
        let mut waiting = client(&dispatcher.listen);
        waiting.send(&JOB.replace("20000m", "300m"));
        hop.next().answer(Reply::Accept);
        assert_eq!(waiting.answer().status, 504);
        dispatcher.until_counted(if allowed { "calls_off 1\n" } else { "calls_off 0\n" });
        if allowed {
            assert!(hop.next().text.starts_with("DELETE /jobs/9b1f"));
        }
        // The worker's result comes after the answer and is dropped.
        assert_eq!(dispatcher.news(r#"{"id":"9b1f","from":"s-1","state":"done","result":"late"}"#), 204);
        dispatcher.until_counted("news_stale 1\n");
    }
}

#[test]
fn how_long_a_connect_may_take_changes_with_the_settings() {
    let (hop, _crowd) = ScriptedWorker::with_full_accept_queue();
    let dispatcher =
        Dispatcher::start_with(&hop, 256, &[], |config| config.replace("timeout\":5000", "timeout\":900000"));
    dispatcher.reload("127.0.0.1:1", |config| config.replace("timeout\":900000", "timeout\":20"));
    dispatcher.until_counted("reloads_good 1\n");
    let mut waiting = client(&dispatcher.listen);
    waiting.send(JOB);
    dispatcher.until_counted("outcome_connect_error 1\n");
}

#[test]
fn one_told_to_drain_while_a_connection_comes_up_gets_nothing() {
    let (hop, crowd) = ScriptedWorker::with_full_accept_queue();
    let dispatcher = Dispatcher::start(&hop, 256);
    let mut watch = dispatcher.watches.recv_timeout(WAIT).expect("a watch is held");
    let mut waiting = client(&dispatcher.listen);
    waiting.send(&JOB.replace("20000m", "3000m"));
    dispatcher.until_counted("attempts_sent 1\n");
    tell(&mut watch, &hop.listed_as("s-1", 2, "leaving"));
    dispatcher.until_counted("map_changes 1\n");
    let read = crowd.make_room();
    // The job never ran anywhere, so the client may safely try again: 503.
    assert_eq!(waiting.answer().status, 503);
    assert_eq!(seen_at_the_end(dispatcher, read), "");
}

#[test]
fn a_client_that_sent_much_ahead_is_seen_to_leave() {
    let hop = ScriptedWorker::start();
    let dispatcher = Dispatcher::start(&hop, 256);
    let mut leaving = client(&dispatcher.listen);
    leaving.send(JOB);
    hop.next().answer(Reply::Accept);
    leaving.send(&"x".repeat(60_000));
    drop(leaving);
    dispatcher.until_counted("withdrawn 1\n");
}

#[test]
fn what_is_sent_ahead_without_end_ends_in_a_bound() {
    let hop = ScriptedWorker::start();
    let dispatcher = Dispatcher::start(&hop, 256);
    let mut flooding = client(&dispatcher.listen);
    flooding.send(JOB);
    hop.next().answer(Reply::Accept);
    (0..33).for_each(|_| flooding.send(&"x".repeat(32 * 1024)));
    assert_eq!(flooding.answer().status, 413);
    dispatcher.until_counted("rejected_too_large 1\n");
}

#[test]
fn what_was_sent_ahead_is_dropped_and_the_answer_ends_the_connection() {
    let hop = ScriptedWorker::start();
    let dispatcher = Dispatcher::start(&hop, 256);
    let mut ahead = client(&dispatcher.listen);
    ahead.send(JOB);
    hop.next().answer(Reply::Accept);
    ahead.send(&"x".repeat(8 * 1024));
    assert_eq!(dispatcher.news(r#"{"id":"9b1f","from":"s-1","state":"done","result":"made"}"#), 204);
    let answer = ahead.answer();
    assert_eq!((answer.status, answer.body.as_str()), (200, "made"));
}

#[test]
fn where_lists_are_pushed_a_watch_is_held_all_the_same_and_opened_anew_at_once() {
    // Guards against a dispatcher that holds no watch where worker lists are pushed, because the decision module asks
    // for no list there: that led to 2,087 sends to draining workers on one day.
    let (hop, other) = (ScriptedWorker::start(), ScriptedWorker::start());
    let failures = ["HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"; 3];
    let dispatcher = Dispatcher::start_with(&hop, 256, &failures, |config| {
        config.replace("\"registry_mode\":\"ask\"", "\"registry_mode\":\"push\"")
    });
    let mut watch = dispatcher.watches.recv_timeout(WAIT).expect("a watch is held");
    let lines = [hop.line("s-1", "leaving"), other.line("s-2", "active")].join(",");
    let list = format!(r#"{{"generation":2,"reset":false,"instances":[{lines}]}}"#);
    tell(&mut watch, &list);
    dispatcher.until_counted("map_changes 1\n");
    let mut waiting = client(&dispatcher.listen);
    waiting.send(JOB);
    other.next().answer(Reply::Accept);
    assert_eq!(dispatcher.news(r#"{"id":"9b1f","from":"s-2","state":"done","result":"made"}"#), 204);
    assert_eq!(waiting.answer().body, "made");
    assert!(dispatcher.counters().contains("map_failures 3\n"));
}
