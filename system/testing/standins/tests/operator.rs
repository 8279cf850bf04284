//! The operator's patience: redirects, other dispatchers, resending, and when an order ends.

mod support;

use bytes::Bytes;
use millrudder_system_standins::{
    AttemptFailure, Configuration, ConfigurationVersion, Operator, OperatorPlan, OrderError, PutOutcome,
    RetireOutcome, RetireState,
};
use std::time::Duration;
use support::{Reply, ReplyServer, BOUND};

fn hasty() -> OperatorPlan {
    OperatorPlan {
        silence: BOUND,
        first_backoff: Duration::from_millis(1),
        longest_backoff: Duration::from_millis(4),
        give_up: BOUND,
    }
}

fn operator(servers: &[&ReplyServer]) -> Operator {
    Operator::with_plan(servers.iter().map(|server| server.address).collect(), hasty())
}

fn configuration() -> Configuration {
    Configuration { version: ConfigurationVersion(7), body: Bytes::from_static(b"{\"version\":7}") }
}

async fn put(operator: &Operator) -> Result<PutOutcome, OrderError> {
    operator.put(&configuration(), ConfigurationVersion(5)).await
}

fn redirect_to(server: &ReplyServer) -> Reply {
    Reply::with(307, &format!("Location: http://{}/Config.Put\r\n", server.address), "")
}

#[tokio::test]
async fn a_configuration_is_sent_with_the_version_it_builds_on() {
    let server = ReplyServer::start(vec![Reply::status(200)]).await;
    assert_eq!(put(&operator(&[&server])).await.unwrap(), PutOutcome::Taken);
    let request = &server.requests()[0];
    assert!(request.starts_with("POST /Config.Put HTTP/1.1\r\n"), "{request}");
    assert!(request.contains("x-if-version: 5\r\n"), "{request}");
    assert!(request.contains("content-type: application/json\r\n"), "{request}");
    assert!(request.ends_with("\r\n\r\n{\"version\":7}"), "{request}");
}

#[tokio::test]
async fn clear_refusals_end_an_order_at_once() {
    for status in [400, 409, 412, 413, 422] {
        let server = ReplyServer::start(vec![Reply::status(status)]).await;
        let expected = match status {
            412 => PutOutcome::OtherVersion,
            status => PutOutcome::Refused { status },
        };
        assert_eq!(put(&operator(&[&server])).await.unwrap(), expected);
        assert_eq!(server.requests().len(), 1);
    }
}

#[tokio::test]
async fn other_refusals_end_an_order_at_the_third() {
    let server = ReplyServer::start(vec![Reply::status(403)]).await;
    assert_eq!(put(&operator(&[&server])).await.unwrap(), PutOutcome::Refused { status: 403 });
    assert_eq!(server.requests().len(), 3);
}

#[tokio::test]
async fn an_order_moves_on_unchanged_until_there_is_a_clear_answer() {
    let failing = [Reply::status(503), Reply::Close, Reply::status(429), Reply::status(408)];
    let first = ReplyServer::start(failing.to_vec()).await;
    let second = ReplyServer::start(vec![Reply::status(500), Reply::status(504), Reply::status(200)]).await;
    assert_eq!(put(&operator(&[&first, &second])).await.unwrap(), PutOutcome::Taken);
    assert_eq!(first.requests().len(), 3);
    assert_eq!(second.requests().len(), 3);
    let bodies: Vec<_> =
        second.requests().iter().map(|request| request.replace(&second.address.to_string(), "")).collect();
    assert!(bodies.iter().all(|request| *request == bodies[0]));
}

#[tokio::test]
async fn silence_counts_as_a_failure() {
    let silent = ReplyServer::start(vec![Reply::Silence]).await;
    let open = ReplyServer::start(vec![Reply::status(200)]).await;
    let plan = OperatorPlan { silence: Duration::from_millis(100), ..hasty() };
    let operator = Operator::with_plan(vec![silent.address, open.address], plan);
    assert_eq!(put(&operator).await.unwrap(), PutOutcome::Taken);
    assert!(!silent.requests().is_empty());
}

#[tokio::test]
async fn redirects_are_followed_twice() {
    let third = ReplyServer::start(vec![Reply::status(200)]).await;
    let second = ReplyServer::start(vec![redirect_to(&third)]).await;
    let first = ReplyServer::start(vec![redirect_to(&second)]).await;
    assert_eq!(put(&operator(&[&first])).await.unwrap(), PutOutcome::Taken);
    assert!(third.requests()[0].ends_with("{\"version\":7}"));

    let zeroth = ReplyServer::start(vec![redirect_to(&first), Reply::status(412)]).await;
    assert_eq!(put(&operator(&[&zeroth])).await.unwrap(), PutOutcome::OtherVersion);
    assert_eq!(zeroth.requests().len(), 2);
    assert_eq!(third.requests().len(), 1);
}

#[tokio::test]
async fn a_redirect_that_leads_nowhere_is_a_failure() {
    let reply = Reply::with(307, "Location: elsewhere\r\n", "");
    let server = ReplyServer::start(vec![reply, Reply::status(200)]).await;
    assert_eq!(put(&operator(&[&server])).await.unwrap(), PutOutcome::Taken);
    assert_eq!(server.requests().len(), 2);
}

#[tokio::test]
async fn lost_answers_are_followed_by_the_same_order() {
    let server = ReplyServer::start(vec![Reply::status(200)]).await;
    let operator = operator(&[&server]);
    operator.lose_answers(2);
    assert_eq!(put(&operator).await.unwrap(), PutOutcome::Taken);
    let requests = server.requests();
    assert_eq!(requests.len(), 3);
    assert!(requests.iter().all(|request| *request == requests[0]));
}

#[tokio::test]
async fn an_order_without_a_clear_answer_is_given_up() {
    let server = ReplyServer::start(vec![Reply::status(503)]).await;
    let plan = OperatorPlan { give_up: Duration::from_millis(50), ..hasty() };
    let operator = Operator::with_plan(vec![server.address], plan);
    let unclear = put(&operator).await.unwrap_err();
    assert!(matches!(unclear, OrderError::Unclear { last: AttemptFailure::Status { status: 503 }, .. }));
    let nobody = Operator::with_plan(Vec::new(), plan);
    assert!(matches!(put(&nobody).await.unwrap_err(), OrderError::NoAddress));
}

#[tokio::test]
async fn the_newest_configuration_is_read_in_full() {
    let server = ReplyServer::start(vec![Reply::with(200, "", "{\"version\":7}")]).await;
    let read = operator(&[&server]).get().await.unwrap();
    assert_eq!(read.answer.body, configuration().body);
    assert_eq!(read.by, server.address);
    assert_eq!(read.tries, 1);
    assert!(server.requests()[0].starts_with("GET /Config.Get HTTP/1.1\r\n"));
}

#[tokio::test]
async fn a_machine_is_retired() {
    let node = "storage-1".into();
    let server = ReplyServer::start(vec![Reply::status(200)]).await;
    let started = operator(&[&server]).start_retirement(&node, Duration::from_secs(10)).await.unwrap();
    assert_eq!(started, RetireOutcome::Started);
    let request = &server.requests()[0];
    assert!(request.starts_with("POST /Retire.Start/storage-1 HTTP/1.1\r\n"), "{request}");
    assert!(request.ends_with("{\"durationS\":10}"), "{request}");

    let replies = vec![
        Reply::with(200, "", "{\"state\":\"running\"}"),
        Reply::with(200, "", "{\"state\":\"completed\"}"),
        Reply::status(404),
    ];
    let server = ReplyServer::start(replies).await;
    let operator = operator(&[&server]);
    assert_eq!(operator.retirement(&node).await.unwrap(), Some(RetireState::Running));
    assert_eq!(operator.retirement(&node).await.unwrap(), Some(RetireState::Completed));
    assert_eq!(operator.retirement(&node).await.unwrap(), None);
}

#[tokio::test]
async fn a_retirement_may_be_refused() {
    for (status, expected) in [
        (404, RetireOutcome::UnknownMachine),
        (409, RetireOutcome::Conflict),
        (422, RetireOutcome::Refused { status: 422 }),
    ] {
        let server = ReplyServer::start(vec![Reply::status(status)]).await;
        let operator = operator(&[&server]);
        let outcome = operator.start_retirement(&"storage-1".into(), Duration::from_secs(1)).await;
        assert_eq!(outcome.unwrap(), expected);
    }
}
