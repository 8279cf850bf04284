//! Unit tests of `status`.

use super::*;

#[test]
fn only_a_refusal_promises_that_a_repeat_is_harmless() {
    let code = |answer| job_result(answer, true).map(|_| ()).map_err(|s| s.code());
    assert_eq!(code(Answer::Served { result: vec![1] }), Ok(()));
    assert_eq!(code(Answer::Defer { retry_after: None }), Err(Code::Unavailable));
    assert_eq!(code(Answer::Failed(Failure::Attempts)), Err(Code::Unknown));
    assert_eq!(code(Answer::Failed(Failure::Refused)), Err(Code::Internal));
    assert_eq!(code(Answer::Failed(Failure::Late)), Err(Code::DeadlineExceeded));
    assert_eq!(code(Answer::Failed(Failure::Repeated)), Err(Code::AlreadyExists));
}

#[test]
fn retry_advice_is_sent_as_metadata_and_detail_if_allowed() {
    let advised = job_result(Answer::Defer { retry_after: Some(250.4) }, true).unwrap_err();
    assert_eq!(advised.metadata().get(PUSHBACK_HEADER).unwrap(), "251");
    assert_eq!(advised.get_details_retry_info().unwrap().retry_delay, Some(Duration::from_millis(251)));
    assert_eq!(pushback_ms(&advised), 251);
    let unadvised = job_result(Answer::Defer { retry_after: Some(250.0) }, false).unwrap_err();
    assert!(
        unadvised.metadata().get(PUSHBACK_HEADER).is_none() && unadvised.get_details_retry_info().is_none()
    );
    assert_eq!(pushback_ms(&unadvised), 0);
}

#[test]
fn the_invalid_field_is_named_in_message_and_details() {
    let status = invalid_field(&InvalidField { field: "job_class", reason: "unknown class".to_owned() });
    assert_eq!(
        (status.code(), status.message()),
        (Code::InvalidArgument, "field `job_class`: unknown class")
    );
    assert_eq!(status.get_details_bad_request().unwrap().field_violations[0].field, "job_class");
}
