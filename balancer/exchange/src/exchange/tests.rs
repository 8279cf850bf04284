//! Unit tests of `exchange`.

use super::*;
use crate::job::{ForwardedRequest, Front};

fn job() -> Job {
    Job {
        front: Front::Grpc,
        trace_id: "9b1f".to_owned(),
        class: "c".to_owned(),
        slots: 1.0,
        memory: 0.0,
        deadline: 5000.0,
        forwarded: ForwardedRequest {
            method: "POST".to_owned(),
            target: "/api".to_owned(),
            body: Vec::new(),
            idempotency_key: None,
            content_type: None,
        },
    }
}

#[test]
fn a_job_submitted_as_dispatch_ends_is_deferred() {
    // A front on its own thread may submit at the moment at which dispatch stops reading. Without the check in
    // `submit` nobody answered the job, and its client waited.
    let deferred = Some(Answer::Defer { retry_after: None });
    let (exchange, inbox) = Exchange::new();
    let (before, after) = (Reply::new(|| {}), Reply::new(|| {}));
    exchange.submit(job(), before.clone());
    assert_eq!(before.take(), None);
    drop(inbox);
    assert_eq!(before.take(), deferred);
    exchange.submit(job(), after.clone());
    assert_eq!(after.take(), deferred);
}

#[test]
fn orders_are_received_before_ordinary_messages() {
    let (exchange, inbox) = Exchange::new();
    exchange.send(Message::Stop);
    exchange.send(Message::WorkerListUnavailable);
    let handle = exchange.order(Order::Disable("s-1".to_owned()));
    let Ok(Message::Ordered(pending)) = inbox.try_recv() else { panic!("not the order") };
    pending.carry_out(|_| Ok(()));
    assert_eq!(handle.result(), Some(Ok(())));
    assert!(matches!(inbox.try_recv(), Ok(Message::Stop)));
    assert!(matches!(inbox.try_recv(), Ok(Message::WorkerListUnavailable)));
    assert!(inbox.try_recv().is_err(), "no message is received twice");
}
