//! Each behaviour of a worker, as its caller sees it and as the log records it.

mod support;

use millrudder_system_standins::{
    eventually, header, Answer, ArrivalLog, Behaviour, Client, Disposition, ExchangeError, Message,
    NotExecuted, RawConnection, RequestId, RunState, Worker, WorkerPlan,
};
use support::BOUND;

const BODY: &[u8] = b"the whole answer of the worker";

async fn start() -> (Worker, ArrivalLog) {
    let arrival_log = ArrivalLog::new();
    let worker = Worker::start(WorkerPlan::new("annotate", "i-1"), arrival_log.clone()).await.unwrap();
    (worker, arrival_log)
}

fn message(request: &str) -> Message {
    Message::new("boye61.example", "/births/1?copy=2", request).with_body("late birth")
}

async fn deliver(worker: &Worker, request: &str) -> Result<Answer, ExchangeError> {
    Client::new().exchange(worker.address(), &message(request)).await
}

fn state_of(arrival_log: &ArrivalLog, request: &str) -> Disposition {
    arrival_log.arrivals_of(&request.into()).last().unwrap().disposition.clone()
}

fn assert_succeeded(arrival_log: &ArrivalLog, request: &str) {
    assert_eq!(arrival_log.successes_of(&RequestId::from(request)).len(), 1);
}

fn broke(result: Result<Answer, ExchangeError>) -> bool {
    matches!(result, Err(ExchangeError::Broken { .. }))
}

#[tokio::test]
async fn a_success_carries_the_signature_of_its_run() {
    let (worker, arrival_log) = start().await;
    let answer = deliver(&worker, "r-1").await.unwrap();
    assert_eq!(answer.status.as_u16(), 200);
    assert_eq!(answer.body, BODY);
    assert_eq!(answer.header(header::REQUEST_ID), Some("r-1"));
    assert_eq!(answer.header(header::INSTANCE_ID), Some("i-1"));
    let signature = answer.header(header::RESPONSE_SIGNATURE).unwrap().to_owned();
    assert_eq!(arrival_log.signatures_of(&"r-1".into()), [signature]);
    assert!(arrival_log.runs()[0].differences_from(&message("r-1")).is_empty());
}

#[tokio::test]
async fn attempts_fail_as_often_as_scripted_for_each_message() {
    let (worker, arrival_log) = start().await;
    worker.script().always(Behaviour::FailFirst { failures: 2 });
    let mut statuses = Vec::new();
    for request in ["r-1", "r-2", "r-1", "r-1", "r-2", "r-2"] {
        statuses.push(deliver(&worker, request).await.unwrap().status.as_u16());
    }
    assert_eq!(statuses, [500, 500, 500, 200, 500, 200]);
    assert_eq!(arrival_log.runs_of(&"r-1".into()).len(), 3);
    assert_eq!(arrival_log.runs_of(&"r-1".into())[0].disposition, Disposition::Run(RunState::Failed));
    assert_succeeded(&arrival_log, "r-1");
}

#[tokio::test]
async fn some_messages_fail_every_time_and_some_can_never_be_done() {
    let (worker, arrival_log) = start().await;
    worker.script().on_request("r-1", Behaviour::FailAlways);
    worker.script().on_request("r-2", Behaviour::RefuseForGood);
    for _ in 0..3 {
        assert_eq!(deliver(&worker, "r-1").await.unwrap().status.as_u16(), 500);
    }
    assert_eq!(deliver(&worker, "r-2").await.unwrap().status.as_u16(), 422);
    assert_eq!(deliver(&worker, "r-3").await.unwrap().status.as_u16(), 200);
    assert_eq!(state_of(&arrival_log, "r-2"), Disposition::Run(RunState::RefusedForGood));
}

#[tokio::test]
async fn queued_behaviours_are_met_once_each() {
    let (worker, _arrival_log) = start().await;
    worker.script().next(Behaviour::RefuseForGood);
    worker.script().next(Behaviour::FailAlways);
    let mut statuses = Vec::new();
    for request in ["r-1", "r-2", "r-3"] {
        statuses.push(deliver(&worker, request).await.unwrap().status.as_u16());
    }
    assert_eq!(statuses, [422, 500, 200]);
}

#[tokio::test]
async fn a_silent_worker_runs_and_keeps_the_connection_open() {
    let (worker, arrival_log) = start().await;
    worker.script().next(Behaviour::StaySilent);
    let address = worker.address();
    let asked = tokio::spawn(async move { Client::new().exchange(address, &message("r-1")).await });
    eventually(BOUND, || arrival_log.successes_of(&"r-1".into()).len() == 1).await.unwrap();
    assert_eq!(worker.open_connections(), 1);
    assert_eq!(worker.running(), 0);
    assert!(!asked.is_finished());
    asked.abort();
    eventually(BOUND, || worker.open_connections() == 0).await.unwrap();
}

#[tokio::test]
async fn a_lost_answer_closes_after_the_run() {
    let (worker, arrival_log) = start().await;
    worker.script().next(Behaviour::LoseAnswer);
    assert!(broke(deliver(&worker, "r-1").await));
    assert_succeeded(&arrival_log, "r-1");
}

#[tokio::test]
async fn a_reset_comes_after_the_run_or_without_one() {
    let (worker, arrival_log) = start().await;
    worker.script().next(Behaviour::ResetAfterRun);
    worker.script().next(Behaviour::ResetBeforeRun);
    assert!(broke(deliver(&worker, "r-1").await));
    assert!(broke(deliver(&worker, "r-2").await));
    assert_succeeded(&arrival_log, "r-1");
    assert!(arrival_log.runs_of(&"r-2".into()).is_empty());
    assert_eq!(state_of(&arrival_log, "r-2"), Disposition::Reset);
}

#[tokio::test]
async fn a_reset_is_a_reset_on_the_socket() {
    let (worker, _arrival_log) = start().await;
    worker.script().next(Behaviour::ResetBeforeRun);
    let mut connection = RawConnection::open(worker.address()).await.unwrap();
    connection.write(b"POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r-1\r\n\r\n").await.unwrap();
    let ended = connection.read_to_end(BOUND).await;
    assert_eq!(ended.unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn a_cut_answer_brings_half_of_its_body() {
    let (worker, arrival_log) = start().await;
    worker.script().always(Behaviour::CutAnswer);
    assert!(broke(deliver(&worker, "r-1").await));
    assert_succeeded(&arrival_log, "r-1");

    let mut connection = RawConnection::open(worker.address()).await.unwrap();
    connection.write(b"POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r-2\r\n\r\n").await.unwrap();
    let seen = connection.read_to_end(BOUND).await.unwrap();
    assert!(seen.starts_with(b"HTTP/1.1 200 OK\r\n"));
    assert!(seen.ends_with(&[b"\r\n\r\n", &BODY[..BODY.len() / 2]].concat()));
}

#[tokio::test]
async fn a_second_answer_follows_the_first_past_the_gate() {
    let (worker, arrival_log) = start().await;
    worker.script().next(Behaviour::AnswerTwice);
    worker.answer_gate().hold();
    let mut connection = RawConnection::open(worker.address()).await.unwrap();
    connection.write(b"POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r-1\r\n\r\n").await.unwrap();
    let first = connection.read_until(BODY, BOUND).await.unwrap();
    eventually(BOUND, || worker.answer_gate().waiting() == 1).await.unwrap();
    worker.answer_gate().release();
    let second = connection.read_until(BODY, BOUND).await.unwrap();
    assert_eq!(first, second);
    assert_succeeded(&arrival_log, "r-1");
}

#[tokio::test]
async fn a_late_answer_waits_at_the_gate_after_the_run() {
    let (worker, arrival_log) = start().await;
    worker.script().next(Behaviour::AnswerLate);
    worker.answer_gate().hold();
    let address = worker.address();
    let asked = tokio::spawn(async move { Client::new().exchange(address, &message("r-1")).await });
    eventually(BOUND, || worker.answer_gate().waiting() == 1).await.unwrap();
    assert_succeeded(&arrival_log, "r-1");
    assert!(!asked.is_finished());
    worker.answer_gate().release();
    assert_eq!(asked.await.unwrap().unwrap().status.as_u16(), 200);
}

#[tokio::test]
async fn a_message_that_is_rejected_has_not_run() {
    let (worker, arrival_log) = start().await;
    let reasons = [
        (NotExecuted::Full, 503),
        (NotExecuted::OverRate, 429),
        (NotExecuted::OtherInstance, 421),
        (NotExecuted::Running, 409),
        (NotExecuted::NoRequestId, 400),
    ];
    for (reason, status) in reasons {
        worker.script().next(Behaviour::TurnAway(reason));
        let answer = deliver(&worker, "r-1").await.unwrap();
        assert_eq!(answer.status.as_u16(), status);
        assert!(answer.header(header::NOT_EXECUTED).is_some());
        assert_eq!(state_of(&arrival_log, "r-1"), Disposition::Rejected { status });
    }
    assert!(arrival_log.runs().is_empty());
}

#[tokio::test]
async fn workers_started_with_clones_of_a_plan_share_its_script() {
    let arrival_log = ArrivalLog::new();
    let plan = WorkerPlan::new("annotate", "i-1");
    plan.script.on_request("r-1", Behaviour::FailFirst { failures: 1 });
    let first = Worker::start(plan.clone(), arrival_log.clone()).await.unwrap();
    let second =
        Worker::start(WorkerPlan { instance: "i-2".into(), ..plan }, arrival_log.clone()).await.unwrap();
    assert_eq!(deliver(&first, "r-1").await.unwrap().status.as_u16(), 500);
    assert_eq!(deliver(&second, "r-1").await.unwrap().status.as_u16(), 200);
}
