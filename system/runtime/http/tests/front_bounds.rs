//! What the server makes of slow clients and of too many connections.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use millrudder_system_http::front::{RequestLimits, ServerLimits};
use support::{run, until, waiting_handler, TestServer};
use tokio::sync::Notify;

const SIMPLE: &str = "POST /a/b?c=d HTTP/1.1\r\nHost: boye61.example:8080\r\nContent-Length: 5\r\n\r\nhello";

fn limits() -> RequestLimits {
    RequestLimits { max_header_bytes: 8 * 1024, max_body_bytes: 1_000, ..RequestLimits::default() }
}

#[test]
fn a_slow_head_is_closed_in_time() {
    run(async {
        let limits = RequestLimits { header_timeout: Duration::from_millis(50), ..limits() };
        let server = TestServer::start(limits).await;
        let mut peer = server.connect().await;
        let started = Instant::now();
        peer.write("POST / HTTP/1.1\r\nHost").await;
        peer.closed().await;
        assert!(started.elapsed() >= limits.header_timeout);
        assert!(started.elapsed() < limits.idle_timeout);
    });
}

#[test]
fn a_slow_head_is_closed_in_time_on_a_reused_connection() {
    run(async {
        let limits = RequestLimits { header_timeout: Duration::from_millis(50), ..limits() };
        let server = TestServer::start(limits).await;
        let mut peer = server.connect().await;
        peer.write(SIMPLE).await;
        peer.response().await;
        let started = Instant::now();
        peer.write("POST / HTTP/1.1\r\nHost").await;
        peer.closed().await;
        assert!(started.elapsed() >= limits.header_timeout);
        assert!(started.elapsed() < limits.idle_timeout);
    });
}

#[test]
fn an_idle_connection_stays_open_for_the_idle_timeout_not_the_header_timeout() {
    run(async {
        let header_timeout = Duration::from_millis(40);
        let idle_timeout = Duration::from_millis(160);
        let server = TestServer::start(RequestLimits { header_timeout, idle_timeout, ..limits() }).await;
        let mut peer = server.connect().await;
        peer.write(SIMPLE).await;
        peer.response().await;
        let answered = Instant::now();
        peer.closed().await;
        assert!(answered.elapsed() >= idle_timeout - Duration::from_millis(20));
    });
}

#[test]
fn a_slow_body_is_answered_with_408() {
    run(async {
        let limits = RequestLimits { body_timeout: Duration::from_millis(50), ..limits() };
        let server = TestServer::start(limits).await;
        let mut peer = server.connect().await;
        peer.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhell").await;
        assert_eq!(peer.response().await.status(), 408);
        peer.closed().await;
        assert_eq!(server.handled(), 0);
    });
}

#[test]
fn an_answer_that_is_not_read_is_closed_in_time() {
    run(async {
        let server_limits =
            ServerLimits { answer_timeout: Duration::from_millis(50), ..ServerLimits::default() };
        let limits = RequestLimits { max_body_bytes: 64 << 20, ..limits() };
        let server = TestServer::with_limits(limits, server_limits).await;
        let length = 16 << 20;
        let mut peer = server.connect().await;
        peer.write(format!(
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{}",
            "x".repeat(length)
        ))
        .await;
        until(|| server.handled() == 1).await;
        let ended = server.finish(Duration::from_secs(10)).await;
        assert_eq!(ended.abandoned, 0);
        assert_eq!(peer.read_message().await, None, "the answer must not appear complete");
    });
}

#[test]
fn the_oldest_idle_connection_is_evicted() {
    run(async {
        let server_limits = ServerLimits { max_connections: 2, ..ServerLimits::default() };
        let server = TestServer::with_limits(limits(), server_limits).await;
        let mut first = server.connect().await;
        first.write(SIMPLE).await;
        first.response().await;
        let mut second = server.connect().await;
        second.write(SIMPLE).await;
        second.response().await;
        let mut third = server.connect().await;
        third.write(SIMPLE).await;
        assert_eq!(third.response().await.status(), 202);
        first.closed().await;
        second.write(SIMPLE).await;
        assert_eq!(second.response().await.status(), 202);
    });
}

#[test]
fn a_new_connection_is_closed_when_all_are_busy() {
    run(async {
        let entered = Rc::new(Cell::new(0));
        let release = Rc::new(Notify::new());
        let handler = waiting_handler(Rc::clone(&entered), Rc::clone(&release));
        let server_limits = ServerLimits { max_connections: 1, ..ServerLimits::default() };
        let server = TestServer::with_handler(limits(), server_limits, handler, Rc::default()).await;
        let mut busy = server.connect().await;
        busy.write(SIMPLE).await;
        until(|| entered.get() == 1).await;
        server.connect().await.closed().await;
        release.notify_one();
        assert_eq!(busy.response().await.status(), 202);
    });
}
