//! What the log says of order and of changed bytes.

mod support;

use millrudder_system_standins::{
    eventually, ArrivalLog, Behaviour, Client, Difference, Message, NotExecuted, OrderViolation, Worker,
    WorkerPlan,
};
use std::net::SocketAddr;
use std::time::Duration;
use support::BOUND;

const MAX_RETRIES: u32 = 2;

fn entry(request: &str) -> Message {
    Message::new("huno84.example", "/marriages", request).with_order_key("book-7").with_body("entry")
}

async fn deliver(address: SocketAddr, request: &str) -> u16 {
    Client::new().exchange(address, &entry(request)).await.unwrap().status.as_u16()
}

async fn start() -> (Worker, ArrivalLog) {
    let arrival_log = ArrivalLog::new();
    let worker = Worker::start(WorkerPlan::new("sequence", "i-1"), arrival_log.clone()).await.unwrap();
    (worker, arrival_log)
}

#[tokio::test]
async fn messages_that_follow_each_other_keep_the_order() {
    let (worker, arrival_log) = start().await;
    worker.script().on_request("r-1", Behaviour::FailFirst { failures: 1 });
    worker.script().on_request("r-2", Behaviour::RefuseForGood);
    worker.script().on_request("r-3", Behaviour::FailAlways);
    for request in ["r-1", "r-1", "r-2", "r-3", "r-3", "r-4"] {
        deliver(worker.address(), request).await;
    }
    let started = ["r-1", "r-1", "r-2", "r-3", "r-3", "r-4"].map(Into::into);
    assert_eq!(arrival_log.starts_on_key(&"book-7".into()), started);
    assert_eq!(arrival_log.order_violations(MAX_RETRIES), []);
}

#[tokio::test]
async fn a_start_before_the_end_of_another_breaks_the_order() {
    let (worker, arrival_log) = start().await;
    worker.work_gate().hold();
    let address = worker.address();
    let first = tokio::spawn(async move { deliver(address, "r-1").await });
    eventually(BOUND, || worker.running() == 1).await.unwrap();
    let second = tokio::spawn(async move { deliver(address, "r-2").await });
    eventually(BOUND, || worker.running() == 2).await.unwrap();
    worker.work_gate().release();
    first.await.unwrap();
    second.await.unwrap();
    let expected = OrderViolation { key: "book-7".into(), unended: "r-1".into(), began: "r-2".into() };
    assert_eq!(arrival_log.order_violations(MAX_RETRIES), [expected]);
}

#[tokio::test]
async fn a_start_after_a_failed_attempt_of_another_breaks_the_order() {
    let (worker, arrival_log) = start().await;
    worker.script().on_request("r-1", Behaviour::FailFirst { failures: 1 });
    for request in ["r-1", "r-2", "r-1"] {
        deliver(worker.address(), request).await;
    }
    let violations = arrival_log.order_violations(MAX_RETRIES);
    assert_eq!(violations.len(), 1);
    assert_eq!(violations[0].unended, "r-1".into());
}

#[tokio::test]
async fn other_keys_are_of_no_concern() {
    let (worker, arrival_log) = start().await;
    worker.script().on_request("r-1", Behaviour::FailFirst { failures: 1 });
    deliver(worker.address(), "r-1").await;
    let other = Message::new("huno84.example", "/marriages", "r-2").with_order_key("book-8");
    Client::new().exchange(worker.address(), &other).await.unwrap();
    assert_eq!(arrival_log.order_violations(MAX_RETRIES), []);
}

#[tokio::test]
async fn changed_parts_of_a_message_are_named() {
    let (worker, arrival_log) = start().await;
    deliver(worker.address(), "r-1").await;
    let arrival = &arrival_log.arrivals()[0];
    assert_eq!(arrival.differences_from(&entry("r-1")), []);
    let mut other = entry("r-2").with_body("entrY").with_order_key("book-8");
    other.host = "boye61.example".to_owned();
    other.target = "/marriages?".to_owned();
    other.method = hyper::Method::PUT;
    let all = [
        Difference::Method,
        Difference::Target,
        Difference::Host,
        Difference::RequestId,
        Difference::OrderKey,
        Difference::Body,
    ];
    assert_eq!(arrival.differences_from(&other), all);
}

#[tokio::test]
async fn chunks_carry_the_same_bytes() {
    let (worker, arrival_log) = start().await;
    let message = entry("r-1").with_body(vec![b'x'; 10_000]).in_chunks(999);
    Client::new().exchange(worker.address(), &message).await.unwrap();
    let arrival = &arrival_log.arrivals()[0];
    assert_eq!(arrival.header("transfer-encoding"), Some("chunked"));
    assert_eq!(arrival.header("content-length"), None);
    assert_eq!(arrival.differences_from(&message), []);
}

#[tokio::test]
async fn runs_after_a_success_are_named_and_others_are_not() {
    let (worker, arrival_log) = start().await;
    worker.script().on_request("r-1", Behaviour::FailFirst { failures: 1 });
    for request in ["r-1", "r-1", "r-2"] {
        deliver(worker.address(), request).await;
    }
    assert_eq!(arrival_log.repeats_of_successes(), []);
    deliver(worker.address(), "r-1").await;
    assert_eq!(arrival_log.repeats_of_successes(), ["r-1".into()]);
}

#[tokio::test]
async fn deliveries_of_a_service_are_counted_by_span() {
    let (worker, arrival_log) = start().await;
    worker.script().next(Behaviour::TurnAway(NotExecuted::OverRate));
    for request in ["r-1", "r-2", "r-3"] {
        deliver(worker.address(), request).await;
    }
    let service = "sequence".into();
    assert_eq!(arrival_log.busiest_window(&service, Duration::MAX), 3);
    assert_eq!(arrival_log.busiest_window(&service, Duration::from_nanos(1)), 1);
    assert_eq!(arrival_log.busiest_window(&"annotate".into(), Duration::MAX), 0);
}
