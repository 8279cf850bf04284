use super::answer;
use super::call_back;
use super::connection_table::{eviction_candidate, Activity, ConnectionTable, State};
use super::intake::{route, Refusal, RoutedRequest};
use millrudder_config::Budget;
use millrudder_exchange::intake::Class;
use millrudder_exchange::{Answer, Failure, Job, JobState, PeerProcess, PeerRole};
use millrudder_testing::garbage;
use millrudder_wire::http::{Decoder, Request, Response};
use millrudder_wire::socket::Socket;
use std::net::TcpListener;
use std::time::Duration;

fn request(head: &str, body: &str) -> Request {
    let text = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let mut decoder = Decoder::default();
    decoder.push(text.as_bytes());
    decoder.next_message().unwrap().unwrap()
}

const JOB_HEAD: &str =
    "POST /api?q=1 HTTP/1.1\r\nX-Trace-Id: 9b1f\r\nX-Qos: copy-issue\r\nX-Expires-In: 4998m\r\n\
    Idempotency-Key: 5c0f\r\nX-Props: slots=1,memory=1.433";

fn job(head: &str) -> Result<Job, Refusal> {
    let class = Class {
        name: "copy-issue".to_owned(),
        keyed: true,
        default_timeout: 5_000.0,
        accepted_until: f64::INFINITY,
    };
    match route(request(head, "body"), 1000.0, &[class])? {
        RoutedRequest::Job(job) => Ok(*job),
        other => panic!("not a job: {other:?}"),
    }
}

#[test]
fn a_job_request_is_parsed_field_by_field() {
    let job = job(JOB_HEAD).unwrap();
    assert_eq!((job.trace_id.as_str(), job.class.as_str()), ("9b1f", "copy-issue"));
    assert_eq!((job.slots, job.memory, job.deadline), (1.0, 1.433, 5998.0));
    assert_eq!(
        (job.forwarded.target.as_str(), job.forwarded.body.as_slice()),
        ("/api?q=1", b"body".as_slice())
    );
    assert_eq!(job.forwarded.idempotency_key.as_deref(), Some("5c0f"));
    let micro = self::job(&JOB_HEAD.replace("4998m", "2500u")).unwrap();
    assert_eq!(micro.deadline, 1002.5);
}

#[test]
fn a_refusal_names_the_header() {
    for (from, to, refusal) in [
        ("X-Trace-Id: 9b1f", "X-Other: 1", Refusal::MissingHeader("X-Trace-Id")),
        // The id becomes part of a path at the worker.
        ("9b1f", "../status", Refusal::BadHeader("X-Trace-Id")),
        ("9b1f", "..", Refusal::BadHeader("X-Trace-Id")),
        // Of a repeated header, the dispatcher and the worker could each use a different one.
        ("9b1f", "9b1f\r\nX-Trace-Id: 9b20", Refusal::BadHeader("X-Trace-Id")),
        ("4998m", "4998m\r\nX-Expires-In: 1m", Refusal::BadHeader("X-Expires-In")),
        // A retry of a keyed job without its key could take effect twice.
        ("Idempotency-Key: 5c0f", "X-Other: 1", Refusal::MissingHeader("Idempotency-Key")),
        ("5c0f", "5c\u{e9}f", Refusal::BadHeader("Idempotency-Key")),
        ("/api?q=1", "/api#q", Refusal::BadTarget),
        ("/api?q=1", &format!("/api?{}", "q".repeat(3000)), Refusal::LongTarget),
        ("X-Qos: copy-issue", "X-Qos:", Refusal::MissingHeader("X-Qos")),
        ("copy-issue", "other", Refusal::BadHeader("X-Qos")),
        ("4998m", "4998", Refusal::BadHeader("X-Expires-In")),
        ("4998m", "-1m", Refusal::BadHeader("X-Expires-In")),
        ("4998m", "infm", Refusal::BadHeader("X-Expires-In")),
        ("slots=1", "slots=x", Refusal::BadHeader("X-Props")),
        ("slots=1", "slots=1e300", Refusal::BadHeader("X-Props")),
    ] {
        assert_eq!(job(&JOB_HEAD.replace(from, to)), Err(refusal));
    }
}

#[test]
fn unknown_paths_and_methods_are_refused() {
    let status = |head: &str| match route(request(head, ""), 0.0, &[]) {
        Ok(_) => 200,
        Err(refusal) => refusal.status(),
    };
    assert_eq!(status("GET /ready HTTP/1.1"), 200);
    assert_eq!(status("POST /ready HTTP/1.1"), 405);
    assert_eq!(status("GET /api HTTP/1.1"), 405);
    assert_eq!(status("PUT /_jobs/news HTTP/1.1"), 405);
    assert_eq!(status("GET /other HTTP/1.1"), 404);
}

const CALL_BACK: &[u8] =
    br#"{"id":"9b1f","from":"s-1","state":"done","result":"a\"b\u00e9","load":{"rif":2,"x0":1.5,"odd":"x"}}"#;

#[test]
fn call_back_result_is_unescaped() {
    let news = call_back::parse(CALL_BACK).unwrap();
    assert_eq!((news.trace_id.as_str(), news.from.as_str()), ("9b1f", "s-1"));
    assert_eq!(news.state, JobState::Done { result: "a\"b\u{e9}".as_bytes().to_vec() });
    assert_eq!(news.load, Some(vec![("rif".to_owned(), 2.0), ("x0".to_owned(), 1.5)]));
}

#[test]
fn malformed_call_back_is_an_error_not_a_panic() {
    garbage(5, CALL_BACK, |bytes| drop(call_back::parse(bytes)));
    for (bad, key) in [
        (r#"{"id":"a","from":"b","state":"done"}"#, "result"),
        (r#"{"id":"a","from":"b","state":"odd"}"#, "state"),
        (r#"{"id":7,"from":"b","state":"lost"}"#, "id"),
    ] {
        let error = call_back::parse(bad.as_bytes()).unwrap_err().to_string();
        assert!(error.contains(&format!("key {key}")), "{error}");
    }
}

#[test]
fn answers_have_the_status_of_the_protocol() {
    let read = |bytes: Vec<u8>| {
        let mut decoder = Decoder::<Response>::default();
        decoder.push(&bytes);
        decoder.next_message().unwrap().unwrap()
    };
    let served = read(answer::job_answer(&Answer::Served { result: b"made".to_vec() }, false));
    assert_eq!((served.status, served.body.as_slice()), (200, b"made".as_slice()));
    let later = read(answer::job_answer(&Answer::Defer { retry_after: Some(250.0) }, false));
    assert_eq!((later.status, later.headers.get("retry-after")), (503, Some("0.250")));
    // 429 and 503 would promise that the job did not run.
    for failure in [Failure::Attempts, Failure::Late, Failure::Repeated, Failure::Refused] {
        let failed = read(answer::job_answer(&Answer::Failed(failure), true)).status;
        assert!(![200, 429, 503].contains(&failed));
    }
}

fn state(activity: Activity, role: PeerRole, since: f64) -> State {
    State { activity, role, opened: since, since }
}

#[test]
fn eviction_takes_unidentified_peers_first_and_never_one_awaiting_an_answer() {
    // Guards against hundreds of silent connections evicting the idle kept-alive connections of known clients.
    use {Activity::*, PeerRole::*};
    let pick = |states: &[State]| eviction_candidate(states.iter().copied(), 10_000.0);
    let awaiting = state(AwaitingAnswer, Unproven, 0.0);
    let idle = state(Idle, Client, 10.0);
    let stalled = state(Reading, Client, 20.0);
    let busy = state(Reading, Client, 9_500.0);
    assert_eq!(
        pick(&[awaiting, idle, state(Idle, Unproven, 9_990.0), state(Reading, Unproven, 9_000.0)]),
        Some(3)
    );
    assert_eq!(
        pick(&[awaiting, stalled, idle, state(Idle, WorkerOrMonitor, 9_000.0)]),
        Some(3),
        "idle workers are evicted before idle clients"
    );
    assert_eq!(pick(&[awaiting, stalled, idle]), Some(2));
    assert_eq!(pick(&[awaiting, busy, stalled]), Some(2));
    assert_eq!(pick(&[awaiting, busy]), None);
}

#[test]
fn every_activity_waiting_on_a_peer_has_a_deadline_except_idle_after_identification() {
    // A client must get an error or a close within 3 s of connecting, however slowly it sends.
    use {Activity::*, PeerRole::*};
    let first = State { opened: 1_000.0, since: 2_900.0, ..state(Reading, Unproven, 0.0) };
    assert!(
        first.deadline() < 4_000.0 - 500.0 && state(Idle, Unproven, 1_000.0).deadline() < 4_000.0 - 500.0
    );
    for activity in [Reading, Writing, Lingering] {
        assert!(state(activity, Client, 0.0).deadline() <= 5_000.0, "{activity:?}");
    }
    assert_eq!(state(Idle, Client, 0.0).deadline(), f64::INFINITY);
    assert_eq!(state(AwaitingAnswer, Unproven, 0.0).deadline(), f64::INFINITY);
}

#[test]
fn buffers_and_jobs_are_bounded_over_all_connections() {
    // With 32 MB of memory, hundreds of unfinished bodies would exhaust it and end the program.
    let check = || {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let socket = Socket::connect(listener.local_addr().unwrap(), Duration::from_secs(60)).unwrap();
        let connections = ConnectionTable::new(
            Budget { inbound: 9, inbound_jobs: 4, worker_connections: 1, buffers: 100 },
            PeerProcess::default(),
        );
        let [first, second, known] = [(); 3].map(|()| connections.register(socket.waker(), 0.0));
        assert!(connections.set_buffered(&first, 80) && !connections.set_buffered(&second, 30));
        assert!(connections.set_buffered(&second, 10), "a smaller buffer is never refused");
        connections.unregister(&first);
        assert!(connections.set_buffered(&second, 90));
        // With three jobs in progress, the next job of an unidentified peer is deferred and a known client's is not.
        // Connections without a job do not count.
        connections.raise_role(&known, PeerRole::Client);
        let awaiting = [(); 3].map(|()| connections.register(socket.waker(), 0.0));
        assert!(!connections.job_limit_reached(&second));
        awaiting.iter().for_each(|handle| connections.set_activity(handle, Activity::AwaitingAnswer, 1.0));
        assert!(connections.job_limit_reached(&second) && !connections.job_limit_reached(&known));
        connections.set_activity(&second, Activity::AwaitingAnswer, 1.0);
        assert!(connections.job_limit_reached(&known));
    };
    may::go!(check).join().expect("the test's coroutine");
}
