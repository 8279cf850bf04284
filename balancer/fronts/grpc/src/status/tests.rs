//! Unit tests of `status`.

use super::*;

#[test]
fn only_a_refusal_promises_that_a_repeat_is_harmless() {
    let code = |answer| of_answer(answer, true).map(|_| ()).map_err(|s| s.code());
    assert_eq!(code(Answer::Served { result: vec![1] }), Ok(()));
    assert_eq!(code(Answer::Defer { retry_after: None }), Err(Code::Unavailable));
    assert_eq!(code(Answer::Failed(Failure::Attempts)), Err(Code::Unknown));
    assert_eq!(code(Answer::Failed(Failure::Refused)), Err(Code::Internal));
    assert_eq!(code(Answer::Failed(Failure::Late)), Err(Code::DeadlineExceeded));
    assert_eq!(code(Answer::Failed(Failure::Repeated)), Err(Code::AlreadyExists));
}

#[test]
fn advice_comes_both_ways_and_only_where_it_is_allowed() {
    let told = of_answer(Answer::Defer { retry_after: Some(250.4) }, true).unwrap_err();
    assert_eq!(told.metadata().get(PUSHBACK).unwrap(), "251");
    assert_eq!(told.get_details_retry_info().unwrap().retry_delay, Some(Duration::from_millis(251)));
    assert_eq!(advice(&told), 251);
    let untold = of_answer(Answer::Defer { retry_after: Some(250.0) }, false).unwrap_err();
    assert!(untold.metadata().get(PUSHBACK).is_none() && untold.get_details_retry_info().is_none());
    assert_eq!(advice(&untold), 0);
}

#[test]
fn the_bad_field_is_named_for_people_and_programs() {
    let status = invalid(&Invalid { field: "job_class", why: "unknown class".to_owned() });
    assert_eq!(
        (status.code(), status.message()),
        (Code::InvalidArgument, "field `job_class`: unknown class")
    );
    assert_eq!(status.get_details_bad_request().unwrap().field_violations[0].field, "job_class");
}
