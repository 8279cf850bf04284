//! What a client sends, and what it makes of the answers.

mod support;

use bytes::Bytes;
use millrudder_system_standins::{
    BodyReply, Client, ExchangeError, Message, MessageState, MessageStatus, Reception, StatusReply,
    Submission,
};
use std::time::Duration;
use support::{Reply, ReplyServer};

const HOST: &str = "boye61.example";

fn message() -> Message {
    Message::new(HOST, "/births/1", "r-1").with_body("late birth")
}

#[tokio::test]
async fn a_message_carries_what_the_protocol_says() {
    let server = ReplyServer::start(vec![Reply::status(202)]).await;
    let message = message()
        .with_delay(Duration::from_millis(1500))
        .with_order_key("book-7")
        .with_callback("http://10.20.0.4:8080/done")
        .with_deadline(Duration::from_millis(500));
    let reception = Client::new().send(server.address, &message).await.unwrap();
    assert_eq!(reception, Reception::Accepted { named: None });
    let request = &server.requests()[0];
    assert!(request.starts_with("POST /births/1 HTTP/1.1\r\n"), "{request}");
    for line in [
        "host: boye61.example",
        "x-request-id: r-1",
        "x-delay-ms: 1500",
        "x-order-key: book-7",
        "x-callback-url: http://10.20.0.4:8080/done",
        "x-deadline-ms: 500",
        "content-length: 10",
    ] {
        assert!(request.contains(&format!("\r\n{line}\r\n")), "{line} in {request}");
    }
    assert!(request.ends_with("\r\n\r\nlate birth"), "{request}");
}

#[tokio::test]
async fn a_body_may_go_in_chunks() {
    let server = ReplyServer::start(vec![Reply::status(202)]).await;
    Client::new().send(server.address, &message().in_chunks(4)).await.unwrap();
    let request = &server.requests()[0];
    assert!(request.contains("transfer-encoding: chunked\r\n"), "{request}");
    assert!(request.ends_with("\r\n\r\n4\r\nlate\r\n4\r\n bir\r\n2\r\nth\r\n0\r\n\r\n"), "{request}");
}

#[tokio::test]
async fn an_empty_body_may_go_either_way() {
    let server = ReplyServer::start(vec![Reply::status(202)]).await;
    let empty = message().with_body("");
    Client::new().send(server.address, &empty).await.unwrap();
    Client::new().send(server.address, &empty.in_chunks(4)).await.unwrap();
    let requests = server.requests();
    assert!(requests[0].contains("content-length: 0\r\n"), "{}", requests[0]);
    assert!(requests[1].ends_with("\r\n\r\n0\r\n\r\n"), "{}", requests[1]);
}

#[tokio::test]
async fn an_answer_means_what_the_protocol_says() {
    let retry_after = Some(Duration::from_secs(2));
    let cases = [
        (Reply::with(202, "X-Message-Id: m.1\r\n", ""), Reception::Accepted { named: Some("m.1".into()) }),
        (Reply::with(429, "Retry-After: 2\r\n", ""), Reception::NotTaken { status: 429, retry_after }),
        (Reply::status(503), Reception::NotTaken { status: 503, retry_after: None }),
        (Reply::status(408), Reception::NotTaken { status: 408, retry_after: None }),
        (Reply::status(421), Reception::NotTaken { status: 421, retry_after: None }),
        (Reply::status(404), Reception::Rejected { status: 404 }),
        (Reply::status(502), Reception::Unclear { status: 502 }),
        (Reply::status(200), Reception::Unexpected { status: 200 }),
    ];
    for (reply, expected) in cases {
        let server = ReplyServer::start(vec![reply]).await;
        assert_eq!(Client::new().send(server.address, &message()).await.unwrap(), expected);
    }
}

#[tokio::test]
async fn a_missing_answer_is_an_error() {
    let server = ReplyServer::start(vec![Reply::Close, Reply::Silence]).await;
    let client = Client::new().with_bound(Duration::from_millis(50));
    let closed = client.send(server.address, &message()).await;
    assert!(matches!(closed, Err(ExchangeError::Broken { .. })));
    let silent = client.send(server.address, &message()).await;
    assert!(matches!(silent, Err(ExchangeError::NoAnswer { .. })));
}

#[tokio::test]
async fn a_message_goes_to_the_next_dispatcher_after_a_promise() {
    let full = ReplyServer::start(vec![Reply::status(503)]).await;
    let open = ReplyServer::start(vec![Reply::status(202)]).await;
    let addresses = [full.address, open.address];
    let submission = Client::new().send_until_accepted(&addresses, &message()).await.unwrap();
    let Submission::Accepted(accepted) = submission else { panic!("{submission:?}") };
    assert_eq!(accepted.message_id, "r-1-1".into());
    assert_eq!(accepted.message.body, message().body);
    assert!(full.requests()[0].contains("x-request-id: r-1\r\n"));
    assert!(open.requests()[0].contains("x-request-id: r-1-1\r\n"));
}

#[tokio::test]
async fn a_message_is_sent_no_further_without_a_promise() {
    let unclear = ReplyServer::start(vec![Reply::status(504)]).await;
    let other = ReplyServer::start(vec![Reply::status(202)]).await;
    let addresses = [unclear.address, other.address];
    let submission = Client::new().send_until_accepted(&addresses, &message()).await.unwrap();
    assert!(matches!(submission, Submission::Refused(Reception::Unclear { status: 504 })));
    assert!(other.requests().is_empty());
}

#[tokio::test]
async fn the_state_of_a_message_is_read() {
    let known = |state, signature: Option<&str>| {
        StatusReply::Known(MessageStatus { state, signature: signature.map(str::to_owned) })
    };
    let cases = [
        (Reply::with(200, "", "{\"state\":\"queued\"}"), known(MessageState::Queued, None)),
        (
            Reply::with(200, "", "{\"state\":\"completed\",\"signature\":\"s.1\"}"),
            known(MessageState::Completed, Some("s.1")),
        ),
        (
            Reply::with(200, "", "{\"state\":\"dead_letter\",\"signature\":null}"),
            known(MessageState::DeadLetter, None),
        ),
        (Reply::with(200, "", "{}"), StatusReply::Unavailable { status: 200 }),
        (Reply::status(404), StatusReply::Unknown),
        (Reply::status(503), StatusReply::Unavailable { status: 503 }),
    ];
    for (reply, expected) in cases {
        let server = ReplyServer::start(vec![reply]).await;
        let status = Client::new().status(server.address, HOST, &"m.1".into()).await.unwrap();
        assert_eq!(status, expected);
        let request = &server.requests()[0];
        assert!(request.starts_with("GET /message/m.1 HTTP/1.1\r\n"), "{request}");
        assert!(request.contains("host: boye61.example\r\n"), "{request}");
    }
}

#[tokio::test]
async fn the_bytes_of_a_message_are_read() {
    let cases = [
        (Reply::with(200, "", "late birth"), BodyReply::Known(Bytes::from_static(b"late birth"))),
        (Reply::status(404), BodyReply::Unknown),
        (Reply::status(503), BodyReply::Unavailable { status: 503 }),
    ];
    for (reply, expected) in cases {
        let server = ReplyServer::start(vec![reply]).await;
        let body = Client::new().body(server.address, HOST, &"m.1".into()).await.unwrap();
        assert_eq!(body, expected);
        assert!(server.requests()[0].starts_with("GET /message-body/m.1 HTTP/1.1\r\n"));
    }
}

#[tokio::test]
async fn a_dispatcher_is_ready_when_it_says_so() {
    let server = ReplyServer::start(vec![Reply::status(200), Reply::status(503), Reply::Close]).await;
    let client = Client::new();
    assert!(client.is_ready(server.address).await);
    assert!(!client.is_ready(server.address).await);
    assert!(!client.is_ready(server.address).await);
    assert!(server.requests()[0].starts_with("GET /readiness HTTP/1.1\r\n"));
}
