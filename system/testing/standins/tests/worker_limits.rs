//! What a worker bears: slots, places to wait, connections, rate, deadlines, other incarnations, repeats.

mod support;

use millrudder_system_standins::{
    eventually, eventually_some, exchange, header, Answer, ArrivalLog, Client, Disposition, ExchangeError,
    IdempotentTable, Message, RawConnection, RunState, Worker, WorkerHealth, WorkerPlan,
};
use std::net::SocketAddr;
use std::time::Duration;
use support::BOUND;
use tokio::task::JoinHandle;

fn plan() -> WorkerPlan {
    WorkerPlan::new("annotate", "i-1")
}

async fn start(plan: WorkerPlan) -> (Worker, ArrivalLog) {
    let arrival_log = ArrivalLog::new();
    let worker = Worker::start(plan, arrival_log.clone()).await.unwrap();
    (worker, arrival_log)
}

fn message(request: &str) -> Message {
    Message::new("boye61.example", "/births/1", request).with_body("late birth")
}

async fn deliver(address: SocketAddr, request: &str) -> Result<Answer, ExchangeError> {
    Client::new().exchange(address, &message(request)).await
}

fn deliver_aside(worker: &Worker, request: &str) -> JoinHandle<Result<Answer, ExchangeError>> {
    let address = worker.address();
    let request = request.to_owned();
    tokio::spawn(async move { deliver(address, &request).await })
}

async fn get(address: SocketAddr, path: &str) -> Answer {
    let request = hyper::Request::get(path).body(http_body_util::Empty::<bytes::Bytes>::new()).unwrap();
    exchange(address, request, BOUND).await.unwrap()
}

#[tokio::test]
async fn a_full_worker_says_that_it_has_not_run_the_message() {
    let (worker, arrival_log) = start(WorkerPlan { capacity: 1, queue: 1, ..plan() }).await;
    worker.work_gate().hold();
    let first = deliver_aside(&worker, "r-1");
    eventually(BOUND, || worker.running() == 1).await.unwrap();
    let second = deliver_aside(&worker, "r-2");
    eventually(BOUND, || worker.waiting() == 1).await.unwrap();
    let third = deliver(worker.address(), "r-3").await.unwrap();
    assert_eq!(third.status.as_u16(), 503);
    assert!(third.header(header::NOT_EXECUTED).is_some());
    assert_eq!(third.header(header::SERVER_LOAD), Some("1,1,1"));
    assert!(worker.work_gate().release_one());
    assert_eq!(first.await.unwrap().unwrap().status.as_u16(), 200);
    eventually(BOUND, || worker.waiting() == 0).await.unwrap();
    worker.work_gate().release();
    assert_eq!(second.await.unwrap().unwrap().status.as_u16(), 200);
    let ran: Vec<_> = arrival_log.runs().into_iter().filter_map(|run| run.request_id).collect();
    assert_eq!(ran, ["r-1".into(), "r-2".into()]);
}

#[tokio::test]
async fn a_message_is_dropped_when_its_connection_closes() {
    let (worker, arrival_log) = start(plan()).await;
    worker.work_gate().hold();
    let asked = deliver_aside(&worker, "r-1");
    eventually(BOUND, || worker.running() == 1).await.unwrap();
    asked.abort();
    eventually(BOUND, || worker.running() == 0).await.unwrap();
    assert_eq!(arrival_log.arrivals()[0].disposition, Disposition::Run(RunState::Dropped));
}

#[tokio::test]
async fn a_message_that_still_waits_leaves_without_a_run() {
    let (worker, arrival_log) = start(WorkerPlan { capacity: 1, queue: 1, ..plan() }).await;
    worker.work_gate().hold();
    let _first = deliver_aside(&worker, "r-1");
    eventually(BOUND, || worker.running() == 1).await.unwrap();
    let second = deliver_aside(&worker, "r-2");
    eventually(BOUND, || worker.waiting() == 1).await.unwrap();
    second.abort();
    eventually(BOUND, || worker.waiting() == 0).await.unwrap();
    assert_eq!(arrival_log.arrivals_of(&"r-2".into())[0].disposition, Disposition::LeftQueue);
    assert!(arrival_log.runs_of(&"r-2".into()).is_empty());
}

#[tokio::test]
async fn some_workers_run_on_after_the_connection_has_closed() {
    let (worker, arrival_log) = start(WorkerPlan { runs_on_after_close: true, ..plan() }).await;
    worker.work_gate().hold();
    let asked = deliver_aside(&worker, "r-1");
    eventually(BOUND, || worker.running() == 1).await.unwrap();
    asked.abort();
    eventually(BOUND, || worker.open_connections() == 0).await.unwrap();
    assert_eq!(worker.running(), 1);
    worker.work_gate().release();
    eventually(BOUND, || arrival_log.successes_of(&"r-1".into()).len() == 1).await.unwrap();
}

#[tokio::test]
async fn work_halts_at_the_deadline() {
    let (worker, arrival_log) = start(plan()).await;
    worker.work_gate().hold();
    let hasty = message("r-1").with_deadline(Duration::from_millis(20));
    let answer = Client::new().exchange(worker.address(), &hasty).await.unwrap();
    assert_eq!(answer.status.as_u16(), 504);
    assert_eq!(arrival_log.runs()[0].disposition, Disposition::Run(RunState::Halted));
    assert_eq!(worker.running(), 0);
}

#[tokio::test]
async fn a_delivery_for_another_incarnation_is_not_run() {
    let (worker, arrival_log) = start(plan()).await;
    for (expected, status) in [("i-0", 421), ("i-1", 200)] {
        let request = hyper::Request::post("/births/1")
            .header(header::REQUEST_ID, "r-1")
            .header(header::EXPECT_INSTANCE, expected)
            .body(http_body_util::Empty::<bytes::Bytes>::new())
            .unwrap();
        assert_eq!(exchange(worker.address(), request, BOUND).await.unwrap().status.as_u16(), status);
    }
    assert_eq!(arrival_log.runs().len(), 1);
}

#[tokio::test]
async fn a_delivery_without_an_id_is_not_run() {
    let (worker, arrival_log) = start(plan()).await;
    let answer = get(worker.address(), "/births/1").await;
    assert_eq!(answer.status.as_u16(), 400);
    assert!(answer.header(header::NOT_EXECUTED).is_some());
    assert!(arrival_log.runs().is_empty());
}

#[tokio::test]
async fn deliveries_beyond_the_rate_are_not_run() {
    let (worker, arrival_log) = start(WorkerPlan { rate_per_second: 1.0, ..plan() }).await;
    let refused = eventually_some(BOUND, async || {
        let answer = deliver(worker.address(), "r-1").await.unwrap();
        (answer.status.as_u16() == 429).then_some(answer)
    });
    assert!(refused.await.unwrap().header(header::NOT_EXECUTED).is_some());
    assert_eq!(arrival_log.runs().len(), arrival_log.arrivals().len() - 1);
}

#[tokio::test]
async fn connections_beyond_the_limit_are_reset() {
    let (worker, _arrival_log) = start(WorkerPlan { max_connections: 1, ..plan() }).await;
    let kept = RawConnection::open(worker.address()).await.unwrap();
    eventually(BOUND, || worker.open_connections() == 1).await.unwrap();
    let refused = deliver(worker.address(), "r-1").await;
    assert!(matches!(refused, Err(ExchangeError::Broken { .. } | ExchangeError::Connect { .. })));
    eventually(BOUND, || worker.refused_connections() == 1).await.unwrap();
    drop(kept);
    eventually(BOUND, || worker.open_connections() == 0).await.unwrap();
    assert_eq!(deliver(worker.address(), "r-1").await.unwrap().status.as_u16(), 200);
}

#[tokio::test]
async fn idle_connections_are_closed_after_the_time_that_keep_alive_tells() {
    let (worker, _arrival_log) = start(WorkerPlan { keep_alive_seconds: Some(1), ..plan() }).await;
    worker.work_gate().hold();
    let mut connection = RawConnection::open(worker.address()).await.unwrap();
    connection.write(b"POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r-1\r\n\r\n").await.unwrap();
    eventually(BOUND, || worker.running() == 1).await.unwrap();
    worker.work_gate().release();
    let seen = connection.read_to_end(BOUND).await.unwrap();
    let seen = String::from_utf8(seen).unwrap();
    assert!(seen.starts_with("HTTP/1.1 200 OK"), "{seen}");
    assert!(seen.contains("keep-alive: timeout=1\r\n"), "{seen}");
}

#[tokio::test]
async fn the_test_can_close_idle_connections() {
    let (worker, _arrival_log) = start(plan()).await;
    let mut connection = RawConnection::open(worker.address()).await.unwrap();
    connection.write(b"GET /health HTTP/1.1\r\nHost: h\r\n\r\n").await.unwrap();
    connection.read_until(b"\r\n\r\n", BOUND).await.unwrap();
    worker.close_idle_connections();
    assert!(connection.read_to_end(BOUND).await.unwrap().is_empty());
    assert_eq!(deliver(worker.address(), "r-1").await.unwrap().status.as_u16(), 200);
}

#[tokio::test]
async fn a_health_check_waits_for_a_slot_and_tells_how_the_worker_is() {
    let (worker, arrival_log) = start(WorkerPlan { capacity: 1, ..plan() }).await;
    worker.work_gate().hold();
    let running = deliver_aside(&worker, "r-1");
    eventually(BOUND, || worker.running() == 1).await.unwrap();
    let address = worker.address();
    let check = tokio::spawn(async move { get(address, "/health").await });
    eventually(BOUND, || worker.waiting() == 1).await.unwrap();
    worker.work_gate().release();
    running.await.unwrap().unwrap();
    let well = check.await.unwrap();
    assert_eq!(well.status.as_u16(), 200);
    assert_eq!(well.header(header::INSTANCE_ID), Some("i-1"));
    assert_eq!(well.header(header::SERVER_LOAD), Some("0,0,1"));
    worker.set_health(WorkerHealth::Unwell);
    assert_eq!(get(address, "/health").await.status.as_u16(), 503);
    assert_eq!(deliver(address, "r-2").await.unwrap().status.as_u16(), 200);
    assert_eq!(arrival_log.arrivals().len(), 2);
}

#[tokio::test]
async fn a_worker_that_tells_no_load_says_nothing_of_it() {
    let (worker, _arrival_log) = start(WorkerPlan { tells_load: false, ..plan() }).await;
    assert_eq!(get(worker.address(), "/health").await.header(header::SERVER_LOAD), None);
}

#[tokio::test]
async fn workers_of_an_idempotent_service_run_each_request_once() {
    let table = IdempotentTable::new();
    let arrival_log = ArrivalLog::new();
    let one = WorkerPlan { idempotent: Some(table.clone()), ..plan() };
    let other = WorkerPlan { idempotent: Some(table), ..WorkerPlan::new("annotate", "i-2") };
    let one = Worker::start(one, arrival_log.clone()).await.unwrap();
    let other = Worker::start(other, arrival_log.clone()).await.unwrap();
    one.work_gate().hold();
    let first = deliver_aside(&one, "r-1");
    eventually(BOUND, || one.running() == 1).await.unwrap();
    let during = deliver(other.address(), "r-1").await.unwrap();
    assert_eq!(during.status.as_u16(), 409);
    assert!(during.header(header::NOT_EXECUTED).is_some());
    one.work_gate().release();
    let first = first.await.unwrap().unwrap();
    let again = deliver(other.address(), "r-1").await.unwrap();
    assert_eq!(again.status.as_u16(), 200);
    assert_eq!(again.header(header::RESPONSE_SIGNATURE), first.header(header::RESPONSE_SIGNATURE));
    assert_eq!(arrival_log.runs().len(), 1);
    assert_eq!(arrival_log.arrivals().last().unwrap().disposition, Disposition::Repeated);
}

#[tokio::test]
async fn a_run_without_success_may_be_repeated_by_an_idempotent_service() {
    let plan = WorkerPlan { idempotent: Some(IdempotentTable::new()), ..plan() };
    let (worker, arrival_log) = start(plan).await;
    worker.work_gate().hold();
    let dropped = deliver_aside(&worker, "r-1");
    eventually(BOUND, || worker.running() == 1).await.unwrap();
    dropped.abort();
    eventually(BOUND, || worker.running() == 0).await.unwrap();
    worker.work_gate().release();
    assert_eq!(deliver(worker.address(), "r-1").await.unwrap().status.as_u16(), 200);
    assert_eq!(arrival_log.runs().len(), 2);
}

#[tokio::test]
async fn a_new_incarnation_takes_over_the_address() {
    let (worker, arrival_log) = start(plan()).await;
    let address = worker.address();
    let mut connection = RawConnection::open(address).await.unwrap();
    eventually(BOUND, || worker.open_connections() == 1).await.unwrap();
    drop(worker);
    assert!(connection.read_to_end(BOUND).await.unwrap().is_empty());
    let successor = WorkerPlan::new("sequence", "i-2");
    let successor = Worker::start_at(address, successor, arrival_log.clone()).await.unwrap();
    deliver(address, "r-1").await.unwrap();
    assert_eq!(arrival_log.arrivals_at(successor.instance()).len(), 1);
}
