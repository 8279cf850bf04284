//! Stopping a server: what is under way is answered, what is idle is closed, and readiness says no.

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use millrudder_system_http::front::{readiness, serve, RequestLimits, ServerLimits, Stop, StopPlan};
use support::{run, until, waiting_handler, Peer, TestServer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

const REQUEST: &str = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";
const LONG: Duration = Duration::from_secs(10);

/// A server whose handler waits for `release`.
struct Waiting {
    server: TestServer,
    entered: Rc<Cell<usize>>,
    release: Rc<Notify>,
}

impl Waiting {
    async fn start() -> Waiting {
        let entered = Rc::new(Cell::new(0));
        let release = Rc::new(Notify::new());
        let handler = waiting_handler(Rc::clone(&entered), Rc::clone(&release));
        let seen = Rc::new(RefCell::new(Vec::new()));
        let server =
            TestServer::with_handler(RequestLimits::default(), ServerLimits::default(), handler, seen).await;
        Waiting { server, entered, release }
    }

    /// A connection with a request at the handler.
    async fn busy(&self) -> Peer {
        let entered = self.entered.get();
        let mut peer = self.server.connect().await;
        peer.write(REQUEST).await;
        until(|| self.entered.get() > entered).await;
        peer
    }
}

#[test]
fn a_request_under_way_is_answered_and_its_connection_closed() {
    run(async {
        let waiting = Waiting::start().await;
        let mut peer = waiting.busy().await;
        waiting.server.stop.begin(StopPlan { accept_for: Duration::ZERO, finish_within: LONG });
        waiting.release.notify_one();
        let response = peer.response().await;
        assert_eq!(response.status(), 202);
        assert_eq!(response.header("connection"), Some("close"));
        peer.closed().await;
        assert_eq!(waiting.server.ended.await.unwrap().abandoned, 0);
    });
}

#[test]
fn a_request_whose_body_is_coming_is_answered() {
    run(async {
        let server = TestServer::start(RequestLimits::default()).await;
        let mut peer = server.connect().await;
        peer.write("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n").await;
        assert_eq!(peer.response().await.status(), 100);
        server.stop.begin(StopPlan { accept_for: Duration::ZERO, finish_within: LONG });
        peer.write("hi").await;
        let response = peer.response().await;
        assert_eq!(response.status(), 202);
        assert_eq!(response.header("connection"), Some("close"));
    });
}

#[test]
fn idle_connections_are_closed_at_the_stop() {
    run(async {
        let server = TestServer::start(RequestLimits::default()).await;
        let mut peer = server.connect().await;
        peer.write(REQUEST).await;
        peer.response().await;
        let ended = server.finish(LONG).await;
        peer.closed().await;
        assert_eq!(ended.abandoned, 0);
    });
}

#[test]
fn new_connections_are_served_while_the_stop_propagates() {
    run(async {
        let server = TestServer::start(RequestLimits::default()).await;
        server.stop.begin(StopPlan { accept_for: LONG, finish_within: LONG });
        let mut peer = server.connect().await;
        peer.write(REQUEST).await;
        let response = peer.response().await;
        assert_eq!(response.status(), 202);
        assert_eq!(response.header("connection"), Some("close"));
        peer.closed().await;
    });
}

#[test]
fn the_listener_closes_after_the_accept_time() {
    run(async {
        let server = TestServer::start(RequestLimits::default()).await;
        let address = server.address;
        let mut unused = server.connect().await;
        let plan = StopPlan { accept_for: Duration::from_millis(30), finish_within: LONG };
        server.stop.begin(plan);
        assert_eq!(server.ended.await.unwrap().abandoned, 0);
        unused.closed().await;
        assert!(TcpStream::connect(address).await.is_err());
    });
}

#[test]
fn requests_unfinished_at_the_deadline_are_answered_504_and_counted() {
    run(async {
        let waiting = Waiting::start().await;
        let mut peers = [waiting.busy().await, waiting.busy().await];
        let ended = waiting.server.finish(Duration::from_millis(50)).await;
        assert_eq!(ended.abandoned, 2);
        for peer in &mut peers {
            let response = peer.response().await;
            assert_eq!((response.status(), response.header("connection")), (504, Some("close")));
            assert_eq!(response.header("content-length"), Some("0"));
            peer.closed().await;
        }
    });
}

#[test]
fn requests_incomplete_at_the_deadline_are_closed_and_counted() {
    run(async {
        let server = TestServer::start(RequestLimits::default()).await;
        let mut peer = server.connect().await;
        peer.write("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n").await;
        assert_eq!(peer.response().await.status(), 100);
        peer.write("h").await;
        assert_eq!(server.finish(Duration::from_millis(50)).await.abandoned, 1);
        peer.closed().await;
    });
}

#[test]
fn a_stop_begins_once() {
    run(async {
        let waiting = Waiting::start().await;
        let _peer = waiting.busy().await;
        let stop = waiting.server.stop.clone();
        stop.begin(StopPlan { accept_for: Duration::ZERO, finish_within: Duration::from_millis(50) });
        stop.begin(StopPlan { accept_for: LONG, finish_within: LONG * 10 });
        assert_eq!(waiting.server.ended.await.unwrap().abandoned, 1);
    });
}

#[test]
fn readiness_follows_the_process() {
    run(async {
        let ready = Rc::new(Cell::new(true));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let limits = Arc::new(ArcSwap::from_pointee(RequestLimits::default()));
        let is_ready = Rc::clone(&ready);
        let handler = readiness(move || is_ready.get());
        tokio::task::spawn_local(serve(listener, ServerLimits::default(), limits, handler, Stop::new()));
        let mut peer = Peer::new(TcpStream::connect(address).await.unwrap());
        assert_eq!(ask(&mut peer, "GET /readiness").await, 200);
        assert_eq!(ask(&mut peer, "GET /else").await, 404);
        assert_eq!(ask(&mut peer, "POST /readiness").await, 405);
        ready.set(false);
        assert_eq!(ask(&mut peer, "GET /readiness").await, 503);
    });
}

async fn ask(peer: &mut Peer, request: &str) -> u16 {
    peer.write(format!("{request} HTTP/1.1\r\nHost: a\r\n\r\n")).await;
    peer.response().await.status()
}
