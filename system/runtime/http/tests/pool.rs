//! How the client uses, keeps and closes its connections.

mod support;

use std::time::Duration;

use millrudder_system_http::client::{Answer, Client, ClientLimits, SendError, Target};
use support::{run, until, worker_answer, worker_request, Peer, TestWorker};
use tokio::task::{spawn_local, JoinHandle};

const LONG: Duration = Duration::from_secs(10);
/// Such connections are not closed because they are idle while a test runs.
const LONG_IDLE: &str = "Keep-Alive: timeout=60\r\n";

fn client() -> Client {
    Client::new(ClientLimits::default())
}

fn send(client: &Client, target: Target, request_id: &'static str) -> JoinHandle<Result<Answer, SendError>> {
    let client = client.clone();
    spawn_local(async move { client.send(target, worker_request(request_id), LONG).await })
}

/// Reads a request off the connection and answers it.
async fn answer(peer: &mut Peer, request_id: &str, extra: &str) {
    let request = peer.read_message().await.unwrap();
    assert_eq!(request.header("x-request-id"), Some(request_id));
    peer.write(worker_answer(request_id, extra)).await;
}

/// Has one request answered on a new connection.
async fn first_exchange(client: &Client, worker: &TestWorker, extra: &str) -> Peer {
    let sent = send(client, worker.target(), "id-1");
    let mut peer = worker.accept().await;
    answer(&mut peer, "id-1", extra).await;
    assert!(sent.await.unwrap().unwrap().complete);
    peer
}

#[test]
fn a_connection_is_used_again() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let mut peer = first_exchange(&client, &worker, "").await;
        let sent = send(&client, worker.target(), "id-2");
        answer(&mut peer, "id-2", "").await;
        assert!(sent.await.unwrap().unwrap().complete);
        assert_eq!(client.connections(worker.address), 1);
    });
}

#[test]
fn the_connection_used_last_is_used_first() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let first = send(&client, worker.target(), "id-1");
        let mut first_peer = worker.accept().await;
        let second = send(&client, worker.target(), "id-2");
        let mut second_peer = worker.accept().await;
        answer(&mut second_peer, "id-2", "").await;
        second.await.unwrap().unwrap();
        answer(&mut first_peer, "id-1", "").await;
        first.await.unwrap().unwrap();
        let _third = send(&client, worker.target(), "id-3");
        answer(&mut first_peer, "id-3", "").await;
    });
}

#[test]
fn connections_stay_within_the_limit_of_the_target() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let target = Target { address: worker.address, max_connections: 1 };
        let first = send(&client, target, "id-1");
        let mut peer = worker.accept().await;
        let error = send(&client, target, "id-2").await.unwrap().unwrap_err();
        assert_eq!(error, SendError::NoConnectionLeft);
        assert!(!error.may_have_run());
        answer(&mut peer, "id-1", "").await;
        first.await.unwrap().unwrap();
        let third = send(&client, target, "id-3");
        answer(&mut peer, "id-3", "").await;
        assert!(third.await.unwrap().unwrap().complete);
    });
}

#[test]
fn an_idle_connection_that_was_closed_is_replaced() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        drop(first_exchange(&client, &worker, "").await);
        until(|| client.connections(worker.address) == 0).await;
        let sent = send(&client, worker.target(), "id-2");
        answer(&mut worker.accept().await, "id-2", "").await;
        assert!(sent.await.unwrap().unwrap().complete);
    });
}

#[test]
fn a_close_that_is_read_before_the_request_is_written_costs_only_a_new_connection() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        drop(first_exchange(&client, &worker, "").await);
        // The runtime learns of the close here, and the connection's task only after the request is handed to it.
        tokio::task::yield_now().await;
        assert_eq!(client.connections(worker.address), 1);
        let sending = client.send(worker.target(), worker_request("id-2"), LONG);
        let answering = async { answer(&mut worker.accept().await, "id-2", "").await };
        let (sent, ()) = tokio::join!(sending, answering);
        assert!(sent.unwrap().complete);
    });
}

#[test]
fn a_close_that_crosses_a_request_is_a_reset_and_not_repeated() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let mut peer = first_exchange(&client, &worker, "").await;
        let sent = send(&client, worker.target(), "id-2");
        peer.read_message().await.unwrap();
        drop(peer);
        assert_eq!(sent.await.unwrap(), Err(SendError::Reset));
    });
}

#[test]
fn a_connection_is_not_reused_when_the_worker_closes_it() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let mut peer = first_exchange(&client, &worker, "Connection: close\r\n").await;
        peer.closed().await;
        assert_eq!(client.connections(worker.address), 0);
    });
}

#[test]
fn a_second_answer_on_an_idle_connection_closes_it() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let mut peer = first_exchange(&client, &worker, "").await;
        peer.write(worker_answer("id-1", "")).await;
        peer.closed().await;
        let sent = send(&client, worker.target(), "id-2");
        answer(&mut worker.accept().await, "id-2", "").await;
        assert!(sent.await.unwrap().unwrap().complete);
    });
}

#[test]
fn a_second_answer_in_the_same_packet_does_not_answer_the_next_request() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let sent = send(&client, worker.target(), "id-1");
        let mut peer = worker.accept().await;
        peer.read_message().await.unwrap();
        peer.write(worker_answer("id-1", "").repeat(2)).await;
        assert!(sent.await.unwrap().unwrap().complete);
        let sent = send(&client, worker.target(), "id-2");
        answer(&mut worker.accept().await, "id-2", "").await;
        assert!(sent.await.unwrap().unwrap().complete);
        peer.closed().await;
    });
}

#[test]
fn a_second_answer_that_crosses_the_next_request_is_garbled() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let mut peer = first_exchange(&client, &worker, "").await;
        let sent = send(&client, worker.target(), "id-2");
        peer.read_message().await.unwrap();
        peer.write(worker_answer("id-1", "")).await;
        assert_eq!(sent.await.unwrap(), Err(SendError::Garbled));
        peer.closed().await;
    });
}

#[test]
fn a_connection_is_closed_before_the_worker_closes_it() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let mut peer = first_exchange(&client, &worker, "Keep-Alive: timeout=0.05, max=100\r\n").await;
        peer.closed().await;
        assert_eq!(client.connections(worker.address), 0);
    });
}

#[test]
fn an_expired_connection_is_not_used() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let mut first_peer = first_exchange(&client, &worker, "Keep-Alive: timeout=0\r\n").await;
        let sent = send(&client, worker.target(), "id-2");
        answer(&mut worker.accept().await, "id-2", "").await;
        assert!(sent.await.unwrap().unwrap().complete);
        first_peer.closed().await;
    });
}

#[test]
fn the_own_idle_limit_holds_where_the_worker_allows_more() {
    run(async {
        let client = Client::new(ClientLimits { max_idle: Duration::ZERO, ..ClientLimits::default() });
        let worker = TestWorker::start().await;
        let mut peer = first_exchange(&client, &worker, "Keep-Alive: timeout=60\r\n").await;
        let _sent = send(&client, worker.target(), "id-2");
        answer(&mut worker.accept().await, "id-2", "").await;
        peer.closed().await;
    });
}

#[test]
fn idle_connections_to_an_address_are_closed_on_demand() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let mut idle = first_exchange(&client, &worker, "Keep-Alive: timeout=60\r\n").await;
        let sent = send(&client, worker.target(), "id-2");
        answer(&mut idle, "id-2", "Keep-Alive: timeout=60\r\n").await;
        sent.await.unwrap().unwrap();
        client.close_idle(worker.address);
        idle.closed().await;
        assert_eq!(client.connections(worker.address), 0);
    });
}

#[test]
fn a_busy_connection_outlives_the_closing_of_idle_ones() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let sent = send(&client, worker.target(), "id-1");
        let mut peer = worker.accept().await;
        client.close_idle(worker.address);
        answer(&mut peer, "id-1", "").await;
        assert!(sent.await.unwrap().unwrap().complete);
    });
}

#[test]
fn after_a_second_answer_connections_carry_one_request_only() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let mut first_peer = first_exchange(&client, &worker, "").await;
        first_peer.write(worker_answer("id-1", "")).await;
        first_peer.closed().await;
        for request_id in ["id-2", "id-3"] {
            let sent = send(&client, worker.target(), request_id);
            let mut peer = worker.accept().await;
            answer(&mut peer, request_id, LONG_IDLE).await;
            assert!(sent.await.unwrap().unwrap().complete);
            peer.closed().await;
        }
    });
}

#[test]
fn after_an_answer_to_another_request_connections_carry_one_request_only() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let sent = send(&client, worker.target(), "id-1");
        let mut peer = worker.accept().await;
        peer.read_message().await.unwrap();
        peer.write(worker_answer("id-0", "")).await;
        assert_eq!(sent.await.unwrap(), Err(SendError::Garbled));
        let mut peer = first_exchange(&client, &worker, LONG_IDLE).await;
        peer.closed().await;
        let other = TestWorker::start().await;
        let mut peer = first_exchange(&client, &other, "").await;
        let sent = send(&client, other.target(), "id-2");
        answer(&mut peer, "id-2", "").await;
        assert!(sent.await.unwrap().unwrap().complete);
    });
}

#[test]
fn a_connection_that_still_writes_its_request_is_not_used_again() {
    run(async {
        // Longer than the test may take, so that only the client's own check frees the next request.
        let user_timeout = Duration::from_secs(60);
        let client = Client::new(ClientLimits { user_timeout, ..ClientLimits::default() });
        let worker = TestWorker::start().await;
        let mut request = worker_request("id-1");
        request.body = vec![b'x'; 32 << 20].into();
        let (sending, target) = (client.clone(), worker.target());
        let sent = spawn_local(async move { sending.send(target, request, LONG).await });
        let mut unread = worker.accept().await;
        unread.stream.readable().await.unwrap();
        unread.write("HTTP/1.1 503 Full\r\nX-Request-Id: id-1\r\nContent-Length: 0\r\n\r\n").await;
        assert!(sent.await.unwrap().unwrap().complete);
        let sent = send(&client, worker.target(), "id-2");
        answer(&mut worker.accept().await, "id-2", "").await;
        assert!(sent.await.unwrap().unwrap().complete);
    });
}

/// A second answer to the first try would pass for the answer to the second one: both carry the same id.
#[test]
fn a_retried_request_uses_another_connection() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let mut first_peer = first_exchange(&client, &worker, "").await;
        let again = send(&client, worker.target(), "id-1");
        let mut second_peer = worker.accept().await;
        first_peer.write(worker_answer("id-1", "X-Late: yes\r\n")).await;
        answer(&mut second_peer, "id-1", "X-Server-Load: 3,0,8\r\n").await;
        let answered = again.await.unwrap().unwrap();
        assert_eq!(answered.load.map(|load| load.running), Some(3));
        first_peer.closed().await;
    });
}

#[test]
fn a_connection_barred_to_one_request_serves_others() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let mut first_peer = first_exchange(&client, &worker, "").await;
        let again = send(&client, worker.target(), "id-1");
        answer(&mut worker.accept().await, "id-1", "Connection: close\r\n").await;
        again.await.unwrap().unwrap();
        let other = send(&client, worker.target(), "id-2");
        answer(&mut first_peer, "id-2", "").await;
        assert!(other.await.unwrap().unwrap().complete);
    });
}

#[test]
fn a_retried_request_stays_within_the_connection_limit() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let target = Target { address: worker.address, max_connections: 1 };
        let first = send(&client, target, "id-1");
        let mut first_peer = worker.accept().await;
        answer(&mut first_peer, "id-1", "").await;
        first.await.unwrap().unwrap();
        let again = send(&client, target, "id-1");
        first_peer.closed().await;
        assert_eq!(client.connections(worker.address), 1);
        answer(&mut worker.accept().await, "id-1", "").await;
        assert!(again.await.unwrap().unwrap().complete);
    });
}

#[test]
fn a_connection_may_carry_a_request_again_after_many_others() {
    run(async {
        let (client, worker) = (client(), TestWorker::start().await);
        let mut peer = first_exchange(&client, &worker, "").await;
        for request_id in
            ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "id-1"]
        {
            let sent = send(&client, worker.target(), request_id);
            answer(&mut peer, request_id, "").await;
            assert!(sent.await.unwrap().unwrap().complete);
        }
    });
}
