//! What a receiver of call-backs does, and what it records.

mod support;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use millrudder_system_standins::{
    eventually, exchange, Answer, CallbackReceiver, ExchangeError, MessageState, RawConnection,
    ReceiverBehaviour, ReceiverPlan,
};
use std::net::SocketAddr;
use std::time::Duration;
use support::BOUND;

async fn start() -> CallbackReceiver {
    CallbackReceiver::start(ReceiverPlan::default()).await.unwrap()
}

fn told(request: &str, state: &str) -> String {
    format!("{{\"instanceId\":\"{request}\",\"state\":\"{state}\",\"signature\":\"s.1\"}}")
}

async fn post(address: SocketAddr, body: String, bound: Duration) -> Result<Answer, ExchangeError> {
    exchange(address, Request::post("/done").body(Full::new(Bytes::from(body))).unwrap(), bound).await
}

async fn status(receiver: &CallbackReceiver, body: String) -> u16 {
    post(receiver.address(), body, BOUND).await.unwrap().status.as_u16()
}

#[tokio::test]
async fn an_end_is_accepted_and_recorded() {
    let receiver = start().await;
    assert_eq!(status(&receiver, told("r-1", "completed")).await, 200);
    assert_eq!(status(&receiver, told("r-2", "dead_letter")).await, 200);
    assert!(receiver.has_accepted(&"r-1".into()));
    let callback = &receiver.callbacks_of(&"r-1".into())[0];
    assert_eq!(callback.path, "/done");
    let told = callback.status.as_ref().unwrap();
    assert_eq!(told.state, MessageState::Completed);
    assert_eq!(told.signature.as_deref(), Some("s.1"));
    assert_eq!(callback.answered, Some(200));
    assert_eq!(receiver.callbacks().len(), 2);
    assert_eq!(receiver.url("/done"), format!("http://{}/done", receiver.address()));
}

#[tokio::test]
async fn a_dead_letter_needs_no_signature() {
    let receiver = start().await;
    let body = "{\"instanceId\":\"r-1\",\"state\":\"dead_letter\",\"signature\":null}".to_owned();
    assert_eq!(status(&receiver, body).await, 200);
    let body = "{\"instanceId\":\"r-2\",\"state\":\"dead_letter\"}".to_owned();
    assert_eq!(status(&receiver, body).await, 200);
}

#[tokio::test]
async fn what_tells_no_end_is_denied() {
    let receiver = start().await;
    for body in [told("r-1", "queued"), told("r-1", "unheard"), "no JSON".to_owned()] {
        assert_eq!(status(&receiver, body).await, 400);
    }
    assert!(!receiver.has_accepted(&"r-1".into()));
    assert_eq!(receiver.callbacks().len(), 3);
}

#[tokio::test]
async fn other_methods_are_refused() {
    let receiver = start().await;
    let request = Request::get("/done").body(Full::new(Bytes::new())).unwrap();
    assert_eq!(exchange(receiver.address(), request, BOUND).await.unwrap().status.as_u16(), 405);
    assert!(receiver.callbacks().is_empty());
}

#[tokio::test]
async fn a_receiver_may_deny_fail_and_close() {
    let receiver = start().await;
    receiver.script().next(ReceiverBehaviour::DenyId);
    receiver.script().next(ReceiverBehaviour::Fail);
    receiver.script().next(ReceiverBehaviour::Close);
    assert_eq!(status(&receiver, told("r-1", "completed")).await, 400);
    assert_eq!(status(&receiver, told("r-1", "completed")).await, 500);
    let closed = post(receiver.address(), told("r-1", "completed"), BOUND).await;
    assert!(matches!(closed, Err(ExchangeError::Broken { .. })));
    assert_eq!(status(&receiver, told("r-1", "completed")).await, 200);
    let answered: Vec<_> = receiver.callbacks().into_iter().map(|callback| callback.answered).collect();
    assert_eq!(answered, [Some(400), Some(500), None, Some(200)]);
}

#[tokio::test]
async fn a_receiver_may_stay_silent_for_one_request() {
    let receiver = start().await;
    receiver.script().on_request("r-1", ReceiverBehaviour::StaySilent);
    let silence = post(receiver.address(), told("r-1", "completed"), Duration::from_millis(50)).await;
    assert!(matches!(silence, Err(ExchangeError::NoAnswer { .. })));
    assert_eq!(status(&receiver, told("r-2", "completed")).await, 200);
    assert!(!receiver.has_accepted(&"r-1".into()));
}

#[tokio::test]
async fn a_slow_receiver_answers_past_its_gate() {
    let receiver = start().await;
    receiver.script().always(ReceiverBehaviour::Slow);
    receiver.gate().hold();
    let address = receiver.address();
    let posted = tokio::spawn(async move { post(address, told("r-1", "completed"), BOUND).await });
    eventually(BOUND, || receiver.gate().waiting() == 1).await.unwrap();
    assert!(!receiver.has_accepted(&"r-1".into()));
    receiver.gate().release();
    assert_eq!(posted.await.unwrap().unwrap().status.as_u16(), 200);
    assert!(receiver.has_accepted(&"r-1".into()));
}

#[tokio::test]
async fn a_receiver_takes_few_connections_and_comes_back_at_its_address() {
    let plan = ReceiverPlan { max_connections: 1 };
    let receiver = CallbackReceiver::start(plan).await.unwrap();
    let address = receiver.address();
    let mut kept = RawConnection::open(address).await.unwrap();
    eventually(BOUND, || receiver.open_connections() == 1).await.unwrap();
    assert!(post(address, told("r-1", "completed"), BOUND).await.is_err());
    eventually(BOUND, || receiver.refused_connections() == 1).await.unwrap();
    assert_eq!(receiver.accepted_connections(), 1);
    drop(receiver);
    assert!(kept.read_to_end(BOUND).await.unwrap().is_empty());
    let receiver = CallbackReceiver::start_at(address, plan).await.unwrap();
    assert_eq!(status(&receiver, told("r-1", "completed")).await, 200);
}
