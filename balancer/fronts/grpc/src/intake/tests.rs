//! Unit tests of `intake`.

use super::*;
use std::collections::HashMap;

fn classes() -> Vec<Class> {
    let class = |name: &str, keyed| Class {
        name: name.to_owned(),
        keyed,
        default_timeout: 5_000.0,
        accepted_until: f64::INFINITY,
    };
    vec![class("copy-issue", true), class("look-up", false)]
}

fn request() -> SubmitRequest {
    SubmitRequest {
        id: "9b1f".to_owned(),
        job_class: "copy-issue".to_owned(),
        idempotency_key: "5c0f".to_owned(),
        body: b"body".to_vec(),
        props: HashMap::from([("slots".to_owned(), 2.0), ("memory".to_owned(), 1.433)]),
        target: "/api?q=1".to_owned(),
        ..SubmitRequest::default()
    }
}

#[test]
fn a_call_becomes_the_same_job_as_the_equal_http_request() {
    let made = parse_job(request(), 1_000.0, Some(480.0), &classes()).unwrap();
    assert_eq!(
        (made.trace_id.as_str(), made.class.as_str(), made.front),
        ("9b1f", "copy-issue", Front::Grpc)
    );
    assert_eq!((made.slots, made.memory, made.deadline), (2.0, 1.433, 1_480.0));
    let forwarded = &made.forwarded;
    assert_eq!((forwarded.method.as_str(), forwarded.target.as_str()), ("POST", "/api?q=1"));
    assert_eq!(
        (forwarded.body.as_slice(), forwarded.idempotency_key.as_deref()),
        (&b"body"[..], Some("5c0f"))
    );
    let bare = SubmitRequest { job_class: "look-up".to_owned(), ..SubmitRequest::default() };
    let (first, second) = (
        parse_job(bare.clone(), 0.0, None, &classes()).unwrap(),
        parse_job(bare, 0.0, None, &classes()).unwrap(),
    );
    assert_eq!((first.deadline, first.slots, first.forwarded.target.as_str()), (5_000.0, 1.0, "/api"));
    assert!(
        is_id(&first.trace_id) && first.trace_id != second.trace_id,
        "a new id is generated for each call"
    );
}

#[test]
fn the_field_that_breaks_a_rule_is_named() {
    type Change = fn(&mut SubmitRequest);
    let cases: [(&str, Change); 15] = [
        ("id", |r| r.id = "../status".to_owned()),
        ("id", |r| r.id = "..".to_owned()),
        ("id", |r| r.id = "x".repeat(129)),
        ("job_class", |r| r.job_class = "other".to_owned()),
        ("job_class", |r| r.job_class.clear()),
        ("idempotency_key", |r| r.idempotency_key.clear()),
        ("idempotency_key", |r| r.idempotency_key = "a\r\nX-Evil: 1".to_owned()),
        ("object", |r| r.object = "x".repeat(513)),
        ("body", |r| r.body = vec![0; BODY_LIMIT + 1]),
        ("props", |r| r.props = HashMap::from([("slots".to_owned(), f64::NAN)])),
        ("props", |r| r.props = HashMap::from([("slots".to_owned(), 1e300)])),
        ("props", |r| r.props = HashMap::from([("slots".to_owned(), -1.0)])),
        // With another method or path, a call could reach a worker's other endpoints, for example to cancel another
        // client's job.
        ("method", |r| r.method = "DELETE".to_owned()),
        ("target", |r| r.target = "/jobs/9b1f".to_owned()),
        ("target", |r| r.target = "/api HTTP/1.1\r\nX: 1".to_owned()),
    ];
    for (field, change) in cases {
        let mut request = request();
        change(&mut request);
        assert_eq!(parse_job(request, 0.0, None, &classes()).unwrap_err().field, field);
    }
}
