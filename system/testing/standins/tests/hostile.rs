//! Hostile input is sent as named, and what comes of it is told.

mod support;

use millrudder_system_standins::{
    attack, ArrivalLog, HostileInput, HostileOutcome, RawConnection, Worker, WorkerPlan,
};
use std::time::Duration;
use support::{Reply, ReplyServer, BOUND};

const SHORT: Duration = Duration::from_millis(50);

async fn outcome(worker: &Worker, input: HostileInput, bound: Duration) -> HostileOutcome {
    attack(worker.address(), "boye61.example", "/births/1", input, bound).await.unwrap()
}

#[tokio::test]
async fn input_that_is_broken_gets_an_answer_or_a_close() {
    let arrival_log = ArrivalLog::new();
    let worker = Worker::start(WorkerPlan::new("annotate", "i-1"), arrival_log.clone()).await.unwrap();
    let answered = |status| HostileOutcome::Answered { status };
    assert_eq!(outcome(&worker, HostileInput::EndlessHeaders, BOUND).await, answered(431));
    assert_eq!(outcome(&worker, HostileInput::CutBody, BOUND).await, HostileOutcome::Closed);
    assert_eq!(outcome(&worker, HostileInput::Garbage, BOUND).await, answered(400));
    assert_ne!(outcome(&worker, HostileInput::BrokenChunk, BOUND).await, HostileOutcome::StillOpen);
    assert!(arrival_log.runs().is_empty());
}

#[tokio::test]
async fn input_that_stalls_leaves_the_connection_open() {
    let arrival_log = ArrivalLog::new();
    let worker = Worker::start(WorkerPlan::new("annotate", "i-1"), arrival_log.clone()).await.unwrap();
    for input in [HostileInput::StalledHead, HostileInput::StalledBody] {
        assert_eq!(outcome(&worker, input, SHORT).await, HostileOutcome::StillOpen);
    }
    assert!(arrival_log.arrivals().is_empty());
}

#[tokio::test]
async fn a_long_body_is_written_in_full() {
    let arrival_log = ArrivalLog::new();
    let worker = Worker::start(WorkerPlan::new("annotate", "i-1"), arrival_log.clone()).await.unwrap();
    let bytes = 1_000_001;
    let answered = outcome(&worker, HostileInput::LongBody { bytes }, BOUND).await;
    assert_eq!(answered, HostileOutcome::Answered { status: 200 });
    assert_eq!(arrival_log.arrivals()[0].body_length, bytes);
}

#[tokio::test]
async fn two_framings_carry_a_request_inside() {
    let server = ReplyServer::start(vec![Reply::status(400)]).await;
    let answered =
        attack(server.address, "boye61.example", "/births/1", HostileInput::TwoFramings, BOUND).await;
    assert_eq!(answered.unwrap(), HostileOutcome::Answered { status: 400 });
    let request = &server.requests()[0];
    assert!(request.contains("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"), "{request}");
}

#[tokio::test]
async fn what_is_no_answer_counts_as_a_close() {
    let server = ReplyServer::start(vec![Reply::Bytes("garbage of some length".to_owned())]).await;
    let closed = attack(server.address, "h", "/", HostileInput::BrokenChunk, BOUND).await;
    assert_eq!(closed.unwrap(), HostileOutcome::Closed);
}

#[tokio::test]
async fn a_raw_connection_writes_and_reads_bytes() {
    let server = ReplyServer::start(vec![Reply::with(200, "", "whole")]).await;
    let mut connection = RawConnection::open(server.address).await.unwrap();
    connection.write(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    connection.finish_writing().await.unwrap();
    let seen = connection.read_until(b"\r\n\r\n", BOUND).await.unwrap();
    assert!(seen.starts_with(b"HTTP/1.1 200 Reason\r\n"));
    assert_eq!(server.requests(), ["GET / HTTP/1.1\r\n\r\n"]);
}
