//! What the server makes of well-formed, malformed, cut and oversized requests.

mod support;

use millrudder_system_http::front::RequestLimits;
use support::{run, Seen, TestServer};
use tokio::io::AsyncWriteExt;

const SIMPLE: &str = "POST /a/b?c=d HTTP/1.1\r\nHost: boye61.example:8080\r\nContent-Length: 5\r\n\r\nhello";

fn limits() -> RequestLimits {
    RequestLimits { max_header_bytes: 8 * 1024, max_body_bytes: 1_000, ..RequestLimits::default() }
}

#[test]
fn a_complete_request_reaches_the_handler_and_is_answered_with_its_length() {
    run(async {
        let server = TestServer::start(limits()).await;
        let mut peer = server.connect().await;
        peer.write(SIMPLE).await;
        let response = peer.response().await;
        assert_eq!(response.status(), 202);
        assert_eq!(response.header("content-length"), Some("5"));
        assert_eq!(response.body, b"hello");
        let seen = server.seen.borrow()[0].clone();
        let expected = Seen {
            method: http::Method::POST,
            host: "boye61.example".to_owned(),
            target: "/a/b?c=d".to_owned(),
            body: b"hello".to_vec(),
        };
        assert_eq!(seen, expected);
    });
}

#[test]
fn an_empty_answer_carries_its_length() {
    run(async {
        let server = TestServer::start(limits()).await;
        let mut peer = server.connect().await;
        peer.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n").await;
        assert_eq!(peer.response().await.header("content-length"), Some("0"));
    });
}

#[test]
fn the_authority_of_an_absolute_target_takes_precedence_over_host() {
    run(async {
        let server = TestServer::start(limits()).await;
        let mut peer = server.connect().await;
        peer.write("GET http://huno84.example:81/x HTTP/1.1\r\nHost: other\r\n\r\n").await;
        peer.response().await;
        assert_eq!(server.seen.borrow()[0].host, "huno84.example");
        assert_eq!(server.seen.borrow()[0].target, "/x");
    });
}

#[test]
fn a_chunked_body_is_joined() {
    run(async {
        let server = TestServer::start(limits()).await;
        let mut peer = server.connect().await;
        peer.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        peer.write("3\r\nabc\r\n").await;
        peer.write("2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n").await;
        assert_eq!(peer.response().await.body, b"abcde");
    });
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    run(async {
        let server = TestServer::start(limits()).await;
        let mut peer = server.connect().await;
        let requests: String = ["one", "two", "six"]
            .map(|body| format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n{body}"))
            .concat();
        peer.write(requests).await;
        for body in ["one", "two", "six"] {
            assert_eq!(peer.response().await.body, body.as_bytes());
        }
    });
}

#[test]
fn a_body_at_the_limit_is_accepted_and_one_over_it_is_not() {
    run(async {
        let server = TestServer::start(limits()).await;
        let mut peer = server.connect().await;
        peer.write(with_length(1_000)).await;
        assert_eq!(peer.response().await.status(), 202);
        peer.write(with_length(1_001)).await;
        let response = peer.response().await;
        assert_eq!(response.status(), 413);
        assert_eq!(response.header("connection"), Some("close"));
        peer.closed().await;
        assert_eq!(server.handled(), 1);
    });
}

fn with_length(length: usize) -> String {
    format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{}", "x".repeat(length))
}

#[test]
fn a_chunked_body_over_the_limit_is_refused() {
    run(async {
        let server = TestServer::start(limits()).await;
        let mut peer = server.connect().await;
        peer.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n").await;
        for _ in 0..3 {
            peer.write(format!("190\r\n{}\r\n", "x".repeat(400))).await;
        }
        peer.write("0\r\n\r\n").await;
        assert_eq!(peer.response().await.status(), 413);
        assert_eq!(server.handled(), 0);
    });
}

#[test]
fn an_announced_body_over_the_limit_is_refused_before_it_is_sent() {
    run(async {
        let server = TestServer::start(limits()).await;
        let mut peer = server.connect().await;
        peer.write("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5000\r\n\r\n")
            .await;
        assert_eq!(peer.response().await.status(), 413);
        assert_eq!(server.handled(), 0);
    });
}

#[test]
fn a_client_that_expects_continue_gets_it() {
    run(async {
        let server = TestServer::start(limits()).await;
        let mut peer = server.connect().await;
        peer.write("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n").await;
        assert_eq!(peer.response().await.status(), 100);
        peer.write("hi").await;
        assert_eq!(peer.response().await.body, b"hi");
    });
}

#[test]
fn the_limits_may_change_while_a_connection_is_open() {
    run(async {
        let server = TestServer::start(limits()).await;
        let mut peer = server.connect().await;
        peer.write(with_length(900)).await;
        assert_eq!(peer.response().await.status(), 202);
        server.request_limits.store(RequestLimits { max_body_bytes: 800, ..limits() }.into());
        peer.write(with_length(900)).await;
        assert_eq!(peer.response().await.status(), 413);
    });
}

#[test]
fn endless_headers_are_refused() {
    run(async {
        let server = TestServer::start(limits()).await;
        let mut peer = server.connect().await;
        let header = format!("X-Filler: {}\r\n", "x".repeat(1_000));
        peer.write("POST / HTTP/1.1\r\nHost: a\r\n").await;
        peer.write(header.repeat(9)).await;
        assert_eq!(peer.response().await.status(), 431);
        peer.closed().await;
        assert_eq!(server.handled(), 0);
    });
}

#[test]
fn headers_over_the_limit_are_refused_though_they_end() {
    run(async {
        let server = TestServer::start(RequestLimits { max_header_bytes: 500, ..limits() }).await;
        let mut peer = server.connect().await;
        peer.write(format!("GET / HTTP/1.1\r\nHost: a\r\nX-Filler: {}\r\n\r\n", "x".repeat(500))).await;
        assert_eq!(peer.response().await.status(), 431);
        assert_eq!(server.handled(), 0);
    });
}

#[test]
fn too_many_headers_are_refused() {
    run(async {
        let server = TestServer::start(limits()).await;
        let mut peer = server.connect().await;
        peer.write(format!("GET / HTTP/1.1\r\nHost: a\r\n{}\r\n", "X: y\r\n".repeat(101))).await;
        assert_eq!(peer.response().await.status(), 431);
        assert_eq!(server.handled(), 0);
    });
}

#[test]
fn malformed_requests_are_refused_and_the_connection_closed() {
    let malformed = [
        "nonsense\r\n\r\n",
        "POST / HTTP/1.1\r\nHost a\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, gzip\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
        "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n",
    ];
    for request in malformed {
        run(async {
            let server = TestServer::start(limits()).await;
            let mut peer = server.connect().await;
            peer.write(request).await;
            if let Some(response) = peer.read_message().await {
                assert_eq!(response.status(), 400, "{request:?}");
            }
            assert_eq!(peer.read_message().await, None, "{request:?}");
            assert_eq!(server.handled(), 0, "{request:?}");
        });
    }
}

#[test]
fn a_request_with_two_framings_is_refused_and_the_last_on_its_connection() {
    let smuggled = "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    let length = format!("Content-Length: {}", smuggled.len());
    let orders = [[&length, "Transfer-Encoding: chunked"], ["Transfer-Encoding: chunked", &length]];
    for framings in orders {
        run(async {
            let server = TestServer::start(limits()).await;
            let mut peer = server.connect().await;
            peer.write(format!("POST / HTTP/1.1\r\nHost: a\r\n{}\r\n\r\n{smuggled}", framings.join("\r\n")))
                .await;
            let response = peer.response().await;
            assert_eq!(response.status(), 400);
            assert_eq!(response.header("connection"), Some("close"));
            peer.closed().await;
            assert_eq!(server.handled(), 0);
        });
    }
}

#[test]
fn a_truncated_body_reaches_no_handler() {
    let cut = [
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhell",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\n",
    ];
    for request in cut {
        run(async {
            let server = TestServer::start(limits()).await;
            let mut peer = server.connect().await;
            peer.write(request).await;
            peer.stream.shutdown().await.unwrap();
            while let Some(response) = peer.read_message().await {
                assert_eq!(response.status(), 400, "{request:?}");
            }
            assert_eq!(server.handled(), 0, "{request:?}");
        });
    }
}

#[test]
fn a_client_that_has_ended_its_direction_is_answered() {
    run(async {
        let server = TestServer::start(limits()).await;
        let mut peer = server.connect().await;
        peer.write(SIMPLE).await;
        peer.stream.shutdown().await.unwrap();
        assert_eq!(peer.response().await.body, b"hello");
        peer.closed().await;
    });
}
